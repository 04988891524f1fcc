import http from "node:http";
import { AttemptState } from "../../agent/AttemptLedger.js";
import { type AnswerHead, AnswerEnd } from "../../agent/KeptAnswer.js";
import { WorkRank } from "../../config/index.js";
import type { LoadNews } from "../../membership/index.js";
import { Cause, HopHeader, Outcome, type Refusal, copyEndToEndHeaders, getHeader } from "../../protocol/index.js";
import { readWholeBody } from "../../utils/http.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { AgentAddress, AgentDirectory } from "./AgentDirectory.js";
import type { SilenceWatch } from "./SilenceWatch.js";

/** How a channel ended. */
export enum ChannelEnd {
    /** The agent said that the answer is whole, and every byte came. */
    Whole = "whole",
    /** The answer stopped; the attempt may go on at the agent. */
    Cut = "cut",
}

/** Receives the bytes of an answer. */
export interface ChannelSink {
    /** @returns False if the sink asks for a pause. */
    onChunk(chunk: Buffer): boolean;
    onEnd(end: ChannelEnd): void;
}

/** An answer that comes from an agent. */
export interface AttemptChannel {
    readonly head: AnswerHead;
    /** Time that the attempt waited in the agent's queue, in milliseconds. */
    readonly queueMs: number;
    /** Bytes received, counted from the start of the attempt's answer. */
    getReceived(): number;
    readInto(sink: ChannelSink): void;
    resume(): void;
    cancel(): void;
}

/** What an agent made of a request. */
export enum OpeningKind {
    Answering = "answering",
    /** The agent promises that the attempt was not run. */
    NotRun = "not-run",
    /** No word came; the attempt may be running. */
    Lost = "lost",
}

/** First news of an attempt. */
export type Opening =
    | { kind: OpeningKind.Answering; channel: AttemptChannel }
    | { kind: OpeningKind.NotRun; refusal: Refusal; load: LoadNews | undefined }
    | { kind: OpeningKind.Lost; reason: string };

/** A request for an agent. */
export interface ChannelRequest {
    agent: AgentAddress;
    attempt: string;
    incarnation: string;
    method: string;
    path: string;
    headers: Record<string, string | string[]>;
    body: Buffer;
    /** Bytes of the answer that the router has already. */
    offset: number;
    /** Ends the wait for the head. */
    signal: AbortSignal;
}

/** Options of a channel. */
export interface ChannelOptions {
    directory: AgentDirectory;
    watch: SilenceWatch;
    onLoad: (news: LoadNews) => void;
}

const STATUS_UNAVAILABLE = 503;
const STATUS_NOT_FOUND = 404;
const MAX_REFUSAL_BYTES = 65_536;

/**
 * Sends a request to an agent, and waits for the head of the answer or a refusal.
 * @param request - Request.
 * @param options - Connections and watch.
 */
export function openChannel(request: ChannelRequest, options: ChannelOptions): Promise<Opening> {
    return new Promise(resolve => {
        const { agent } = request;
        const outgoing = http.request({
            host: agent.address,
            port: agent.port,
            method: request.method,
            path: request.path,
            headers: request.headers,
            agent: options.directory.getPool(agent),
        });
        let isOpen = false;
        let isSocketUsed = false;
        let lastByteAt = readMonotonicMs();
        const stopWatch = options.watch.addStream(() => lastByteAt, probeBeforeHead);
        request.signal.addEventListener("abort", abort, { once: true });
        outgoing.on("socket", socket => {
            isSocketUsed = !socket.connecting;
            socket.once("connect", () => {
                isSocketUsed = true;
            });
        });
        outgoing.on("information", () => {
            lastByteAt = readMonotonicMs();
        });
        outgoing.on("error", error => settle(createFailure(error)));
        outgoing.on("response", response => {
            readHead(response).then(settle, error => settle(createLost(String(error))));
        });
        outgoing.end(request.body);

        function settle(opening: Opening): void {
            if (isOpen) {
                return;
            }
            isOpen = true;
            stopWatch();
            request.signal.removeEventListener("abort", abort);
            if (opening.kind === OpeningKind.Lost) {
                outgoing.destroy();
            }
            resolve(opening);
        }

        function abort(): void {
            settle(createLost("the caller hung up"));
        }

        function createFailure(error: NodeJS.ErrnoException): Opening {
            if (!isSocketUsed && error.code === "ECONNREFUSED") {
                const refusal = createNotRun(Cause.EndpointLost, "the agent refused the connection");
                return { kind: OpeningKind.NotRun, refusal, load: undefined };
            }
            return createLost(error.message);
        }

        async function readHead(response: http.IncomingMessage): Promise<Opening> {
            const load = readLoad(response.headers);
            if (load !== undefined) {
                options.onLoad(load);
            }
            const echoed = getHeader(response.headers, HopHeader.Attempt);
            if (echoed === request.attempt) {
                return { kind: OpeningKind.Answering, channel: createChannel(request, response, options) };
            }
            if (echoed !== undefined) {
                return createLost("the answer of another attempt came");
            }
            const body = await readWholeBody(response, MAX_REFUSAL_BYTES);
            return readRefusal(response, body, load);
        }

        async function probeBeforeHead(): Promise<void> {
            const report = await options.directory.settleAttempt(agent, request.attempt);
            const isAlive =
                report !== undefined &&
                isSameLife(request, report.incarnation) &&
                (report.state === AttemptState.Queued || report.state === AttemptState.Running) &&
                report.length <= request.offset &&
                report.end === AnswerEnd.Open;
            if (isAlive) {
                lastByteAt = readMonotonicMs();
                return;
            }
            options.directory.replacePool(agent);
            settle(createLost("the connection went silent"));
        }
    });
}

function createChannel(
    request: ChannelRequest,
    response: http.IncomingMessage,
    options: ChannelOptions,
): AttemptChannel {
    let received = request.offset;
    let lastByteAt = readMonotonicMs();
    let sink: ChannelSink | undefined;
    let isEnded = false;
    let isPaused = false;
    let hasNewBytes = false;
    const stopWatch = options.watch.addStream(getLastByteAt, probe);
    response.pause();
    response.on("error", () => end(ChannelEnd.Cut));
    response.on("close", () => end(isWhole() ? ChannelEnd.Whole : ChannelEnd.Cut));
    return {
        head: { status: response.statusCode ?? 0, headers: copyEndToEndHeaders(response.headers, ["trailer"]) },
        queueMs: Number(getHeader(response.headers, HopHeader.QueueMs) ?? "0"),
        getReceived: () => received,
        readInto,
        resume() {
            isPaused = false;
            lastByteAt = readMonotonicMs();
            response.resume();
        },
        cancel() {
            isEnded = true;
            stopWatch();
            response.destroy();
        },
    };

    /** The clock is read by the watch, not for each event. */
    function getLastByteAt(): number {
        if (hasNewBytes || isPaused) {
            hasNewBytes = false;
            lastByteAt = readMonotonicMs();
        }
        return lastByteAt;
    }

    function readInto(next: ChannelSink): void {
        sink = next;
        response.on("data", (chunk: Buffer) => {
            received += chunk.length;
            hasNewBytes = true;
            if (!next.onChunk(chunk)) {
                isPaused = true;
                response.pause();
            }
        });
        if (isEnded) {
            next.onEnd(ChannelEnd.Cut);
        }
        response.resume();
    }

    function isWhole(): boolean {
        return response.complete && Number(response.trailers[HopHeader.Length]) === received;
    }

    function end(channelEnd: ChannelEnd): void {
        if (isEnded) {
            return;
        }
        isEnded = true;
        stopWatch();
        sink?.onEnd(channelEnd);
    }

    async function probe(): Promise<void> {
        const report = await options.directory.settleAttempt(request.agent, request.attempt);
        const isAlive =
            report !== undefined &&
            isSameLife(request, report.incarnation) &&
            report.length <= received &&
            report.end === AnswerEnd.Open;
        if (isAlive) {
            lastByteAt = readMonotonicMs();
            return;
        }
        options.directory.replacePool(request.agent);
        end(ChannelEnd.Cut);
        response.destroy();
    }
}

function isSameLife(request: ChannelRequest, incarnation: string): boolean {
    return request.incarnation === "" || request.incarnation === incarnation;
}

function createLost(reason: string): Opening {
    return { kind: OpeningKind.Lost, reason };
}

function createNotRun(cause: Cause, detail: string): Refusal {
    return { status: STATUS_UNAVAILABLE, outcome: Outcome.NotRun, cause, detail, retryAfterMs: undefined };
}

function readRefusal(response: http.IncomingMessage, body: Buffer, load: LoadNews | undefined): Opening {
    const outcome = getHeader(response.headers, HopHeader.Outcome);
    if (outcome !== Outcome.NotRun) {
        const isUnknownAttempt = response.statusCode === STATUS_NOT_FOUND;
        return createLost(isUnknownAttempt ? "the agent does not know the attempt" : "the agent gave no answer");
    }
    const cause = (getHeader(response.headers, HopHeader.Cause) ?? Cause.EndpointFailed) as Cause;
    const problem = JSON.parse(body.toString("utf8")) as { detail: string; retryAfterMs?: number };
    const refusal = { ...createNotRun(cause, problem.detail), retryAfterMs: problem.retryAfterMs };
    return { kind: OpeningKind.NotRun, refusal, load };
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
