import { Cause, type Refusal } from "../protocol/index.js";
import { MAX_LOSSES } from "../scheduling/index.js";
import { computeDigest } from "../utils/digest.js";
import { readMonotonicMs } from "../utils/time.js";
import { type AttemptState, SendEnd } from "./AttemptState.js";
import type { DirectContext } from "./DirectContext.js";
import type { RoutedExchange } from "./DirectExchange.js";
import { CallFailure } from "./EndpointCall.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import {
    checkFurtherSend,
    createNoEndpoint,
    createNoRoom,
    createRefusal,
    prolongDuringOutage,
} from "./attemptRefusals.js";
import { chooseEndpoint } from "./chooseEndpoint.js";
import { probeConnection } from "./probeConnection.js";
import type { AnswerRelay } from "./relay/AnswerRelay.js";
import { sendOnce } from "./sendOnce.js";

/**
 * Sends a request to endpoints until the caller has an answer or no further send is allowed.
 * @param exchange - Exchange whose body is read.
 * @param context - Parts of the router.
 * @param relay - Passes the answer on.
 * @returns Refusal; undefined if the caller has an answer, or a part of a stream.
 */
export async function runAttempts(
    exchange: RoutedExchange,
    context: DirectContext,
    relay: AnswerRelay,
): Promise<Refusal | undefined> {
    const state: AttemptState = {
        tried: new Set(),
        sends: 0,
        unreachable: 0,
        mayHaveRun: false,
        lastFailure: undefined,
    };
    const digest = createLazyDigest(exchange);
    const now = readMonotonicMs();
    const outageMs = context.outages.checkRequest(exchange.service, exchange.deadlineAt - now, now);
    if (outageMs !== undefined) {
        return createRefusal(state, Cause.NoEndpoint, "no endpoint of the service takes work", outageMs);
    }
    if (!(await context.admission.waitForCapacity(exchange))) {
        return exchange.isCallerGone ? undefined : createNoRoom(state, exchange);
    }
    for (;;) {
        const next = findNextSend(exchange, context, state, digest);
        if ("refusal" in next) {
            return relay.sendKeptFailure() ? undefined : next.refusal;
        }
        const end = await sendOnce(exchange, context, relay, state, next.endpoint);
        if (end === SendEnd.Answered) {
            clearSuspect(context, digest);
        }
        if (end === SendEnd.Answered || exchange.isCallerGone) {
            return undefined;
        }
        if (end === SendEnd.Broken) {
            await recordLoss(next.endpoint, context, state, digest);
        }
        const refusal = checkFurtherSend(exchange, context, state, end);
        if (refusal !== undefined) {
            return relay.sendKeptFailure() ? undefined : prolongDuringOutage(refusal, exchange, context);
        }
    }
}

/** Finds the endpoint of the next send, or the reason why there is none. */
function findNextSend(
    exchange: RoutedExchange,
    context: DirectContext,
    state: AttemptState,
    digest: () => string,
): { endpoint: EndpointRecord } | { refusal: Refusal } {
    if (!context.suspects.isEmpty() && context.suspects.getLosses(digest()) >= MAX_LOSSES) {
        const detail = "endpoints were lost under this request";
        return { refusal: createRefusal(state, Cause.CrashSuspected, detail, undefined) };
    }
    const endpoint = findEndpoint(exchange, context, state);
    if (endpoint === undefined) {
        return { refusal: createNoEndpoint(state) };
    }
    return { endpoint };
}

/** A request that ran to its end doesn't crash endpoints: those lost under it before were lost to something else. */
function clearSuspect(context: DirectContext, digest: () => string): void {
    if (!context.suspects.isEmpty()) {
        context.suspects.recordCompletion(digest());
    }
}

function findEndpoint(
    exchange: RoutedExchange,
    context: DirectContext,
    state: AttemptState,
): EndpointRecord | undefined {
    return chooseEndpoint(context.directory.listServing(exchange.service), {
        host: context.host,
        zone: context.zone,
        load: context.load,
        health: context.health,
        now: readMonotonicMs(),
        tried: state.tried,
    });
}

/** Counts a loss against the request if the endpoint itself is gone: its other requests may be innocent. */
async function recordLoss(
    endpoint: EndpointRecord,
    context: DirectContext,
    state: AttemptState,
    digest: () => string,
): Promise<void> {
    if (state.lastFailure === CallFailure.Cancelled || state.lastFailure === CallFailure.Mismatched) {
        return;
    }
    if (!(await probeConnection(endpoint.host, endpoint.port))) {
        context.health.recordUnreachable(endpoint.id, readMonotonicMs());
        context.suspects.recordLoss(digest(), readMonotonicMs());
    }
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
