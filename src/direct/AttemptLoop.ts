import type { Refusal } from "../protocol/index.js";
import { readMonotonicMs } from "../utils/time.js";
import { type CrashGuard, createCrashGuard } from "./CrashGuard.js";
import { type RetryState, SendResult, createRetryState } from "./RetryState.js";
import type { DirectContext } from "./DirectContext.js";
import type { RoutedExchange } from "./DirectExchange.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import {
    checkRetry,
    createNoCapacityRefusal,
    createNoEndpointRefusal,
    createTimeoutRefusal,
    createOutageRefusal,
    prolongRetryDelay,
    takeRetry,
} from "./attemptRefusals.js";
import { type ChoiceOptions, chooseEndpoint } from "./chooseEndpoint.js";
import type { OutageGate } from "./outage/index.js";
import type { ResponseRelay } from "./relay/ResponseRelay.js";
import { sendToEndpoint } from "./sendToEndpoint.js";

/**
 * Sends a request to endpoints until the caller has a response or no retry is allowed.
 * @param exchange - Exchange whose body is read.
 * @param context - Shared parts of the router.
 * @param relay - Relays the response to the caller.
 * @returns Refusal; undefined if a response was relayed or the caller has disconnected.
 */
export async function runAttempts(
    exchange: RoutedExchange,
    context: DirectContext,
    relay: ResponseRelay,
): Promise<Refusal | undefined> {
    const state = createRetryState();
    const guard = createCrashGuard(exchange, context);
    const crashRefusal = guard.findRefusal(state);
    if (crashRefusal !== undefined) {
        return crashRefusal;
    }
    const gate = findOutageGate(exchange, context);
    const now = readMonotonicMs();
    const outageDelayMs =
        gate === undefined ? context.outages.checkRequest(exchange.service, exchange.deadlineAt - now, now) : undefined;
    if (outageDelayMs !== undefined) {
        return createOutageRefusal(state, outageDelayMs);
    }
    try {
        return await repeatAttempts(exchange, context, relay, state, { guard, gate });
    } finally {
        guard.recordEnd();
    }
}

/**
 * Finds the gate that decides about a request during outages; undefined if it is refused during them.
 * @param exchange - Request.
 * @param context - Shared parts of the router.
 */
export function findOutageGate(exchange: RoutedExchange, context: DirectContext): OutageGate | undefined {
    return context.outageGate?.isResponsible(exchange) === true ? context.outageGate : undefined;
}

/** What watches the attempts of a request. */
interface AttemptGuards {
    guard: CrashGuard;
    /** Holds the request during an outage; undefined if it is refused. */
    gate: OutageGate | undefined;
}

async function repeatAttempts(
    exchange: RoutedExchange,
    context: DirectContext,
    relay: ResponseRelay,
    state: RetryState,
    { guard, gate }: AttemptGuards,
): Promise<Refusal | undefined> {
    for (;;) {
        const turn = await waitForTurn(exchange, context, state, gate);
        if (exchange.isCallerGone) {
            return undefined;
        }
        const next = turn === undefined ? await findEndpointOrRefusal(exchange, context, state, guard) : turn;
        if (next === undefined) {
            return undefined;
        }
        if ("refusal" in next) {
            return relay.sendBufferedFailure() ? undefined : next.refusal;
        }
        guard.recordSend();
        gate?.recordSend(exchange, next.endpoint);
        const result = await sendToEndpoint(exchange, context, relay, state, next.endpoint).finally(() =>
            gate?.recordEnd(exchange),
        );
        if (result === SendResult.HeldBack) {
            continue;
        }
        if (result === SendResult.Answered) {
            guard.recordCompletion();
            gate?.recordAnswer(exchange);
        }
        if (result === SendResult.Answered || exchange.isCallerGone) {
            return undefined;
        }
        if (result === SendResult.Incomplete) {
            const isOver = exchange.abortController.signal.aborted;
            const held = isOver ? undefined : gate?.recordLoss(exchange, next.endpoint);
            await Promise.all([guard.recordLoss(next.endpoint, state), held]);
        }
        const refusal = checkRetry(exchange, context, state, result);
        if (refusal !== undefined) {
            return relay.sendBufferedFailure() ? undefined : prolongRetryDelay(refusal, exchange, context, state);
        }
    }
}

/**
 * Waits for the end of an outage.
 * @returns Undefined if the request may be sent, or its caller has left; a refusal otherwise.
 */
async function waitForTurn(
    exchange: RoutedExchange,
    context: DirectContext,
    state: RetryState,
    gate: OutageGate | undefined,
): Promise<{ refusal: Refusal } | undefined> {
    const action = await gate?.waitForTurn(exchange, state);
    if (exchange.isCallerGone) {
        return undefined;
    }
    if (gate === undefined || action?.isSent === true) {
        const refusal = state.isRetryOwed ? takeRetry(exchange, context, state) : undefined;
        return refusal && { refusal };
    }
    return {
        refusal:
            action === undefined ? createTimeoutRefusal(state.mayHaveRun) : createOutageRefusal(state, action.delayMs),
    };
}

/** Chooses the endpoint for the next send, or returns a refusal if there is none; undefined if the caller has left. */
async function findEndpointOrRefusal(
    exchange: RoutedExchange,
    context: DirectContext,
    state: RetryState,
    guard: CrashGuard,
): Promise<{ endpoint: EndpointRecord } | { refusal: Refusal } | undefined> {
    const early = guard.findRefusal(state);
    if (early !== undefined) {
        return { refusal: early };
    }
    const isFirst = state.triedEndpoints.size === 0;
    const open = await context.admission.waitForEndpoints(exchange, state.triedEndpoints, isFirst);
    if (exchange.isCallerGone) {
        return undefined;
    }
    if (open === undefined) {
        const isTimedOut = exchange.isTimedOut && !isFirst;
        return {
            refusal: isTimedOut
                ? createTimeoutRefusal(state.mayHaveRun)
                : createNoCapacityRefusal(state, exchange, context),
        };
    }
    const late = guard.findRefusal(state);
    if (late !== undefined) {
        return { refusal: late };
    }
    const endpoint = chooseEndpoint(open, buildChoiceOptions(exchange, context, state));
    if (endpoint === undefined) {
        return { refusal: createNoEndpointRefusal(state, exchange, context) };
    }
    return { endpoint };
}

/**
 * Builds what the choice of an endpoint depends on.
 * @param exchange - Request.
 * @param context - Shared parts of the router.
 * @param state - State of the request.
 */
export function buildChoiceOptions(exchange: RoutedExchange, context: DirectContext, state: RetryState): ChoiceOptions {
    const now = readMonotonicMs();
    const isTrial = state.triedEndpoints.size === 0 && exchange.route.maxAttempts > 1;
    return {
        host: context.host,
        zone: context.zone,
        load: context.load,
        health: context.health,
        limiter: context.limiter,
        isDoubtful: endpoint => context.pauses.isDoubtful(endpoint, isTrial, now),
        now,
        tried: state.triedEndpoints,
    };
}
