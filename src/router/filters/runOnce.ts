import { match } from "ts-pattern";
import { ErrorCode, hasErrorCode } from "../../errors/index.js";
import type { EndpointView } from "../../membership/index.js";
import { Cause, Outcome, type Refusal, createAttemptId } from "../../protocol/index.js";
import { EventId } from "../../telemetry/index.js";
import { computeDigest } from "../../utils/digest.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { ReadyExchange } from "../Exchange.js";
import type { RouterContext } from "../RouterContext.js";
import { type AttemptPlan, createAttemptPlan } from "../attempts/Attempt.js";
import { AttemptEnd, type AttemptResult, createAttemptRunner, getAttemptCause } from "../attempts/AttemptRunner.js";
import { createCrashGuard } from "../attempts/CrashGuard.js";
import { chooseEndpointView } from "../attempts/chooseEndpointView.js";
import { createBufferedSink } from "../attempts/BufferedSink.js";
import type { Claim, ClaimAnswer, HeldClaim } from "../claims/Claim.js";
import { isKeyExpired } from "../claims/claimPlace.js";
import { confirmNotRun } from "../claims/confirmNotRun.js";

const MAX_MOVES = 6;
const STATUS_CONFLICT = 422;
const STATUS_GONE = 410;
const STATUS_UNAVAILABLE = 503;
const PLATFORM_RETRY_MS = 5_000;
const ENDPOINT_RETRY_MS = 2_000;

/** Next step for a request whose claim is held. */
interface Step {
    held: HeldClaim;
    /** The attempt of the claim is ours, and not opened yet. */
    isToOpen: boolean;
}

/**
 * Runs a non-idempotent request at most once.
 *
 * A claim names the one attempt that may run. It moves on only from an attempt
 * whose agent has promised that it was not run and never will be.
 * @param context - Router.
 * @param exchange - Request.
 * @param signal - Never aborted: the run goes on when the caller hangs up.
 * @returns Refusal to send; undefined if the caller has an answer.
 */
export async function runOnce(
    context: RouterContext,
    exchange: ReadyExchange,
    signal: AbortSignal,
): Promise<Refusal | undefined> {
    const { idempotencyKey } = exchange;
    const digest = computeDigest(exchange.team.name, idempotencyKey);
    const key = { digest, idempotencyKey };
    const body = computeDigest(exchange.target.method, exchange.target.path, exchange.body);
    const sink = createBufferedSink({
        response: exchange.response,
        onFirstByte() {
            exchange.firstByteAt ??= readMonotonicMs();
        },
    });
    const runner = createAttemptRunner(context, exchange, sink, signal);
    const tried = new Set<string>();
    const suspicion = createCrashGuard(context, exchange);
    return findExpiry() ?? suspicion.findRefusal(false) ?? runClaimed();

    /** Of a key past the retention nothing is known, so its outcome is unknown and it is not run. */
    function findExpiry(): Refusal | undefined {
        if (!isKeyExpired(idempotencyKey, Date.now())) {
            return undefined;
        }
        const detail = "the time in the idempotency key is past the retention of 24 hours";
        return createRefusal(STATUS_CONFLICT, Outcome.Unknown, Cause.KeyExpired, detail, undefined);
    }

    async function runClaimed(): Promise<Refusal | undefined> {
        const first = chooseEndpointView(context, exchange, tried);
        let step: Step;
        try {
            step = createStep(await context.claims.openClaim(key, createClaim(first)));
        } catch (error) {
            return refuseWithoutPlatform(error);
        }
        for (let move = 0; move < MAX_MOVES; move++) {
            if (step.held.claim.body !== body) {
                return createRefusal(STATUS_CONFLICT, Outcome.NotRun, Cause.KeyReused, REUSED_DETAIL, undefined);
            }
            const result = await runStep(step);
            await suspicion.recordResult(result);
            if (result.end !== AttemptEnd.NotRun) {
                return createFinalRefusal(result);
            }
            const moved = await moveOn(step.held, result);
            if ("status" in moved) {
                return moved;
            }
            step = moved;
        }
        return createRefusal(STATUS_UNAVAILABLE, Outcome.NotRun, Cause.NoEndpoint, "too many moves", ENDPOINT_RETRY_MS);
    }

    function runStep(step: Step): Promise<AttemptResult> {
        const plan = createPlan(step.held.claim);
        if (isVacant(step.held.claim)) {
            return Promise.resolve({ end: AttemptEnd.NotRun });
        }
        if (step.isToOpen) {
            tried.add(plan.agent.host);
            return runner.runAttempt(plan, exchange.body, { keyDigest: digest, isIsolated: suspicion.isSuspected() });
        }
        context.logger.logEvent(EventId.ClaimJoined, { trace: exchange.traceId, attempt: plan.id });
        return runner.attachToAttempt(plan);
    }

    /** The attempt of the claim was not run: moves the claim to another endpoint, or refuses. */
    async function moveOn(held: HeldClaim, result: AttemptResult): Promise<Step | Refusal> {
        sink.reset();
        const view = chooseEndpointView(context, exchange, tried);
        if (view === undefined) {
            const retryAfterMs = result.refusal?.retryAfterMs ?? ENDPOINT_RETRY_MS;
            return createRefusal(
                STATUS_UNAVAILABLE,
                Outcome.NotRun,
                getAttemptCause(result),
                NOT_RUN_DETAIL,
                retryAfterMs,
            );
        }
        context.logger.logEvent(EventId.AttemptMoved, { trace: exchange.traceId, cause: getAttemptCause(result) });
        try {
            return createStep(await context.claims.moveClaim(key, held, createClaim(view)));
        } catch (error) {
            return refuseWithoutPlatform(error);
        }
    }

    function createStep(answer: ClaimAnswer): Step {
        return { held: answer.held, isToOpen: answer.isOurs };
    }

    /** Without an endpoint the claim is vacant: it holds the key, and any router may move it. */
    function createClaim(view: EndpointView | undefined): Claim {
        const plan = view === undefined ? createVacantPlan() : createAttemptPlan(view);
        return { body, attempt: plan.id, ...plan.agent, incarnation: plan.incarnation, at: Date.now() };
    }

    async function refuseWithoutPlatform(error: unknown): Promise<Refusal> {
        context.logger.logFailure(EventId.ClaimUncertain, error, { trace: exchange.traceId });
        if (hasErrorCode(error, ErrorCode.TooLarge)) {
            return refuseUnclaimed(Cause.ClaimStoreFull, "too many claims are kept", PLATFORM_RETRY_MS);
        }
        const isDown = hasErrorCode(error, ErrorCode.PlatformUnavailable);
        const cause = isDown ? Cause.PlatformUnavailable : Cause.ClaimUncertain;
        return refuseUnclaimed(cause, "the platform's key-value service can't be reached", PLATFORM_RETRY_MS);
    }

    /** Without a look at the claim, only the agents can tell that the key was not run before. */
    async function refuseUnclaimed(cause: Cause, detail: string, retryAfterMs: number): Promise<Refusal> {
        const isNotRun = await confirmNotRun(context, exchange.target, digest);
        const outcome = isNotRun ? Outcome.NotRun : Outcome.Unknown;
        return createRefusal(STATUS_UNAVAILABLE, outcome, cause, detail, retryAfterMs);
    }
}

const VACANT_HOST = "";
const REUSED_DETAIL = "expected the same body as in the first request with this idempotency key";
const NOT_RUN_DETAIL = "no other endpoint takes the request";

function createVacantPlan(): AttemptPlan {
    return { id: createAttemptId(), agent: { host: VACANT_HOST, address: "", port: 0 }, incarnation: "" };
}

function isVacant(claim: Claim): boolean {
    return claim.host === VACANT_HOST;
}

function createPlan(claim: Claim): AttemptPlan {
    const agent = { host: claim.host, address: claim.address, port: claim.port };
    return { id: claim.attempt, agent, incarnation: claim.incarnation };
}

function createFinalRefusal(result: AttemptResult): Refusal | undefined {
    return match(result.end)
        .with(AttemptEnd.Answered, AttemptEnd.CallerDisconnected, () => undefined)
        .with(AttemptEnd.AnswerGone, () =>
            createRefusal(STATUS_GONE, Outcome.Ran, Cause.AnswerGone, "the answer is not kept any more", undefined),
        )
        .with(AttemptEnd.Incomplete, AttemptEnd.Inconsistent, AttemptEnd.Unknown, AttemptEnd.NotRun, () =>
            createRefusal(
                STATUS_UNAVAILABLE,
                Outcome.Unknown,
                getAttemptCause(result),
                "the request may have been run; the same key will not run it again",
                ENDPOINT_RETRY_MS,
            ),
        )
        .exhaustive();
}

function createRefusal(
    status: number,
    outcome: Outcome,
    cause: Cause,
    detail: string,
    retryAfterMs: number | undefined,
): Refusal {
    return { status, outcome, cause, detail, retryAfterMs };
}
