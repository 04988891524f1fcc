import type http from "node:http";
import type { Cause } from "../protocol/index.js";
import { readMonotonicMs } from "../utils/time.js";
import type { RouteIndex } from "./RouteIndex.js";
import type { RouteDefinition, TeamDefinition } from "./RoutingDocument.js";

/** Attempt of an exchange at one endpoint, for the log. */
export interface ExchangeAttempt {
    endpoint: string;
    /** Kind of its end. */
    end: string;
    /** The end with its details. */
    result: string;
    /** Time from the arrival of the request to the send, in milliseconds. */
    sentAfterMs: number;
    lastedMs: number;
    /** Age of what was known of the endpoints at the send, in milliseconds. */
    knownAgeMs: number;
}

/** A request on its way through the filters of a direct router. */
export interface DirectExchange {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    /** Identifier of the caller's attempt. */
    readonly id: string;
    /** Routes in force at arrival; the whole exchange obeys them. */
    readonly index: RouteIndex;
    /** Monotonic time of arrival, in milliseconds. */
    readonly arrivedAt: number;
    /** Time that the caller would wait at arrival, in milliseconds. */
    readonly patienceMs: number;
    /** Monotonic time at which nobody waits any more, in milliseconds. */
    readonly deadlineAt: number;
    route: RouteDefinition | undefined;
    /** Time that the caller has waited in earlier attempts, as far as it can be told, in milliseconds. */
    waitedBeforeMs: number;
    service: string;
    team: TeamDefinition | undefined;
    body: Buffer;
    /** Aborted when the caller leaves or its time is over. */
    readonly ending: AbortController;
    isCallerGone: boolean;
    isTimeOver: boolean;
    attempts: ExchangeAttempt[];
    /** Events of a stream that were passed on. */
    events: number;
    /** Longest time between two passes of events to the caller, in milliseconds. */
    longestPauseMs: number;
    /** Monotonic time of the first byte to the caller, in milliseconds. */
    firstByteAt: number | undefined;
    /** Cause of an answer that was cut. */
    failure: Cause | undefined;
    /** Brings the deadline forward; a later time changes nothing. */
    shortenDeadline(at: number): void;
    /** Ends the watch over the deadline. */
    stopClock(): void;
}

/** Parts that an exchange begins with. */
export type DirectExchangeOptions = Pick<DirectExchange, "request" | "response" | "index" | "id" | "patienceMs">;

/**
 * Creates an exchange without a deadline.
 * @param options - Request, response and the routes in force.
 */
export function createDirectExchange(options: DirectExchangeOptions): DirectExchange {
    const arrivedAt = readMonotonicMs();
    let deadlineAt = Number.POSITIVE_INFINITY;
    let timer: NodeJS.Timeout | undefined;
    const exchange: DirectExchange = {
        ...options,
        arrivedAt,
        get deadlineAt() {
            return deadlineAt;
        },
        route: undefined,
        waitedBeforeMs: 0,
        service: "",
        team: undefined,
        body: Buffer.alloc(0),
        ending: new AbortController(),
        isCallerGone: false,
        isTimeOver: false,
        attempts: [],
        events: 0,
        longestPauseMs: 0,
        firstByteAt: undefined,
        failure: undefined,
        shortenDeadline(at) {
            if (at < deadlineAt) {
                deadlineAt = at;
                clearTimeout(timer);
                timer = setTimeout(end, Math.max(0, at - readMonotonicMs()));
            }
        },
        stopClock: () => clearTimeout(timer),
    };
    return exchange;

    function end(): void {
        exchange.isTimeOver = true;
        exchange.ending.abort();
    }
}

/** An exchange whose route is known. */
export interface RoutedExchange extends DirectExchange {
    route: RouteDefinition;
}

/**
 * Tells whether the route of an exchange is known.
 * @param exchange - Exchange.
 */
export function isRouted(exchange: DirectExchange): exchange is RoutedExchange {
    return exchange.route !== undefined;
}

/**
 * Tells whether the time in which a first byte is worth most is over at a time, counted from the caller's first attempt.
 * @param exchange - Exchange.
 * @param at - Monotonic time, in milliseconds.
 */
export function isPastTarget(exchange: RoutedExchange, at: number): boolean {
    return exchange.waitedBeforeMs + at - exchange.arrivedAt > exchange.route.targetMs;
}

/**
 * Tells whether an answer came later than it is worth most: its first byte, or an event after a pause.
 * @param exchange - Exchange that is settled.
 */
export function isAnswerLate(exchange: RoutedExchange): boolean {
    const { firstByteAt, longestPauseMs, route } = exchange;
    const isFirstByteLate = firstByteAt !== undefined && isPastTarget(exchange, firstByteAt);
    return isFirstByteLate || (route.maxPauseMs > 0 && longestPauseMs > route.maxPauseMs);
}

/**
 * Gets the urgency of a request: its team's goes before its route's.
 * @param exchange - Exchange with a route.
 */
export function getUrgency(exchange: RoutedExchange): number {
    return exchange.team?.urgency ?? exchange.route.urgency;
}
