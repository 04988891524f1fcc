import type { IncomingHttpHeaders } from "node:http";
import { getHeader } from "../protocol/index.js";
import type { DirectExchange } from "./DirectExchange.js";
import type { HeaderNames } from "./HeaderNames.js";

/** Timeout of callers that announce none, in milliseconds. */
const DEFAULT_DEADLINE_MS = 60_000;
/** Time reserved for delivering the router's answer before the caller's deadline, in milliseconds. */
const ANSWER_MARGIN_MS = 20;

/**
 * Reads the timeout that a caller announces, in milliseconds.
 * @param headers - Headers of its request.
 * @param names - Names of the headers.
 */
export function readCallerTimeout(headers: IncomingHttpHeaders, names: Pick<HeaderNames, "deadline">): number {
    const requestedMs = Number(getHeader(headers, names.deadline) ?? DEFAULT_DEADLINE_MS);
    return Number.isFinite(requestedMs) && requestedMs > 0 ? requestedMs : DEFAULT_DEADLINE_MS;
}

/**
 * Brings forward the deadline of an exchange so that its answer reaches the caller within its timeout.
 * @param exchange - Exchange that has arrived.
 */
export function applyCallerTimeout(exchange: DirectExchange): void {
    exchange.shortenDeadline(exchange.arrivedAt + Math.max(1, exchange.callerTimeoutMs - ANSWER_MARGIN_MS));
}
