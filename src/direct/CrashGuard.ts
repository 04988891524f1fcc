import { Cause, type Refusal } from "../protocol/index.js";
import { MAX_LOSSES, PartDecision } from "../scheduling/index.js";
import { EventId } from "../telemetry/index.js";
import { computeDigest } from "../utils/digest.js";
import { readMonotonicMs } from "../utils/time.js";
import type { DirectContext } from "./DirectContext.js";
import type { RoutedExchange } from "./DirectExchange.js";
import { CallFailure } from "./EndpointCall.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { RetryState } from "./RetryState.js";
import { computeRetryDelay, createRefusal } from "./attemptRefusals.js";
import { ProbeResult, probeConnection } from "./probeConnection.js";

/** Limits the damage of a request, and of its like, that crash the endpoints they run on. */
export interface CrashGuard {
    /** Returns a refusal if the request, or a part of its prompt, is likely to crash the next endpoint. */
    findRefusal(state: RetryState): Refusal | undefined;
    /** Records that the request is about to be sent. */
    recordSend(): void;
    /** Clears the suspicion against the request: as it completed, earlier losses had another cause. */
    recordCompletion(): void;
    /** Records that an endpoint may have crashed because of the request, if it no longer accepts connections. */
    recordLoss(endpoint: EndpointRecord, state: RetryState): Promise<void>;
    /** Records that the request will not be sent again. */
    recordEnd(): void;
}

/** Time after which a trial of a suspected part is likely to have a result, in milliseconds. */
const TRIAL_RETRY_MS = 1_000;

/**
 * Creates the crash guard of one request. The digest of the request is computed only when needed.
 * @param exchange - Request.
 * @param context - Shared parts of the router.
 */
export function createCrashGuard(exchange: RoutedExchange, context: DirectContext): CrashGuard {
    const { suspects, quarantine } = context;
    let digest: string | undefined;
    let isTrial = false;
    return { findRefusal, recordSend, recordCompletion, recordLoss, recordEnd };

    function findRefusal(state: RetryState): Refusal | undefined {
        if (!suspects.isEmpty() && suspects.getLosses(getDigest()) >= MAX_LOSSES) {
            const detail = "endpoints failed while they ran this request";
            return createRefusal(state, Cause.CrashSuspected, detail, undefined);
        }
        const decision = isTrial ? PartDecision.Allowed : checkParts();
        if (decision === PartDecision.Refused) {
            const detail = "endpoints crashed under requests with the same part of a prompt";
            return createRefusal(state, Cause.CrashSuspected, detail, undefined);
        }
        if (decision === PartDecision.Wait) {
            const detail = "a part of the prompt may crash endpoints, and another request with it is tried first";
            return createRefusal(state, Cause.CrashSuspected, detail, computeRetryDelay(exchange, TRIAL_RETRY_MS));
        }
        return undefined;
    }

    function recordSend(): void {
        if (!isTrial && checkParts() === PartDecision.Trial) {
            isTrial = true;
            quarantine.startTrial(exchange.sharedParts, readMonotonicMs());
        }
    }

    function checkParts(): PartDecision {
        return quarantine.checkParts(exchange.sharedParts, readMonotonicMs());
    }

    function recordCompletion(): void {
        if (!suspects.isEmpty()) {
            suspects.recordCompletion(getDigest());
        }
    }

    async function recordLoss(endpoint: EndpointRecord, state: RetryState): Promise<void> {
        if (state.lastFailure === CallFailure.Cancelled || state.lastFailure === CallFailure.Mismatched) {
            return;
        }
        if (context.evacuations.isEvacuated(endpoint.zone)) {
            return;
        }
        const probe = await probeConnection(endpoint.host, endpoint.port);
        if (probe === ProbeResult.Listening) {
            return;
        }
        const now = readMonotonicMs();
        context.health.recordUnreachable(endpoint.id, now);
        context.cold.recordUnreachable(endpoint, now);
        suspects.recordLoss(getDigest(), now);
        context.logger.logEvent(EventId.RequestSuspected, {
            attempt: exchange.id,
            team: exchange.team?.name,
            endpoint: endpoint.id,
            probe,
            events: exchange.eventCount,
            parts: exchange.sharedParts.join(","),
        });
        // A crash under an answer that had begun is not due to a part, and silence may be the network's.
        if (probe === ProbeResult.Refused && exchange.eventCount === 0) {
            isTrial = false;
            const isUnderAnswer = state.lastFailure === undefined;
            quarantine.recordCrash(exchange.sharedParts, `${endpoint.id}/${endpoint.bornAt}`, isUnderAnswer, now);
        }
    }

    function recordEnd(): void {
        if (isTrial) {
            quarantine.endTrial(exchange.sharedParts);
        }
    }

    function getDigest(): string {
        digest ??= computeDigest(
            exchange.team?.name ?? "",
            exchange.request.method ?? "",
            exchange.request.url ?? "",
            exchange.body,
        );
        return digest;
    }
}
