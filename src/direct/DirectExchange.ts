import type http from "node:http";
import { type RequestMemory, UNCOUNTED_MEMORY } from "../memory/index.js";
import type { Cause } from "../protocol/index.js";
import { readMonotonicMs } from "../utils/time.js";
import { type RequestDemand, UNKNOWN_DEMAND } from "./candidates/RequestDemand.js";
import type { RouteIndex } from "./RouteIndex.js";
import type { RouteDefinition, TeamDefinition } from "./RoutingDocument.js";

/** Attempt of an exchange at one endpoint, as reported in logs and metrics. */
export interface ExchangeAttempt {
    endpoint: string;
    /** Kind of result. */
    resultKind: string;
    /** Result with its details. */
    result: string;
    /** Time from the arrival of the request to the send, in milliseconds. */
    sentAfterMs: number;
    /** Time from the send to the result, in milliseconds. */
    durationMs: number;
    /** Age of the endpoint data at the time of the send, in milliseconds. */
    endpointDataAgeMs: number;
}

/** A request and its response, as processed by the filters of a direct router. */
export interface DirectExchange {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    /** Account of what the request makes the router hold. */
    readonly memory: RequestMemory;
    /** Identifier of the caller's attempt. */
    readonly id: string;
    /** Routes in force at arrival; they apply to the whole exchange. */
    readonly index: RouteIndex;
    /** Monotonic time of arrival, in milliseconds. */
    readonly arrivedAt: number;
    /** Timeout that the caller announced, counted from arrival, in milliseconds. */
    readonly callerTimeoutMs: number;
    /** Monotonic time at which the exchange times out, in milliseconds. */
    readonly deadlineAt: number;
    route: RouteDefinition | undefined;
    /** Estimated time that the caller has waited in earlier attempts, in milliseconds. */
    waitedBeforeMs: number;
    service: string;
    /** Parts of the prompt that other requests may share, each with the service, as an engine crashes on its own account. */
    sharedParts: string[];
    team: TeamDefinition | undefined;
    /** What the request needs and is worth; known before it is sent to an endpoint. */
    demand: RequestDemand;
    body: Buffer;
    /** Aborted when the caller disconnects or the exchange times out. */
    readonly abortController: AbortController;
    isCallerGone: boolean;
    /** Number of requests that were in progress on the same connection at arrival. */
    requestsAhead: number;
    isTimedOut: boolean;
    attempts: ExchangeAttempt[];
    /** Number of stream events passed on to the caller. */
    eventCount: number;
    /** Longest time between two writes of events to the caller, in milliseconds. */
    longestPauseMs: number;
    /** Monotonic time of the first byte to the caller, in milliseconds. */
    firstByteAt: number | undefined;
    /** Monotonic time at which the last event was passed on to the caller, in milliseconds. */
    lastEventAt: number | undefined;
    /** Why the answer was cut off. */
    failureCause: Cause | undefined;
    /**
     * Delay after which the caller should return if the admission refuses it, in milliseconds; 0 if it should not return,
     * undefined if the admission names none.
     */
    admissionDelayMs: number | undefined;
    /** Moves the deadline forward; a time after the current deadline has no effect. */
    shortenDeadline(at: number): void;
    /** Cancels the deadline timer. */
    clearDeadline(): void;
}

/** Values that an exchange is created with. */
export type DirectExchangeOptions = Pick<DirectExchange, "request" | "response" | "index" | "id" | "callerTimeoutMs"> &
    Partial<Pick<DirectExchange, "memory">>;

/**
 * Creates an exchange that has no deadline yet.
 * @param options - Request, response and the routes in force.
 */
export function createDirectExchange(options: DirectExchangeOptions): DirectExchange {
    const arrivedAt = readMonotonicMs();
    let deadlineAt = Number.POSITIVE_INFINITY;
    let timer: NodeJS.Timeout | undefined;
    const exchange: DirectExchange = {
        memory: UNCOUNTED_MEMORY,
        ...options,
        arrivedAt,
        get deadlineAt() {
            return deadlineAt;
        },
        route: undefined,
        waitedBeforeMs: 0,
        service: "",
        sharedParts: [],
        team: undefined,
        demand: UNKNOWN_DEMAND,
        body: Buffer.alloc(0),
        abortController: new AbortController(),
        isCallerGone: false,
        requestsAhead: 0,
        isTimedOut: false,
        attempts: [],
        eventCount: 0,
        longestPauseMs: 0,
        firstByteAt: undefined,
        lastEventAt: undefined,
        failureCause: undefined,
        admissionDelayMs: undefined,
        shortenDeadline(at) {
            if (at < deadlineAt) {
                deadlineAt = at;
                clearTimeout(timer);
                timer = setTimeout(expire, Math.max(0, at - readMonotonicMs()));
            }
        },
        clearDeadline: () => clearTimeout(timer),
    };
    return exchange;

    function expire(): void {
        exchange.isTimedOut = true;
        exchange.abortController.abort();
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
 * Tells whether the route's target for the first byte is exceeded at a time, counted from the caller's first attempt.
 * @param exchange - Exchange.
 * @param at - Monotonic time, in milliseconds.
 */
export function isPastTarget(exchange: RoutedExchange, at: number): boolean {
    return exchange.waitedBeforeMs + at - exchange.arrivedAt > exchange.route.targetMs;
}

/**
 * Tells whether an answer missed a target of its route: its first byte was late, or a pause between events was too long.
 * @param exchange - Exchange that is settled.
 */
export function isAnswerLate(exchange: RoutedExchange): boolean {
    const { firstByteAt, longestPauseMs, route } = exchange;
    const isFirstByteLate = firstByteAt !== undefined && isPastTarget(exchange, firstByteAt);
    return isFirstByteLate || (route.maxPauseMs > 0 && longestPauseMs > route.maxPauseMs);
}

/**
 * Gets the urgency of a request: that of its team if it has one, otherwise that of its route.
 * @param exchange - Exchange with a route.
 */
export function getUrgency(exchange: RoutedExchange): number {
    return exchange.team?.urgency ?? exchange.route.urgency;
}
