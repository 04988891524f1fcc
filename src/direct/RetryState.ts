import type { CallFailure } from "./EndpointCall.js";

/** Result of sending a request to one endpoint. */
export enum SendResult {
    Answered = "answered",
    /** No connection was made, so nothing was sent. */
    Unreachable = "unreachable",
    /** Nothing was sent, as the endpoint is cold and its rate is used up, or its memory is full. */
    HeldBack = "held-back",
    /** The endpoint stated that it did not run the request. */
    NotRun = "not-run",
    /** The request may have run, but no complete response was received. */
    Incomplete = "broken",
    /** The request ran, and the endpoint returned an error response, which is buffered. */
    Failed = "failed",
}

/** State of a request that is kept while it is sent to one endpoint after another. */
export interface RetryState {
    /** Identifiers of the endpoints that were tried. */
    triedEndpoints: Set<string>;
    /** Number of times that any byte of the request was sent. */
    sendCount: number;
    /** Number of times that the request could not be sent. */
    connectionFailures: number;
    /** True once an endpoint may have run the request. */
    mayHaveRun: boolean;
    lastFailure: CallFailure | undefined;
    /** The next send still has to be taken from the retry budget, as the request waits for the end of an outage first. */
    isRetryOwed: boolean;
}

/** Creates the state of a request that has not been sent. */
export function createRetryState(): RetryState {
    return {
        triedEndpoints: new Set(),
        sendCount: 0,
        connectionFailures: 0,
        mayHaveRun: false,
        lastFailure: undefined,
        isRetryOwed: false,
    };
}
