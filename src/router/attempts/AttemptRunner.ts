import { ROOT_CONTEXT, SpanKind, trace } from "@opentelemetry/api";
import { match } from "ts-pattern";
import { AnswerEnd } from "../../agent/KeptAnswer.js";
import type { Handover } from "../../agent/Handover.js";
import { AttemptState } from "../../agent/AttemptLedger.js";
import { Cause, type Refusal, readAttemptTime } from "../../protocol/index.js";
import { EventId, endSpan } from "../../telemetry/index.js";
import { readMonotonicMs } from "../../utils/time.js";
import { type ReadyExchange, computeDeadline } from "../Exchange.js";
import type { RouterContext } from "../RouterContext.js";
import { type AttemptPlan, buildAttemptRequest, buildFollowRequest } from "./Attempt.js";
import { type ChannelRequest, type Opening, OpeningKind, openChannel } from "./AttemptChannel.js";
import type { AnswerSink } from "./AnswerSink.js";
import { relayAnswer } from "./relayAnswer.js";

/** How an attempt ended for the router. */
export enum AttemptEnd {
    /** The caller has the whole answer. */
    Answered = "answered",
    /** The attempt was not run, and never will be. */
    NotRun = "not-run",
    /** The endpoint had the request, and gave no whole answer. */
    Broken = "broken",
    /** The agent can't be reached, or lives another life; the attempt may have run. */
    Unknown = "unknown",
    /** The attempt ran, and its answer is not kept any more. */
    AnswerGone = "answer-gone",
    /** The caller hung up. */
    Abandoned = "abandoned",
}

/** End of an attempt, with the refusal that explains it. */
export interface AttemptResult {
    end: AttemptEnd;
    refusal?: Refusal;
    /** The endpoint died under the attempt. */
    isEndpointDead?: boolean;
}

/** Options of an attempt. */
export interface AttemptOptions {
    /** Digest of team and idempotency key; empty for idempotent work. */
    keyDigest: string;
    /** Runs apart from all others. */
    isIsolated: boolean;
}

/** Runs attempts at agents, and follows them over new connections when one goes silent. */
export interface AttemptRunner {
    /** Opens an attempt, and relays its answer. */
    runAttempt(plan: AttemptPlan, body: Buffer, options: AttemptOptions): Promise<AttemptResult>;
    /** Follows an attempt that may be running already, and relays its answer. */
    followAttempt(plan: AttemptPlan): Promise<AttemptResult>;
}

const MAX_FOLLOWS = 4;

/**
 * Creates the runner of one exchange.
 * @param context - Router.
 * @param exchange - Request of the caller.
 * @param sink - Receiver of the answer.
 * @param signal - Ends attempts when the caller hangs up.
 */
export function createAttemptRunner(
    context: RouterContext,
    exchange: ReadyExchange,
    sink: AnswerSink,
    signal: AbortSignal,
): AttemptRunner {
    return { runAttempt, followAttempt };

    async function runAttempt(plan: AttemptPlan, body: Buffer, options: AttemptOptions): Promise<AttemptResult> {
        const parent = trace.setSpan(ROOT_CONTEXT, exchange.span);
        const facts = { attempt: plan.id, endpoint: plan.agent.host };
        const span = context.tracing.startSpan("router.attempt", SpanKind.CLIENT, parent, facts);
        const traceHeaders: Record<string, string> = {};
        context.tracing.writeContext(span, traceHeaders);
        const request = buildAttemptRequest(exchange, {
            plan,
            body,
            deadline: computeDeadline(exchange),
            now: readMonotonicMs(),
            ...options,
            processKey: context.processKey,
            traceHeaders,
            signal,
        });
        exchange.attempts++;
        exchange.hosts.push(plan.agent.host);
        context.table.changeInFlight(plan.agent.host, 1);
        const result = await relayOpening(plan, await open(request));
        context.table.changeInFlight(plan.agent.host, -1);
        context.metrics.attempts.inc({ result: result.end });
        endSpan(span, result.end === AttemptEnd.Answered ? undefined : result.end);
        return result;
    }

    async function followAttempt(plan: AttemptPlan): Promise<AttemptResult> {
        return recoverAttempt(plan, 0);
    }

    function open(request: ChannelRequest): Promise<Opening> {
        return openChannel(request, {
            directory: context.directory,
            watch: context.watch,
            onLoad(news) {
                context.table.recordLoad(request.agent.host, news);
            },
        });
    }

    async function relayOpening(plan: AttemptPlan, opening: Opening, follows = 0): Promise<AttemptResult> {
        if (opening.kind === OpeningKind.NotRun) {
            return { end: AttemptEnd.NotRun, refusal: opening.refusal };
        }
        if (opening.kind === OpeningKind.Answering) {
            exchange.queueMs = opening.channel.queueMs;
            const isWhole = await relayAnswer(opening.channel, sink, signal);
            if (isWhole) {
                context.table.recordSuccess(plan.agent.host);
                return { end: AttemptEnd.Answered };
            }
        }
        if (signal.aborted) {
            return { end: AttemptEnd.Abandoned };
        }
        context.table.recordFailure(plan.agent.host, readMonotonicMs());
        return recoverAttempt(plan, follows);
    }

    /** Asks the agent over another connection what became of the attempt. */
    async function recoverAttempt(plan: AttemptPlan, follows: number): Promise<AttemptResult> {
        const report = await context.directory.settleAttempt(plan.agent, plan.id);
        if (report === undefined || report.incarnation !== plan.incarnation) {
            return recoverFromHandover(plan);
        }
        return match(report.state)
            .with(AttemptState.NeverSeen, AttemptState.Tombstoned, () => ({ end: AttemptEnd.NotRun }))
            .with(AttemptState.Forgotten, () => ({ end: AttemptEnd.Unknown }))
            .with(AttemptState.Queued, AttemptState.Running, () => followAgain(plan, follows))
            .with(AttemptState.Done, () => {
                if (report.end !== AnswerEnd.Whole) {
                    return { end: AttemptEnd.Broken, isEndpointDead: report.isEndpointDead };
                }
                return report.isAnswerKept ? followAgain(plan, follows) : { end: AttemptEnd.AnswerGone };
            })
            .exhaustive();
    }

    /** An agent that stopped in order has left its finished calls, and will never run any other. */
    async function recoverFromHandover(plan: AttemptPlan): Promise<AttemptResult> {
        const left = exchange.target.isIdempotent ? undefined : await readHandover(plan);
        if (left === undefined) {
            return { end: AttemptEnd.Unknown };
        }
        const handed = left.attempts.get(plan.id);
        if (handed === undefined) {
            const isForgettable = readAttemptTime(plan.id) <= left.forgottenUpTo;
            return { end: isForgettable ? AttemptEnd.Unknown : AttemptEnd.NotRun };
        }
        if (!handed.isWhole || handed.body === undefined) {
            return { end: handed.isWhole ? AttemptEnd.AnswerGone : AttemptEnd.Broken };
        }
        sink.takeHead(handed.head);
        sink.takeChunk(handed.body.subarray(sink.getReceived(plan.id)));
        sink.finish();
        return { end: AttemptEnd.Answered };
    }

    async function readHandover(plan: AttemptPlan): Promise<Handover | undefined> {
        try {
            return await context.handovers.readHandover(plan.agent.host, plan.incarnation);
        } catch {
            return undefined;
        }
    }

    async function followAgain(plan: AttemptPlan, follows: number): Promise<AttemptResult> {
        if (follows >= MAX_FOLLOWS) {
            return { end: AttemptEnd.Unknown };
        }
        context.logger.logEvent(EventId.AttemptSilent, { attempt: plan.id, endpoint: plan.agent.host });
        const request = buildFollowRequest(plan, sink.getReceived(plan.id), context.processKey, signal);
        const opening = await open(request);
        if (opening.kind === OpeningKind.NotRun) {
            return { end: AttemptEnd.NotRun, refusal: opening.refusal };
        }
        return relayOpening(plan, opening, follows + 1);
    }
}

/**
 * Tells the cause behind the end of an attempt.
 * @param result - End of the attempt.
 */
export function getCause(result: AttemptResult): Cause {
    if (result.refusal !== undefined) {
        return result.refusal.cause;
    }
    return match(result.end)
        .with(AttemptEnd.Answered, () => Cause.None)
        .with(AttemptEnd.NotRun, () => Cause.EndpointLost)
        .with(AttemptEnd.Broken, () => Cause.EndpointFailed)
        .with(AttemptEnd.Unknown, () => Cause.EndpointLost)
        .with(AttemptEnd.AnswerGone, () => Cause.AnswerGone)
        .with(AttemptEnd.Abandoned, () => Cause.CallerGone)
        .exhaustive();
}
