import { readMonotonicMs } from "../utils/time.js";
import { type AttemptState, SendEnd } from "./AttemptState.js";
import type { DirectContext } from "./DirectContext.js";
import type { RoutedExchange } from "./DirectExchange.js";
import { CallFailure, type FailedCall, type OpenedAnswer, isFramed, openEndpointCall } from "./EndpointCall.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import { canRepeat } from "./attemptRefusals.js";
import { buildEndpointHeaders } from "./buildEndpointHeaders.js";
import { type AnswerRelay, RelayEnd } from "./relay/AnswerRelay.js";

const STATUS_UNAVAILABLE = 503;

/**
 * Sends a request to one endpoint and passes its answer on.
 * @param exchange - Exchange whose body is read.
 * @param context - Parts of the router.
 * @param relay - Passes the answer on.
 * @param state - State of the request, which notes the send.
 * @param endpoint - Endpoint that is to run the request.
 */
export async function sendOnce(
    exchange: RoutedExchange,
    context: DirectContext,
    relay: AnswerRelay,
    state: AttemptState,
    endpoint: EndpointRecord,
): Promise<SendEnd> {
    const sentAt = readMonotonicMs();
    const knownAgeMs = Math.round(context.getEndpointAgeMs());
    context.load.startRequest(endpoint.id);
    state.tried.add(endpoint.id);
    let result = "";
    let kind = "";
    try {
        const opening = await openEndpointCall(
            {
                endpoint,
                method: exchange.request.method ?? "GET",
                path: exchange.request.url ?? "/",
                headers: buildEndpointHeaders(exchange, context.names, endpoint, relay.buildAttemptHeaders()),
                body: exchange.body,
                attemptId: exchange.id,
            },
            context.names,
            exchange.abortController.signal,
        );
        if ("failed" in opening) {
            kind = opening.failed.failure;
            result = `${kind}: ${opening.failed.detail}`;
            return handleFailedCall(opening.failed, endpoint, context, state);
        }
        const end = await handleAnswer(opening.answer, exchange, context, relay, state, endpoint);
        kind = end;
        result = `${end} ${opening.answer.status} ${describeFraming(opening.answer)}`;
        return end;
    } finally {
        context.load.endRequest(endpoint.id);
        context.admission.recordRequestEnd(exchange.service);
        const now = readMonotonicMs();
        recordFirst(exchange, context, sentAt);
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

function handleFailedCall(
    failed: FailedCall,
    endpoint: EndpointRecord,
    context: DirectContext,
    state: AttemptState,
): SendEnd {
    state.lastFailure = failed.failure;
    if (!failed.mayHaveRun) {
        state.unreachable++;
        if (failed.failure === CallFailure.Unreachable) {
            context.outages.recordRejection(endpoint.service, endpoint.id, readMonotonicMs());
            context.health.recordUnreachable(endpoint.id, readMonotonicMs());
        }
        return SendEnd.Unreachable;
    }
    state.sends++;
    state.mayHaveRun = true;
    if (failed.failure !== CallFailure.Cancelled) {
        context.health.recordFailure(endpoint.id, readMonotonicMs());
    }
    return SendEnd.Broken;
}

async function handleAnswer(
    answer: OpenedAnswer,
    exchange: RoutedExchange,
    context: DirectContext,
    relay: AnswerRelay,
    state: AttemptState,
    endpoint: EndpointRecord,
): Promise<SendEnd> {
    state.sends++;
    state.lastFailure = undefined;
    if (answer.isNotRun) {
        answer.response.destroy();
        context.outages.recordRejection(endpoint.service, endpoint.id, readMonotonicMs());
        return SendEnd.NotRun;
    }
    if (isPromiseStatus(answer.status)) {
        // Without the endpoint's own word the request may have run, so its status can't be passed on as it is.
        answer.response.destroy();
        state.mayHaveRun = true;
        context.health.recordFailure(endpoint.id, readMonotonicMs());
        return SendEnd.Broken;
    }
    context.outages.recordAcceptance(endpoint.service);
    const isLast = !canRepeat(exchange) || state.sends >= exchange.route.maxAttempts;
    const end = await relay.relayAnswer(answer, isLast);
    if (end === RelayEnd.Whole) {
        context.health.recordSuccess(endpoint.id);
        return SendEnd.Answered;
    }
    state.mayHaveRun = true;
    if (!exchange.abortController.signal.aborted) {
        context.health.recordFailure(endpoint.id, readMonotonicMs());
    }
    return end === RelayEnd.Failed ? SendEnd.Failed : SendEnd.Broken;
}

/** Tells for the log how the end of an answer is known. */
function describeFraming({ response, isCut }: OpenedAnswer): string {
    return `${isFramed(response) ? "framed" : "unframed"}${isCut() ? ", cut" : ""}`;
}

/** Statuses by which the router promises that a request has not run: 408, 429 and 503. */
function isPromiseStatus(status: number): boolean {
    return status === 408 || status === 429 || status === STATUS_UNAVAILABLE;
}

function recordFirst(exchange: RoutedExchange, context: DirectContext, sentAt: number): void {
    if (exchange.firstByteAt !== undefined && exchange.firstByteAt > sentAt && exchange.eventCount > 0) {
        context.admission.recordFirstEvent(exchange.service, exchange.firstByteAt - sentAt);
    }
}
