import { IncidentKind } from "../../account/index.js";
import { Cause, Outcome, type Refusal } from "../../protocol/index.js";
import { MAX_LOSSES, PartDecision } from "../../scheduling/index.js";
import { EventId } from "../../telemetry/index.js";
import { computeDigest } from "../../utils/digest.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { ReadyExchange } from "../Exchange.js";
import type { RouterContext } from "../RouterContext.js";
import { AttemptEnd, type AttemptResult } from "./AttemptRunner.js";

/** Limits the damage of a request that crashes the endpoints it runs on. */
export interface CrashGuard {
    /** Returns whether an endpoint crashed while running this request, so that it must run in isolation. */
    isSuspected(): boolean;
    /** Returns a refusal if the request, or a part of its prompt, is likely to crash the next endpoint. */
    findRefusal(mayHaveRun: boolean): Refusal | undefined;
    /** Records that the request is about to be sent. */
    recordSend(): void;
    /** Records that an endpoint has begun to answer the request. */
    recordAnswer(): void;
    /** Records the result of an attempt. Resolves after a crash has been broadcast to the other routers. */
    recordResult(result: AttemptResult): Promise<void>;
}

const STATUS_UNPROCESSABLE = 422;
const STATUS_UNAVAILABLE = 503;
/** Time after which a trial of a suspected part is likely to have a result, in milliseconds. */
const TRIAL_RETRY_MS = 1_000;

/**
 * Creates the crash guard of one request. The digest of the request is computed only when needed.
 * @param context - Router.
 * @param exchange - Request.
 */
export function createCrashGuard(context: RouterContext, exchange: ReadyExchange): CrashGuard {
    const { suspects, quarantine } = context;
    const { sharedParts } = exchange.target;
    let digest: string | undefined;
    let isTrial = false;
    let hasBegun = false;
    return { isSuspected: () => isTrial || getLossCount() > 0, findRefusal, recordSend, recordAnswer, recordResult };

    function findRefusal(mayHaveRun: boolean): Refusal | undefined {
        const outcome = mayHaveRun ? Outcome.Ran : Outcome.NotRun;
        const common = { outcome, cause: Cause.CrashSuspected, retryAfterMs: undefined };
        if (getLossCount() >= MAX_LOSSES) {
            const detail = `${getLossCount()} endpoints crashed while running this request; it will not be run again`;
            return { ...common, status: STATUS_UNPROCESSABLE, detail };
        }
        const decision = isTrial ? PartDecision.Allowed : checkParts();
        if (decision === PartDecision.Refused) {
            const detail = "endpoints crashed while running requests with the same message; it will not be run now";
            return { ...common, status: STATUS_UNPROCESSABLE, detail };
        }
        if (decision === PartDecision.Wait) {
            const detail = "a message may crash endpoints, and another request with it is tried first";
            return { ...common, status: STATUS_UNAVAILABLE, detail, retryAfterMs: TRIAL_RETRY_MS };
        }
        return undefined;
    }

    function recordSend(): void {
        if (!isTrial && checkParts() === PartDecision.Trial) {
            isTrial = true;
            quarantine.startTrial(sharedParts, readMonotonicMs());
        }
    }

    function recordAnswer(): void {
        hasBegun = true;
        quarantine.recordAnswer(sharedParts, readMonotonicMs());
    }

    function checkParts(): PartDecision {
        return quarantine.checkParts(sharedParts, readMonotonicMs());
    }

    async function recordResult(result: AttemptResult): Promise<void> {
        if (result.end === AttemptEnd.Answered && !hasBegun) {
            recordAnswer();
        }
        if (result.isEndpointDead === true) {
            recordCrashedParts();
            suspects.recordLoss(getDigest(), readMonotonicMs());
            const facts = { trace: exchange.traceId, team: exchange.team.name, losses: getLossCount() };
            context.logger.logEvent(EventId.RequestSuspected, facts);
            context.recordIncident(IncidentKind.EndpointCrashed, exchange.hosts.at(-1) ?? "");
            await context.broadcastSuspects();
        } else if (result.end === AttemptEnd.Answered && getLossCount() > 0) {
            suspects.recordCompletion(getDigest());
        }
        if (isTrial) {
            isTrial = false;
            quarantine.endTrial(sharedParts);
        }
    }

    /** A crash under an answer that had begun is not due to a part of the prompt. */
    function recordCrashedParts(): void {
        if (!hasBegun) {
            quarantine.recordCrash(sharedParts, exchange.hosts.at(-1) ?? "", false, readMonotonicMs());
        }
    }

    function getLossCount(): number {
        return suspects.isEmpty() ? 0 : suspects.getLosses(getDigest());
    }

    function getDigest(): string {
        digest ??= computeDigest(exchange.team.name, exchange.target.path, exchange.body);
        return digest;
    }
}
