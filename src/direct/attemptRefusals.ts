import { Cause, Outcome, type Refusal } from "../protocol/index.js";
import { readMonotonicMs } from "../utils/time.js";
import { type AssessedEndpoint, ExclusionReason } from "./candidates/index.js";
import { type RetryState, SendResult } from "./RetryState.js";
import type { DirectContext } from "./DirectContext.js";
import type { RoutedExchange } from "./DirectExchange.js";
import { RouteKind } from "./RoutingDocument.js";

/** Maximum number of failed connections for one request. They take nothing from the retry budget, as nothing was sent. */
const MAX_CONNECTION_FAILURES = 4;
const STATUS_UNAVAILABLE = 503;
const STATUS_BAD_GATEWAY = 502;
const STATUS_GATEWAY_TIMEOUT = 504;
/** Delay after which an endpoint is likely to have free capacity or to have been discovered, in milliseconds. */
const RETRY_DELAY_MS = 250;
/** Delay after which this router may send cold endpoints requests again, in milliseconds: their rate holds for any second. */
const COLD_RETRY_DELAY_MS = 1_000;
/** Fraction of the caller's remaining time that Retry-After may ask for; callers ignore longer delays. */
const RETRY_DELAY_FRACTION = 0.3;

/**
 * Checks whether a request may be sent to another endpoint.
 * @param exchange - Exchange that was sent.
 * @param context - Shared parts of the router.
 * @param state - State of the request.
 * @param result - Result of the last send.
 * @returns Refusal; undefined if the request may be sent again.
 */
export function checkRetry(
    exchange: RoutedExchange,
    context: DirectContext,
    state: RetryState,
    result: SendResult,
): Refusal | undefined {
    if (exchange.isTimedOut) {
        return createTimeoutRefusal(state.mayHaveRun);
    }
    if (result === SendResult.Unreachable) {
        return state.connectionFailures > MAX_CONNECTION_FAILURES
            ? createRefusal(state, Cause.EndpointLost, "could not connect to any endpoint", RETRY_DELAY_MS)
            : undefined;
    }
    if (state.mayHaveRun && !canRetry(exchange)) {
        return createRefusal(
            state,
            Cause.EndpointFailed,
            "endpoint sent no usable response; the request may have run",
            undefined,
        );
    }
    if (state.sendCount >= exchange.route.maxAttempts) {
        return createRefusal(
            state,
            getExhaustedCause(result),
            `${state.sendCount} endpoints gave no answer`,
            RETRY_DELAY_MS,
        );
    }
    if (context.outageGate?.isResponsible(exchange) === true && context.outageGate.isHolding(exchange)) {
        // The endpoints reject all sends, so that a retry from the budget would be lost.
        state.isRetryOwed = true;
        state.triedEndpoints.clear();
        return undefined;
    }
    return takeRetry(exchange, context, state);
}

/**
 * Takes a retry from the budget.
 * @param exchange - Exchange that is to be sent again.
 * @param context - Shared parts of the router.
 * @param state - State of the request.
 * @returns Refusal if the budget is spent.
 */
export function takeRetry(exchange: RoutedExchange, context: DirectContext, state: RetryState): Refusal | undefined {
    state.isRetryOwed = false;
    return context.retries.takeRetry(exchange.service)
        ? undefined
        : createRefusal(state, Cause.RetryBudgetSpent, "retry budget is spent", RETRY_DELAY_MS);
}

/** Gets the cause of a refusal after the maximum number of sends. */
function getExhaustedCause(result: SendResult): Cause {
    return result === SendResult.NotRun ? Cause.Overload : Cause.EndpointFailed;
}

/**
 * Tells whether a request may safely run more than once.
 * @param exchange - Exchange with a route.
 */
export function canRetry(exchange: RoutedExchange): boolean {
    const { kind, isResumable } = exchange.route;
    return kind === RouteKind.Idempotent || (kind === RouteKind.Stream && isResumable);
}

/**
 * Creates the refusal of a request for which no endpoint is available. Endpoints that want a pause are available after it.
 * @param state - State of the request.
 * @param exchange - Exchange that is refused.
 * @param context - Shared parts of the router.
 */
export function createNoEndpointRefusal(state: RetryState, exchange: RoutedExchange, context: DirectContext): Refusal {
    const now = readMonotonicMs();
    const assessed = context.candidates.assessEndpoints(exchange.service, exchange.demand, now);
    const excluded = createExclusionRefusal(state, exchange, assessed);
    if (excluded !== undefined) {
        return excluded;
    }
    const serving = assessed.map(({ endpoint }) => endpoint);
    const pauseMs = context.notices.getPauseMs(serving, now) ?? RETRY_DELAY_MS;
    const delayMs = computeRetryDelay(exchange, Math.max(RETRY_DELAY_MS, pauseMs));
    return createRefusal(state, Cause.NoEndpoint, "no endpoint is available for the request", delayMs);
}

/**
 * Names what excludes the endpoints if it lasts longer than a request: the size of the request, an evacuation, or the homes of
 * the route and team. A request that never fits gets no delay. The end of the others isn't known, so the caller is asked for
 * the longest delay that it honours.
 */
function createExclusionRefusal(
    state: RetryState,
    exchange: RoutedExchange,
    assessed: readonly AssessedEndpoint[],
): Refusal | undefined {
    const untried = assessed.filter(({ endpoint }) => !state.triedEndpoints.has(endpoint.id));
    const delayMs = computeRetryDelay(exchange, Number.POSITIVE_INFINITY);
    const isOutside = ({ reasons }: AssessedEndpoint): boolean => reasons.includes(ExclusionReason.OutsideHomes);
    if (assessed.length > 0 && assessed.every(({ reasons }) => reasons.includes(ExclusionReason.TooLarge))) {
        return createRefusal(
            state,
            Cause.ExceedsMemory,
            "the tokens of the request exceed each endpoint's memory",
            undefined,
        );
    }
    if (assessed.length > 0 && assessed.every(isOutside)) {
        return createRefusal(state, Cause.OutsideHomes, "no endpoint is in the homes of the request", delayMs);
    }
    const isEvacuated = untried.some(
        assessment => !isOutside(assessment) && assessment.reasons.includes(ExclusionReason.Evacuated),
    );
    return isEvacuated && untried.every(({ reasons }) => reasons.length > 0)
        ? createRefusal(state, Cause.ZoneEvacuated, "the availability zones with endpoints are evacuated", delayMs)
        : undefined;
}

/**
 * Limits a retry delay to what the caller will wait.
 * @param exchange - Exchange that is refused.
 * @param delayMs - Delay that suits the cause, in milliseconds.
 */
export function computeRetryDelay(exchange: RoutedExchange, delayMs: number): number {
    const leftMs = Math.max(0, exchange.deadlineAt - readMonotonicMs());
    return Math.min(delayMs, leftMs * RETRY_DELAY_FRACTION);
}

/**
 * Creates the refusal of a request that waited for free capacity until its target time could not be met. A retry misses
 * the target time anyway, so it is delayed until the load peak is more likely to be over.
 * @param state - State of the request.
 * @param exchange - Exchange that waited.
 * @param context - Shared parts of the router.
 */
export function createNoCapacityRefusal(state: RetryState, exchange: RoutedExchange, context: DirectContext): Refusal {
    const now = readMonotonicMs();
    const hasCandidate = context.candidates.listCandidates(exchange.service, exchange.demand, now).length > 0;
    const isMemoryFull = !hasCandidate && hasFullMemory(exchange, context, now);
    if (!hasCandidate && !isMemoryFull) {
        const coldDelayMs = computeRetryDelay(exchange, COLD_RETRY_DELAY_MS);
        return createRefusal(state, Cause.Overload, "all endpoints are cold and at their rate", coldDelayMs);
    }
    const longestMs = Math.max(RETRY_DELAY_MS, (exchange.deadlineAt - now) * RETRY_DELAY_FRACTION);
    const delayMs = exchange.admissionDelayMs ?? longestMs;
    const detail = isMemoryFull ? "no endpoint had free memory in time" : "no endpoint had free capacity in time";
    return createRefusal(state, Cause.Overload, detail, delayMs || undefined);
}

/** Tells whether some endpoint is excluded for nothing but its memory. */
function hasFullMemory({ service, demand }: RoutedExchange, { candidates }: DirectContext, now: number): boolean {
    return candidates
        .assessEndpoints(service, demand, now)
        .some(({ reasons }) => reasons.length === 1 && reasons[0] === ExclusionReason.MemoryFull);
}

/**
 * Prolongs the retry delay of a refusal during an outage until the service is likely to be available again.
 * @param refusal - Refusal with the usual delay.
 * @param exchange - Exchange that is refused.
 * @param context - Shared parts of the router.
 * @param state - State of the request.
 */
export function prolongRetryDelay(
    refusal: Refusal,
    exchange: RoutedExchange,
    context: DirectContext,
    state: RetryState,
): Refusal {
    if (context.outageGate?.isResponsible(exchange) === true && context.outageGate.isHolding(exchange)) {
        const plannedMs = context.outageGate.planDelay(exchange, state);
        return refusal.retryAfterMs === undefined ? refusal : { ...refusal, retryAfterMs: plannedMs };
    }
    const now = readMonotonicMs();
    const outageDelayMs = context.outages.getRetryDelay(exchange.service, exchange.deadlineAt - now, now);
    return refusal.retryAfterMs === undefined || outageDelayMs === undefined
        ? refusal
        : { ...refusal, retryAfterMs: outageDelayMs };
}

/**
 * Creates the refusal of a request whose service takes no requests.
 * @param state - State of the request.
 * @param delayMs - Time after which the caller may retry, in milliseconds; undefined if it should not retry.
 */
export function createOutageRefusal(state: RetryState, delayMs: number | undefined): Refusal {
    return createRefusal(state, Cause.NoEndpoint, "no endpoint of the service takes work", delayMs);
}

/**
 * Creates the refusal of a request that timed out.
 * @param mayHaveRun - Whether an endpoint may have run the request.
 */
export function createTimeoutRefusal(mayHaveRun: boolean): Refusal {
    const status = mayHaveRun ? STATUS_GATEWAY_TIMEOUT : STATUS_UNAVAILABLE;
    const outcome = mayHaveRun ? Outcome.Unknown : Outcome.NotRun;
    return {
        status,
        outcome,
        cause: Cause.TimedOut,
        detail: "request timed out",
        retryAfterMs: undefined,
    };
}

/**
 * Creates a refusal, whose outcome is unknown if an endpoint may have run the request.
 * @param state - State of the request.
 * @param cause - Cause of the refusal.
 * @param detail - Description of the cause, for the log and the body of the response.
 * @param retryAfterMs - Time after which the caller may retry, in milliseconds; undefined if it should not retry.
 */
export function createRefusal(
    state: RetryState,
    cause: Cause,
    detail: string,
    retryAfterMs: number | undefined,
): Refusal {
    return {
        status: state.mayHaveRun ? STATUS_BAD_GATEWAY : STATUS_UNAVAILABLE,
        outcome: state.mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
        cause,
        detail,
        retryAfterMs: state.mayHaveRun ? undefined : retryAfterMs,
    };
}
