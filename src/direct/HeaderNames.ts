/** Names of the headers that callers and endpoints speak, in lower case. */
export interface HeaderNames {
    /** Identifier of one attempt of a caller; endpoints echo it. */
    attempt: string;
    /** Milliseconds that the caller will still wait. */
    deadline: string;
    /** Key of the caller's team; never passed on. */
    teamKey: string;
    /** Name of the team, for the endpoint. */
    team: string;
    /** Identifier of the endpoint that alone may run the request. */
    expectedEndpoint: string;
    /** Urgency for the endpoint's own queue, 0 to 9. */
    urgency: string;
    /** Last event that the caller has received. */
    lastEvent: string;
    /** The endpoint declares that it has not run the request. */
    notRun: string;
    /** Signature of the endpoint that answered. */
    signature: string;
}
