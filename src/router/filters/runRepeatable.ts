import { Cause, Outcome, type Refusal } from "../../protocol/index.js";
import { EventId } from "../../telemetry/index.js";
import { readMonotonicMs } from "../../utils/time.js";
import { type ReadyExchange, computeDeadline } from "../Exchange.js";
import type { RouterContext } from "../RouterContext.js";
import { createAttemptPlan } from "../attempts/Attempt.js";
import { AttemptEnd, type AttemptResult, createAttemptRunner, getAttemptCause } from "../attempts/AttemptRunner.js";
import { createCrashGuard } from "../attempts/CrashGuard.js";
import { chooseEndpointView } from "../attempts/chooseEndpointView.js";
import { buildResumedBody } from "../attempts/resumption.js";
import { createStreamSink } from "../attempts/StreamSink.js";
import { createBufferedSink } from "../attempts/BufferedSink.js";

const MAX_ATTEMPTS = 4;
const STATUS_UNAVAILABLE = 503;
const NO_ENDPOINT_RETRY_MS = 2_000;

/**
 * Runs an idempotent request: tries endpoints until one gives the whole answer.
 * @param context - Router.
 * @param exchange - Request.
 * @param signal - Ends the work when the caller hangs up.
 * @returns Refusal to send; undefined if the caller has an answer.
 */
export async function runRepeatable(
    context: RouterContext,
    exchange: ReadyExchange,
    signal: AbortSignal,
): Promise<Refusal | undefined> {
    const observer = {
        response: exchange.response,
        onFirstByte() {
            exchange.firstByteAt ??= readMonotonicMs();
        },
    };
    const suspicion = createCrashGuard(context, exchange);
    const stream = exchange.target.isStream
        ? createStreamSink({ ...observer, onFirstEvent: () => suspicion.recordAnswer() })
        : undefined;
    const whole = createBufferedSink(observer);
    const runner = createAttemptRunner(context, exchange, stream ?? whole, signal);
    const tried = new Set<string>();
    let result: AttemptResult | undefined;
    let mayHaveRun = false;
    context.retries.recordFirstAttempt();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        if (attempt > 0 && !canTryAgain()) {
            break;
        }
        const refusal = suspicion.findRefusal(mayHaveRun);
        if (refusal !== undefined) {
            return failExchange(refusal);
        }
        const view = chooseEndpointView(context, exchange, tried);
        if (view === undefined) {
            break;
        }
        tried.add(view.fact.host);
        suspicion.recordSend();
        result = await runner.runAttempt(createAttemptPlan(view), prepareBody(attempt), {
            keyDigest: "",
            isIsolated: suspicion.isSuspected(),
        });
        await suspicion.recordResult(result);
        if (result.end === AttemptEnd.Answered || result.end === AttemptEnd.CallerDisconnected) {
            return undefined;
        }
        mayHaveRun ||= result.end !== AttemptEnd.NotRun;
        logMove(result);
    }
    return failExchange(createFinalRefusal(result, mayHaveRun));

    function canTryAgain(): boolean {
        const isStarted = stream?.isStarted() === true;
        if (isStarted && result?.end === AttemptEnd.Inconsistent) {
            return false;
        }
        const isInTime = isStarted || readMonotonicMs() < computeDeadline(exchange);
        return isInTime && !signal.aborted && context.retries.takeRetry();
    }

    function prepareBody(attempt: number): Buffer {
        if (attempt === 0) {
            return exchange.body;
        }
        whole.reset();
        return stream === undefined ? exchange.body : buildResumedBody(exchange.body, stream.startResumption());
    }

    function logMove(ended: AttemptResult): void {
        const isStarted = stream?.isStarted() === true;
        const event = isStarted ? EventId.AttemptResumed : EventId.AttemptMoved;
        context.logger.logEvent(event, {
            trace: exchange.traceId,
            cause: getAttemptCause(ended),
            endpoint: exchange.hosts.at(-1),
        });
    }

    function failExchange(refusal: Refusal): Refusal | undefined {
        if (stream?.isStarted() !== true) {
            return refusal;
        }
        const cause = refusal.cause === Cause.CrashSuspected ? refusal.cause : Cause.AnswerCut;
        stream.fail({ ...refusal, outcome: Outcome.Ran, cause }, exchange.traceId);
        exchange.failureCause = cause;
        return undefined;
    }
}

function createFinalRefusal(result: AttemptResult | undefined, mayHaveRun: boolean): Refusal {
    if (result === undefined) {
        return {
            status: STATUS_UNAVAILABLE,
            outcome: Outcome.NotRun,
            cause: Cause.NoEndpoint,
            detail: "no endpoint takes new work",
            retryAfterMs: NO_ENDPOINT_RETRY_MS,
        };
    }
    return {
        status: STATUS_UNAVAILABLE,
        outcome: mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
        cause: getAttemptCause(result),
        detail: result.refusal?.detail ?? "the endpoints gave no whole answer",
        retryAfterMs: result.refusal?.retryAfterMs ?? NO_ENDPOINT_RETRY_MS,
    };
}
