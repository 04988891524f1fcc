import type { OpenedAnswer } from "../EndpointCall.js";

/** How the relay of an answer ended. */
export enum RelayEnd {
    /** The caller has the whole answer. */
    Whole = "whole",
    /** The endpoint broke off, or its answer can't be used. */
    Broken = "broken",
    /** The endpoint answered with a failure of its own that another endpoint may spare the caller. */
    Failed = "failed",
}

/** Passes the answer of an endpoint on to the caller. */
export abstract class AnswerRelay {
    /**
     * Passes an answer on.
     * @param answer - Answer whose head has arrived.
     * @param isLast - No further endpoint will be tried, so a failure is passed on as well.
     */
    abstract relayAnswer(answer: OpenedAnswer, isLast: boolean): Promise<RelayEnd>;

    /** Headers that the next attempt needs beside the caller's own. */
    abstract buildAttemptHeaders(): Record<string, string>;

    /** Passes on a failure that was kept while another endpoint was tried; false if there is none. */
    abstract sendKeptFailure(): boolean;
}
