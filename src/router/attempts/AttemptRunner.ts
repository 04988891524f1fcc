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
import { type AttemptPlan, buildAttemptRequest, buildAttachRequest } from "./Attempt.js";
import { type ChannelRequest, type OpenResult, OpenResultKind, openChannel } from "./AttemptChannel.js";
import type { AnswerSink } from "./AnswerSink.js";
import { relayAnswer } from "./relayAnswer.js";

/** How an attempt ended, as seen by the router. */
export enum AttemptEnd {
    /** The complete answer was passed to the caller. */
    Answered = "answered",
    /** The attempt was not run and will not be run later. */
    NotRun = "not-run",
    /** The endpoint received the request but did not return a complete answer. */
    Incomplete = "broken",
    /** The endpoint returned an answer that lacks or repeats tokens, so that none of it can be built on. */
    Inconsistent = "inconsistent",
    /** The agent is unreachable, was restarted or has no record of the attempt; the attempt may have run. */
    Unknown = "unknown",
    /** The attempt ran, but its answer is no longer stored. */
    AnswerGone = "answer-gone",
    /** The caller disconnected. */
    CallerDisconnected = "abandoned",
}

/** Result of an attempt, with the agent's refusal if there was one. */
export interface AttemptResult {
    end: AttemptEnd;
    refusal?: Refusal;
    /** The endpoint crashed while running the attempt. */
    isEndpointDead?: boolean;
}

/** Options of an attempt. */
export interface AttemptOptions {
    /** Digest of team and idempotency key; empty for idempotent requests. */
    keyDigest: string;
    /** Runs the attempt while no other attempt runs on the endpoint. */
    isIsolated: boolean;
}

/** Runs attempts on agents and reattaches to them over new connections when a connection stalls. */
export interface AttemptRunner {
    /** Starts an attempt and relays its answer. */
    runAttempt(plan: AttemptPlan, body: Buffer, options: AttemptOptions): Promise<AttemptResult>;
    /** Attaches to an attempt that may already be running and relays its answer. */
    attachToAttempt(plan: AttemptPlan): Promise<AttemptResult>;
}

const MAX_ATTACHMENTS = 4;

/**
 * Creates the runner for the attempts of one request.
 * @param context - Router.
 * @param exchange - Caller's request.
 * @param sink - Receiver of the answer.
 * @param signal - Aborts attempts when the caller disconnects.
 */
export function createAttemptRunner(
    context: RouterContext,
    exchange: ReadyExchange,
    sink: AnswerSink,
    signal: AbortSignal,
): AttemptRunner {
    return { runAttempt, attachToAttempt };

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
        const result = await relayOpenResult(plan, await openAttempt(request));
        context.table.changeInFlight(plan.agent.host, -1);
        context.metrics.attempts.inc({ result: result.end });
        endSpan(span, result.end === AttemptEnd.Answered ? undefined : result.end);
        return result;
    }

    async function attachToAttempt(plan: AttemptPlan): Promise<AttemptResult> {
        return recoverAttempt(plan, 0);
    }

    function openAttempt(request: ChannelRequest): Promise<OpenResult> {
        return openChannel(request, {
            agentConnections: context.agentConnections,
            stallDetector: context.stallDetector,
            onLoad(load) {
                context.table.recordLoad(request.agent.host, load);
            },
        });
    }

    async function relayOpenResult(plan: AttemptPlan, opened: OpenResult, attachments = 0): Promise<AttemptResult> {
        if (opened.kind === OpenResultKind.NotRun) {
            return { end: AttemptEnd.NotRun, refusal: opened.refusal };
        }
        if (opened.kind === OpenResultKind.Answering) {
            exchange.queueMs = opened.channel.queueMs;
            const isComplete = await relayAnswer(opened.channel, sink, signal);
            if (isComplete) {
                context.table.recordSuccess(plan.agent.host);
                return { end: AttemptEnd.Answered };
            }
        }
        if (signal.aborted) {
            return { end: AttemptEnd.CallerDisconnected };
        }
        context.table.recordFailure(plan.agent.host, readMonotonicMs());
        return recoverAttempt(plan, attachments);
    }

    /** Queries the state of the attempt over another connection and acts on it. */
    async function recoverAttempt(plan: AttemptPlan, attachments: number): Promise<AttemptResult> {
        const report = await context.agentConnections.settleAttempt(plan.agent, plan.id);
        if (report === undefined || report.incarnation !== plan.incarnation) {
            return recoverFromHandover(plan);
        }
        return match(report.state)
            .with(AttemptState.NeverSeen, AttemptState.Tombstoned, () => ({ end: AttemptEnd.NotRun }))
            .with(AttemptState.Forgotten, () => ({ end: AttemptEnd.Unknown }))
            .with(AttemptState.Queued, AttemptState.Running, () => attachAgain(plan, attachments))
            .with(AttemptState.Done, () => {
                if (report.end === AnswerEnd.Inconsistent) {
                    return { end: AttemptEnd.Inconsistent };
                }
                if (report.end !== AnswerEnd.Whole) {
                    return { end: AttemptEnd.Incomplete, isEndpointDead: report.isEndpointDead };
                }
                return report.isAnswerKept ? attachAgain(plan, attachments) : { end: AttemptEnd.AnswerGone };
            })
            .exhaustive();
    }

    /** An agent that shut down gracefully has stored its finished calls and will run no others. */
    async function recoverFromHandover(plan: AttemptPlan): Promise<AttemptResult> {
        const handover = exchange.target.isIdempotent ? undefined : await readHandover(plan);
        if (handover === undefined) {
            return { end: AttemptEnd.Unknown };
        }
        const storedAttempt = handover.attempts.get(plan.id);
        if (storedAttempt === undefined) {
            const isPossiblyForgotten = readAttemptTime(plan.id) <= handover.forgottenUpTo;
            return { end: isPossiblyForgotten ? AttemptEnd.Unknown : AttemptEnd.NotRun };
        }
        if (!storedAttempt.isWhole || storedAttempt.body === undefined) {
            return { end: storedAttempt.isWhole ? AttemptEnd.AnswerGone : AttemptEnd.Incomplete };
        }
        sink.writeHead(storedAttempt.head);
        sink.writeChunk(storedAttempt.body.subarray(sink.getReceivedBytes(plan.id)));
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

    async function attachAgain(plan: AttemptPlan, attachments: number): Promise<AttemptResult> {
        if (attachments >= MAX_ATTACHMENTS) {
            return { end: AttemptEnd.Unknown };
        }
        context.logger.logEvent(EventId.AttemptSilent, { attempt: plan.id, endpoint: plan.agent.host });
        const request = buildAttachRequest(plan, sink.getReceivedBytes(plan.id), context.processKey, signal);
        const opened = await openAttempt(request);
        if (opened.kind === OpenResultKind.NotRun) {
            return { end: AttemptEnd.NotRun, refusal: opened.refusal };
        }
        return relayOpenResult(plan, opened, attachments + 1);
    }
}

/**
 * Returns the cause that explains the result of an attempt.
 * @param result - Result of the attempt.
 */
export function getAttemptCause(result: AttemptResult): Cause {
    if (result.refusal !== undefined) {
        return result.refusal.cause;
    }
    return match(result.end)
        .with(AttemptEnd.Answered, () => Cause.None)
        .with(AttemptEnd.NotRun, () => Cause.EndpointLost)
        .with(AttemptEnd.Incomplete, AttemptEnd.Inconsistent, () => Cause.EndpointFailed)
        .with(AttemptEnd.Unknown, () => Cause.EndpointLost)
        .with(AttemptEnd.AnswerGone, () => Cause.AnswerGone)
        .with(AttemptEnd.CallerDisconnected, () => Cause.CallerGone)
        .exhaustive();
}
