import { IncidentKind } from "../../account/index.js";
import { Cause, Outcome, type Refusal } from "../../protocol/index.js";
import { MAX_LOSSES } from "../../scheduling/index.js";
import { EventId } from "../../telemetry/index.js";
import { computeDigest } from "../../utils/digest.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { ReadyExchange } from "../Exchange.js";
import type { RouterContext } from "../RouterContext.js";
import { AttemptEnd, type AttemptResult } from "./AttemptRunner.js";

/** Suspicion that a request kills the endpoints that run it. */
export interface Suspicion {
    /** Tells whether the request is to run apart from others. */
    isSuspect(): boolean;
    /** Refuses the request if it has cost as many endpoints as it may. */
    findRefusal(mayHaveRun: boolean): Refusal | undefined;
    /** Learns from an attempt; other routers know of a loss before this settles. */
    recordResult(result: AttemptResult): Promise<void>;
}

const STATUS_UNPROCESSABLE = 422;

/**
 * Creates the suspicion of one exchange. The digest of the body is computed only when it matters.
 * @param context - Router.
 * @param exchange - Request.
 */
export function createSuspicion(context: RouterContext, exchange: ReadyExchange): Suspicion {
    const { suspects } = context;
    let digest: string | undefined;
    return { isSuspect: () => getLosses() > 0, findRefusal, recordResult };

    function findRefusal(mayHaveRun: boolean): Refusal | undefined {
        if (getLosses() < MAX_LOSSES) {
            return undefined;
        }
        return {
            status: STATUS_UNPROCESSABLE,
            outcome: mayHaveRun ? Outcome.Ran : Outcome.NotRun,
            cause: Cause.CrashSuspected,
            detail: `${getLosses()} endpoints died under this request; it is not run again`,
            retryAfterMs: undefined,
        };
    }

    async function recordResult(result: AttemptResult): Promise<void> {
        if (result.isEndpointDead === true) {
            suspects.recordLoss(getDigest(), readMonotonicMs());
            const facts = { trace: exchange.traceId, team: exchange.team.name, losses: getLosses() };
            context.logger.logEvent(EventId.RequestSuspected, facts);
            context.recordIncident(IncidentKind.EndpointCrashed, exchange.hosts.at(-1) ?? "");
            await context.spreadSuspects();
        } else if (result.end === AttemptEnd.Answered && getLosses() > 0) {
            suspects.recordCompletion(getDigest());
        }
    }

    function getLosses(): number {
        return suspects.isEmpty() ? 0 : suspects.getLosses(getDigest());
    }

    function getDigest(): string {
        digest ??= computeDigest(exchange.team.name, exchange.target.path, exchange.body);
        return digest;
    }
}
