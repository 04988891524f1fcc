import type http from "node:http";
import { AttemptState } from "../../agent/AttemptLedger.js";
import { type AnswerHead, AnswerEnd } from "../../agent/KeptAnswer.js";
import { WorkRank } from "../../config/index.js";
import type { LoadNews } from "../../membership/index.js";
import {
    Cause,
    HopHeader,
    Outcome,
    type Refusal,
    copyEndToEndHeaders,
    findHeadFault,
    getHeader,
} from "../../protocol/index.js";
import { readWholeBody } from "../../utils/http.js";
import { openHttpCall } from "../../utils/openHttpCall.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { AgentAddress, AgentConnections } from "./AgentConnections.js";
import type { StallDetector } from "./StallDetector.js";

/** How the transfer of an answer ended. */
export enum ChannelEnd {
    /** The agent reported the length of the complete answer, and every byte was received. */
    Complete = "whole",
    /** The transfer was interrupted; the attempt may still be running on the agent. */
    Interrupted = "cut",
}

/** Receives the bytes of an answer. */
export interface ChannelSink {
    /** @returns False if the sink applies backpressure. */
    onChunk(chunk: Buffer): boolean;
    onEnd(end: ChannelEnd): void;
}

/** Transfer of an answer from an agent. */
export interface AttemptChannel {
    readonly head: AnswerHead;
    /** Time the attempt spent in the agent's queue, in milliseconds. */
    readonly queueMs: number;
    /** Returns the number of bytes received, counted from the start of the attempt's answer. */
    getReceivedBytes(): number;
    readInto(sink: ChannelSink): void;
    resume(): void;
    cancel(): void;
}

/** Outcome of sending a request to an agent. */
export enum OpenResultKind {
    Answering = "answering",
    /** The agent guarantees that the attempt was not run. */
    NotRun = "not-run",
    /** No usable response was received; the attempt may be running. */
    Unknown = "lost",
}

/** Result of opening a channel. */
export type OpenResult =
    | { kind: OpenResultKind.Answering; channel: AttemptChannel }
    | { kind: OpenResultKind.NotRun; refusal: Refusal; load: LoadNews | undefined }
    | { kind: OpenResultKind.Unknown; reason: string };

/** Request to an agent. */
export interface ChannelRequest {
    agent: AgentAddress;
    attempt: string;
    incarnation: string;
    method: string;
    path: string;
    headers: Record<string, string | string[]>;
    body: Buffer;
    /** Number of answer bytes the router has already received. */
    offset: number;
    /** Aborts the wait for the response head. */
    signal: AbortSignal;
}

/** Options of a channel. */
export interface ChannelOptions {
    agentConnections: AgentConnections;
    stallDetector: StallDetector;
    onLoad: (load: LoadNews) => void;
}

const STATUS_UNAVAILABLE = 503;
const STATUS_NOT_FOUND = 404;
const MAX_REFUSAL_BYTES = 65_536;

/**
 * Sends a request to an agent and waits for the response head or a refusal.
 * @param request - Request.
 * @param options - Connections, stall detector and load listener.
 */
export function openChannel(request: ChannelRequest, options: ChannelOptions): Promise<OpenResult> {
    return new Promise(resolve => {
        const { agent } = request;
        const call = openHttpCall<OpenResult>({
            target: {
                host: agent.address,
                port: agent.port,
                method: request.method,
                path: request.path,
                headers: request.headers,
                agent: options.agentConnections.getPool(agent),
            },
            body: request.body,
            readResponse: readHead,
        });
        const outgoing = call.request;
        let isSettled = false;
        let isConnected = false;
        let lastByteAt = readMonotonicMs();
        const stopMonitoring = options.stallDetector.addStream(() => lastByteAt, checkAttemptBeforeHead);
        request.signal.addEventListener("abort", abort, { once: true });
        outgoing.on("socket", socket => {
            isConnected = !socket.connecting;
            socket.once("connect", () => {
                isConnected = true;
            });
        });
        outgoing.on("information", () => {
            lastByteAt = readMonotonicMs();
        });
        call.result.then(settle, error => settle(createErrorResult(error as NodeJS.ErrnoException)));

        function settle(result: OpenResult): void {
            if (isSettled) {
                return;
            }
            isSettled = true;
            stopMonitoring();
            request.signal.removeEventListener("abort", abort);
            if (result.kind === OpenResultKind.Unknown) {
                outgoing.destroy();
            }
            resolve(result);
        }

        function abort(): void {
            settle(createUnknownResult("the caller disconnected"));
        }

        function createErrorResult(error: NodeJS.ErrnoException): OpenResult {
            if (!isConnected && error.code === "ECONNREFUSED") {
                const refusal = createNotRunRefusal(Cause.EndpointLost, "the agent refused the connection");
                return { kind: OpenResultKind.NotRun, refusal, load: undefined };
            }
            return createUnknownResult(error.message);
        }

        async function readHead(response: http.IncomingMessage): Promise<OpenResult> {
            const fault = findHeadFault(response);
            if (fault !== undefined) {
                return createUnknownResult(fault);
            }
            const load = readLoad(response.headers);
            if (load !== undefined) {
                options.onLoad(load);
            }
            const echoedAttempt = getHeader(response.headers, HopHeader.Attempt);
            if (echoedAttempt === request.attempt) {
                return { kind: OpenResultKind.Answering, channel: createChannel(request, response, options) };
            }
            if (echoedAttempt !== undefined) {
                return createUnknownResult("the response belongs to another attempt");
            }
            const body = await readWholeBody(response, MAX_REFUSAL_BYTES);
            return readRefusal(response, body, load);
        }

        async function checkAttemptBeforeHead(): Promise<void> {
            const report = await options.agentConnections.settleAttempt(agent, request.attempt);
            const isActive =
                report !== undefined &&
                isSameIncarnation(request, report.incarnation) &&
                (report.state === AttemptState.Queued || report.state === AttemptState.Running) &&
                report.length <= request.offset &&
                report.end === AnswerEnd.Open;
            if (isActive) {
                lastByteAt = readMonotonicMs();
                return;
            }
            options.agentConnections.replacePool(agent);
            settle(createUnknownResult("the connection stalled"));
        }
    });
}

function createChannel(
    request: ChannelRequest,
    response: http.IncomingMessage,
    options: ChannelOptions,
): AttemptChannel {
    let receivedBytes = request.offset;
    let lastByteAt = readMonotonicMs();
    let sink: ChannelSink | undefined;
    let isEnded = false;
    let isPaused = false;
    let hasNewBytes = false;
    const stopMonitoring = options.stallDetector.addStream(getLastByteAt, checkAttempt);
    response.pause();
    response.on("error", () => end(ChannelEnd.Interrupted));
    response.on("close", () => end(isComplete() ? ChannelEnd.Complete : ChannelEnd.Interrupted));
    return {
        head: { status: response.statusCode ?? 0, headers: copyEndToEndHeaders(response.headers, ["trailer"]) },
        queueMs: Number(getHeader(response.headers, HopHeader.QueueMs) ?? "0"),
        getReceivedBytes: () => receivedBytes,
        readInto,
        resume() {
            isPaused = false;
            lastByteAt = readMonotonicMs();
            response.resume();
        },
        cancel() {
            isEnded = true;
            stopMonitoring();
            response.destroy();
        },
    };

    /** Reads the clock only when the stall detector polls, not for each chunk. */
    function getLastByteAt(): number {
        if (hasNewBytes || isPaused) {
            hasNewBytes = false;
            lastByteAt = readMonotonicMs();
        }
        return lastByteAt;
    }

    function readInto(receiver: ChannelSink): void {
        sink = receiver;
        response.on("data", (chunk: Buffer) => {
            receivedBytes += chunk.length;
            hasNewBytes = true;
            if (!receiver.onChunk(chunk)) {
                isPaused = true;
                response.pause();
            }
        });
        if (isEnded) {
            receiver.onEnd(ChannelEnd.Interrupted);
        }
        response.resume();
    }

    function isComplete(): boolean {
        return response.complete && Number(response.trailers[HopHeader.Length]) === receivedBytes;
    }

    function end(channelEnd: ChannelEnd): void {
        if (isEnded) {
            return;
        }
        isEnded = true;
        stopMonitoring();
        sink?.onEnd(channelEnd);
    }

    async function checkAttempt(): Promise<void> {
        const report = await options.agentConnections.settleAttempt(request.agent, request.attempt);
        const isActive =
            report !== undefined &&
            isSameIncarnation(request, report.incarnation) &&
            report.length <= receivedBytes &&
            report.end === AnswerEnd.Open;
        if (isActive) {
            lastByteAt = readMonotonicMs();
            return;
        }
        options.agentConnections.replacePool(request.agent);
        end(ChannelEnd.Interrupted);
        response.destroy();
    }
}

function isSameIncarnation(request: ChannelRequest, incarnation: string): boolean {
    return request.incarnation === "" || request.incarnation === incarnation;
}

function createUnknownResult(reason: string): OpenResult {
    return { kind: OpenResultKind.Unknown, reason };
}

function createNotRunRefusal(cause: Cause, detail: string): Refusal {
    return { status: STATUS_UNAVAILABLE, outcome: Outcome.NotRun, cause, detail, retryAfterMs: undefined };
}

function readRefusal(response: http.IncomingMessage, body: Buffer, load: LoadNews | undefined): OpenResult {
    const outcome = getHeader(response.headers, HopHeader.Outcome);
    if (outcome !== Outcome.NotRun) {
        const isUnknownAttempt = response.statusCode === STATUS_NOT_FOUND;
        return createUnknownResult(
            isUnknownAttempt ? "the agent does not know the attempt" : "the agent returned no answer",
        );
    }
    const cause = (getHeader(response.headers, HopHeader.Cause) ?? Cause.EndpointFailed) as Cause;
    const problem = JSON.parse(body.toString("utf8")) as { detail: string; retryAfterMs?: number };
    const refusal = { ...createNotRunRefusal(cause, problem.detail), retryAfterMs: problem.retryAfterMs };
    return { kind: OpenResultKind.NotRun, refusal, load };
}

function readLoad(headers: http.IncomingHttpHeaders): LoadNews | undefined {
    const text = getHeader(headers, HopHeader.Load);
    if (text === undefined) {
        return undefined;
    }
    const [queued = 0, running = 0, draining = 0, urgent = 0, standard = 0, deferrable = 0] = text
        .split(",")
        .map(Number);
    const ahead = {
        [WorkRank.Urgent]: urgent,
        [WorkRank.Standard]: standard,
        [WorkRank.Deferrable]: deferrable,
    };
    return { queued, running, isDraining: draining === 1, ahead };
}
