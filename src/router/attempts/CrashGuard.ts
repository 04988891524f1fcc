import { IncidentKind } from "../../account/index.js";
import { Cause, Outcome, type Refusal } from "../../protocol/index.js";
import { MAX_LOSSES } from "../../scheduling/index.js";
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
    /** Returns a refusal if the request has crashed the maximum number of endpoints. */
    findRefusal(mayHaveRun: boolean): Refusal | undefined;
    /** Records the result of an attempt. Resolves after a crash has been broadcast to the other routers. */
    recordResult(result: AttemptResult): Promise<void>;
}

const STATUS_UNPROCESSABLE = 422;

/**
 * Creates the crash guard of one request. The digest of the request is computed only when needed.
 * @param context - Router.
 * @param exchange - Request.
 */
export function createCrashGuard(context: RouterContext, exchange: ReadyExchange): CrashGuard {
    const { suspects } = context;
    let digest: string | undefined;
    return { isSuspected: () => getLossCount() > 0, findRefusal, recordResult };

    function findRefusal(mayHaveRun: boolean): Refusal | undefined {
        if (getLossCount() < MAX_LOSSES) {
            return undefined;
        }
        return {
            status: STATUS_UNPROCESSABLE,
            outcome: mayHaveRun ? Outcome.Ran : Outcome.NotRun,
            cause: Cause.CrashSuspected,
            detail: `${getLossCount()} endpoints crashed while running this request; it will not be run again`,
            retryAfterMs: undefined,
        };
    }

    async function recordResult(result: AttemptResult): Promise<void> {
        if (result.isEndpointDead === true) {
            suspects.recordLoss(getDigest(), readMonotonicMs());
            const facts = { trace: exchange.traceId, team: exchange.team.name, losses: getLossCount() };
            context.logger.logEvent(EventId.RequestSuspected, facts);
            context.recordIncident(IncidentKind.EndpointCrashed, exchange.hosts.at(-1) ?? "");
            await context.broadcastSuspects();
        } else if (result.end === AttemptEnd.Answered && getLossCount() > 0) {
            suspects.recordCompletion(getDigest());
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
