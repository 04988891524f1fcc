import type { EndpointResponse } from "../EndpointCall.js";

/** Result of relaying a response. */
export enum RelayResult {
    /** The complete response was sent to the caller. */
    Complete = "whole",
    /** The response was truncated or unusable. */
    Incomplete = "broken",
    /** The endpoint returned an error response, which was not sent to the caller, as another endpoint may succeed. */
    Failed = "failed",
}

/** Relays the responses of endpoints to the caller. */
export abstract class ResponseRelay {
    /**
     * Relays a response.
     * @param endpointResponse - Response whose head has arrived.
     * @param isFinalAttempt - True if no further endpoint will be tried, so that an error response is relayed too.
     */
    abstract relayResponse(endpointResponse: EndpointResponse, isFinalAttempt: boolean): Promise<RelayResult>;

    /** Builds the headers that the next endpoint needs to resume the response, in addition to the caller's. */
    abstract buildResumeHeaders(): Record<string, string>;

    /** Sends the error response that was buffered while another endpoint was tried; returns false if there is none. */
    abstract sendBufferedFailure(): boolean;
}
