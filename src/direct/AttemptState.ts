import type { CallFailure } from "./EndpointCall.js";

/** What one send to an endpoint came to. */
export enum SendEnd {
    Answered = "answered",
    /** Nothing was sent. */
    Unreachable = "unreachable",
    /** The endpoint declares that it has not run the request. */
    NotRun = "not-run",
    /** The request may have run, and the caller has no whole answer. */
    Broken = "broken",
    /** The request has run, and the endpoint answered with a failure that is kept. */
    Failed = "failed",
}

/** State of a request over its sends. */
export interface AttemptState {
    tried: Set<string>;
    sends: number;
    unreachable: number;
    mayHaveRun: boolean;
    lastFailure: CallFailure | undefined;
}
