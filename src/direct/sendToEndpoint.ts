import { readMonotonicMs } from "../utils/time.js";
import { isFramed } from "../utils/watchReset.js";
import { type RetryState, SendResult } from "./RetryState.js";
import type { DirectContext } from "./DirectContext.js";
import type { RoutedExchange } from "./DirectExchange.js";
import {
    CallFailure,
    type FailedCall,
    type EndpointResponse,
    STATUS_MISDIRECTED,
    openEndpointCall,
} from "./EndpointCall.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import { canRetry } from "./attemptRefusals.js";
import { buildEndpointHeaders } from "./buildEndpointHeaders.js";
import { type ResponseRelay, RelayResult } from "./relay/ResponseRelay.js";

const STATUS_UNAVAILABLE = 503;

/**
 * Sends a request to one endpoint and relays its response.
 * @param exchange - Exchange whose body is read.
 * @param context - Shared parts of the router.
 * @param relay - Relays the response to the caller.
 * @param state - State of the request, which is updated.
 * @param endpoint - Endpoint to which the request is sent.
 */
export async function sendToEndpoint(
    exchange: RoutedExchange,
    context: DirectContext,
    relay: ResponseRelay,
    state: RetryState,
    endpoint: EndpointRecord,
): Promise<SendResult> {
    const sentAt = readMonotonicMs();
    // Several requests may have chosen the endpoint in one turn of the event loop, so its room is taken only here.
    const room = context.endpointMemory.takeRoom(endpoint, exchange.demand.tokens, sentAt);
    if (room === undefined) {
        return SendResult.HeldBack;
    }
    const ticket = context.cold.takeSend(endpoint, sentAt);
    if (ticket === undefined) {
        room.release(sentAt);
        return SendResult.HeldBack;
    }
    const knownAgeMs = Math.round(context.getEndpointAgeMs());
    context.load.startRequest(endpoint.id);
    context.limiter.recordSend(endpoint.id, sentAt);
    context.pauses.recordSend(endpoint.id, sentAt);
    state.triedEndpoints.add(endpoint.id);
    let result = "";
    let kind = "";
    try {
        const call = await openEndpointCall(
            {
                endpoint,
                method: exchange.request.method ?? "GET",
                path: exchange.request.url ?? "/",
                headers: buildEndpointHeaders(exchange, context.names, endpoint, relay.buildResumeHeaders()),
                body: exchange.body,
                attemptId: exchange.id,
                onConnected: () => ticket.recordWrite(readMonotonicMs()),
                canSend: () => canSendToZone(endpoint, context),
            },
            context.names,
            exchange.abortController.signal,
        );
        if ("failed" in call) {
            kind = call.failed.kind;
            result = `${kind}: ${call.failed.detail}`;
            return handleFailedCall(call.failed, endpoint, context, state);
        }
        context.notices.recordNotice(endpoint, call.response.notice, readMonotonicMs());
        context.cold.recordAnswer(endpoint, call.response.notice.coldMs, readMonotonicMs());
        if (call.response.status === STATUS_MISDIRECTED) {
            ticket.release();
        }
        const end = await handleResponse(call.response, exchange, context, relay, state, endpoint);
        kind = end;
        result = `${end} ${call.response.status} ${describeFraming(call.response)}`;
        return end;
    } finally {
        const now = readMonotonicMs();
        context.load.endRequest(endpoint.id);
        room.release(now);
        context.admission.recordRequestEnd(exchange.service, endpoint.id);
        ticket.end(now);
        recordFirstEventTime(exchange, context, sentAt);
        exchange.attempts.push({
            endpoint: endpoint.id,
            resultKind: kind,
            result,
            sentAfterMs: Math.round(sentAt - exchange.arrivedAt),
            durationMs: Math.round(now - sentAt),
            endpointDataAgeMs: knownAgeMs,
        });
    }
}

/** An evacuation may have begun, or the process may have stood still, while the connection was opened. */
function canSendToZone({ zone }: EndpointRecord, { evacuations }: DirectContext): boolean {
    return !evacuations.isEvacuated(zone) && !evacuations.isReadNeeded();
}

function handleFailedCall(
    failed: FailedCall,
    endpoint: EndpointRecord,
    context: DirectContext,
    state: RetryState,
): SendResult {
    state.lastFailure = failed.kind;
    if (!failed.mayHaveRun) {
        state.connectionFailures++;
        if (failed.kind === CallFailure.Unreachable) {
            context.outages.recordRejection(endpoint.service, endpoint.id, readMonotonicMs());
            context.health.recordUnreachable(endpoint.id, readMonotonicMs());
            context.cold.recordUnreachable(endpoint, readMonotonicMs());
        }
        return SendResult.Unreachable;
    }
    state.sendCount++;
    state.mayHaveRun = true;
    if (failed.kind !== CallFailure.Cancelled) {
        context.health.recordFailure(endpoint.id, readMonotonicMs());
    }
    return SendResult.Incomplete;
}

async function handleResponse(
    response: EndpointResponse,
    exchange: RoutedExchange,
    context: DirectContext,
    relay: ResponseRelay,
    state: RetryState,
    endpoint: EndpointRecord,
): Promise<SendResult> {
    state.sendCount++;
    state.lastFailure = undefined;
    if (response.isNotRun) {
        response.message.destroy();
        context.outages.recordRejection(endpoint.service, endpoint.id, readMonotonicMs());
        return SendResult.NotRun;
    }
    if (isNotRunStatus(response.status)) {
        // Without the not-run header the request may have run, so a status that denies this is not relayed.
        response.message.destroy();
        state.mayHaveRun = true;
        context.health.recordFailure(endpoint.id, readMonotonicMs());
        return SendResult.Incomplete;
    }
    context.outages.recordAcceptance(endpoint.service);
    const isFinalAttempt = !canRetry(exchange) || state.sendCount >= exchange.route.maxAttempts;
    const end = await relay.relayResponse(response, isFinalAttempt);
    if (end === RelayResult.Complete) {
        context.health.recordSuccess(endpoint.id);
        return SendResult.Answered;
    }
    state.mayHaveRun = true;
    if (!exchange.abortController.signal.aborted) {
        context.health.recordFailure(endpoint.id, readMonotonicMs());
    }
    return end === RelayResult.Failed ? SendResult.Failed : SendResult.Incomplete;
}

/** Describes for the log whether the body had a defined length and whether the connection broke. */
function describeFraming({ message, isTruncated }: EndpointResponse): string {
    return `${isFramed(message) ? "framed" : "unframed"}${isTruncated() ? ", cut" : ""}`;
}

/** Tells whether a status, sent to a caller, guarantees that the request did not run: 408, 429 or 503. */
function isNotRunStatus(status: number): boolean {
    return status === 408 || status === 429 || status === STATUS_UNAVAILABLE;
}

/** Records the time to the first event of a stream, if it was sent by this endpoint. */
function recordFirstEventTime(exchange: RoutedExchange, context: DirectContext, sentAt: number): void {
    if (exchange.firstByteAt !== undefined && exchange.firstByteAt > sentAt && exchange.eventCount > 0) {
        context.admission.recordFirstEvent(exchange.service, exchange.firstByteAt - sentAt);
    }
}
