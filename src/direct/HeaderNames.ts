/** Names of the headers exchanged with callers and endpoints, in lower case. */
export interface HeaderNames {
    /** Identifier of the caller's attempt, which endpoints echo in their responses. */
    attempt: string;
    /** Remaining time that the caller will wait, in milliseconds. */
    deadline: string;
    /** API key of the caller's team, which is never forwarded. */
    teamKey: string;
    /** Name of the team, which is sent to the endpoint. */
    team: string;
    /** Identifier of the only endpoint that may run the request. */
    expectedEndpoint: string;
    /** Urgency in the endpoint's queue, from 0 (most urgent) to 9. */
    urgency: string;
    /** Identifier of the last event that the caller has received. */
    lastEvent: string;
    /** States that the endpoint did not run the request. */
    notRun: string;
    /** Requests per second that the endpoint takes from all routers together. */
    limit: string;
    /** States that the endpoint is leaving. */
    leaving: string;
    /** Time for which the endpoint is still cold after its start, in milliseconds. */
    cold: string;
    /** Signature of the endpoint that sent the response. */
    signature: string;
}
