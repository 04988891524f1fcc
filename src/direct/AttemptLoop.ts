import { Cause, type Refusal } from "../protocol/index.js";
import { MAX_LOSSES } from "../scheduling/index.js";
import { EventId } from "../telemetry/index.js";
import { computeDigest } from "../utils/digest.js";
import { readMonotonicMs } from "../utils/time.js";
import { type RetryState, SendResult } from "./RetryState.js";
import type { DirectContext } from "./DirectContext.js";
import type { RoutedExchange } from "./DirectExchange.js";
import { CallFailure } from "./EndpointCall.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import {
    checkRetry,
    createNoCapacityRefusal,
    createNoEndpointRefusal,
    createRefusal,
    prolongRetryDelay,
} from "./attemptRefusals.js";
import { chooseEndpoint } from "./chooseEndpoint.js";
import { ProbeResult, probeConnection } from "./probeConnection.js";
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
    const state: RetryState = {
        triedEndpoints: new Set(),
        sendCount: 0,
        connectionFailures: 0,
        mayHaveRun: false,
        lastFailure: undefined,
    };
    const getDigest = createLazyDigest(exchange);
    const now = readMonotonicMs();
    const outageDelayMs = context.outages.checkRequest(exchange.service, exchange.deadlineAt - now, now);
    if (outageDelayMs !== undefined) {
        return createRefusal(state, Cause.NoEndpoint, "no endpoint of the service takes work", outageDelayMs);
    }
    if (!(await context.admission.waitForCapacity(exchange))) {
        return exchange.isCallerGone ? undefined : createNoCapacityRefusal(state, exchange);
    }
    for (;;) {
        const next = findEndpointOrRefusal(exchange, context, state, getDigest);
        if ("refusal" in next) {
            return relay.sendBufferedFailure() ? undefined : next.refusal;
        }
        const result = await sendToEndpoint(exchange, context, relay, state, next.endpoint);
        if (result === SendResult.Answered) {
            recordCompletion(context, getDigest);
        }
        if (result === SendResult.Answered || exchange.isCallerGone) {
            return undefined;
        }
        if (result === SendResult.Incomplete) {
            await recordEndpointLoss(exchange, next.endpoint, context, state, getDigest);
        }
        const refusal = checkRetry(exchange, context, state, result);
        if (refusal !== undefined) {
            return relay.sendBufferedFailure() ? undefined : prolongRetryDelay(refusal, exchange, context);
        }
    }
}

/** Chooses the endpoint for the next send, or returns a refusal if there is none. */
function findEndpointOrRefusal(
    exchange: RoutedExchange,
    context: DirectContext,
    state: RetryState,
    getDigest: () => string,
): { endpoint: EndpointRecord } | { refusal: Refusal } {
    if (!context.suspects.isEmpty() && context.suspects.getLosses(getDigest()) >= MAX_LOSSES) {
        const detail = "endpoints failed while they ran this request";
        return { refusal: createRefusal(state, Cause.CrashSuspected, detail, undefined) };
    }
    const endpoint = chooseServingEndpoint(exchange, context, state);
    if (endpoint === undefined) {
        return { refusal: createNoEndpointRefusal(state) };
    }
    return { endpoint };
}

/** Clears the suspicion that a request crashes endpoints: as it completed, earlier losses had another cause. */
function recordCompletion(context: DirectContext, getDigest: () => string): void {
    if (!context.suspects.isEmpty()) {
        context.suspects.recordCompletion(getDigest());
    }
}

function chooseServingEndpoint(
    exchange: RoutedExchange,
    context: DirectContext,
    state: RetryState,
): EndpointRecord | undefined {
    return chooseEndpoint(context.directory.listServing(exchange.service), {
        host: context.host,
        zone: context.zone,
        load: context.load,
        health: context.health,
        now: readMonotonicMs(),
        tried: state.triedEndpoints,
    });
}

/** Records that an endpoint may have crashed because of the request, if it no longer accepts connections. */
async function recordEndpointLoss(
    exchange: RoutedExchange,
    endpoint: EndpointRecord,
    context: DirectContext,
    state: RetryState,
    getDigest: () => string,
): Promise<void> {
    if (state.lastFailure === CallFailure.Cancelled || state.lastFailure === CallFailure.Mismatched) {
        return;
    }
    const probe = await probeConnection(endpoint.host, endpoint.port);
    if (probe === ProbeResult.Listening) {
        return;
    }
    context.health.recordUnreachable(endpoint.id, readMonotonicMs());
    context.suspects.recordLoss(getDigest(), readMonotonicMs());
    context.logger.logEvent(EventId.RequestSuspected, {
        attempt: exchange.id,
        team: exchange.team?.name,
        endpoint: endpoint.id,
        probe,
        events: exchange.eventCount,
        parts: context.getSharedParts(exchange.request.headers).join(","),
    });
}

function createLazyDigest(exchange: RoutedExchange): () => string {
    let digest: string | undefined;
    return () => {
        digest ??= computeDigest(
            exchange.team?.name ?? "",
            exchange.request.method ?? "",
            exchange.request.url ?? "",
            exchange.body,
        );
        return digest;
    };
}
