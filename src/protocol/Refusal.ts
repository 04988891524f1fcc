import type http from "node:http";
import type { Cause } from "./Cause.js";
import type { Outcome } from "./Outcome.js";
import { MS_PER_SECOND } from "../utils/time.js";

/** A final answer of the system itself, in place of the endpoint's. */
export interface Refusal {
    status: number;
    outcome: Outcome;
    cause: Cause;
    detail: string;
    /** When to come back, in milliseconds; undefined if coming back does not help. */
    retryAfterMs: number | undefined;
}

/** Body of a refusal, after RFC 9457. */
export interface ProblemDocument {
    type: string;
    title: string;
    status: number;
    detail: string;
    outcome: Outcome;
    cause: Cause;
    retryAfterMs?: number;
    /** Trace that holds the hops of the request. */
    traceId?: string;
}

/** Media type of a problem document. */
export const PROBLEM_TYPE = "application/problem+json";

/** Formats a delay for callers that read whole seconds only, as RFC 9110 has it. */
export function formatWholeSeconds(delayMs: number): string {
    return String(Math.max(1, Math.ceil(delayMs / MS_PER_SECOND)));
}

/** Formats a delay for callers that read fractions of a second. */
export function formatFractionalSeconds(delayMs: number): string {
    return (Math.max(0, delayMs) / MS_PER_SECOND).toFixed(3);
}

/**
 * Builds the problem document of a refusal.
 * @param refusal - Refusal.
 * @param traceId - Trace of the request.
 */
export function buildProblem(refusal: Refusal, traceId?: string): ProblemDocument {
    return {
        type: `urn:auburnpass:cause:${refusal.cause}`,
        title: refusal.cause.replaceAll("-", " "),
        status: refusal.status,
        detail: refusal.detail,
        outcome: refusal.outcome,
        cause: refusal.cause,
        retryAfterMs: refusal.retryAfterMs === undefined ? undefined : Math.ceil(refusal.retryAfterMs),
        traceId,
    };
}

/**
 * Sends a refusal at once.
 * @param response - Response whose head is not sent yet.
 * @param refusal - Refusal.
 * @param traceId - Trace of the request.
 * @param formatDelay - Writes the delay after which the caller may come back.
 */
export function sendRefusal(
    response: http.ServerResponse,
    refusal: Refusal,
    traceId?: string,
    formatDelay: (delayMs: number) => string = formatWholeSeconds,
): void {
    const body = JSON.stringify(buildProblem(refusal, traceId));
    const headers: Record<string, string> = {
        "content-type": PROBLEM_TYPE,
        "content-length": String(Buffer.byteLength(body)),
        "auburnpass-outcome": refusal.outcome,
        "auburnpass-cause": refusal.cause,
    };
    if (refusal.retryAfterMs !== undefined) {
        headers["retry-after"] = formatDelay(refusal.retryAfterMs);
    }
    response.writeHead(refusal.status, headers);
    response.end(body);
}
