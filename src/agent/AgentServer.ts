import http from "node:http";
import type { Socket } from "node:net";
import { ROOT_CONTEXT, SpanKind, trace } from "@opentelemetry/api";
import { WORK_RANKS, type WorkRank } from "../config/index.js";
import { ErrorCode, hasErrorCode } from "../errors/index.js";
import {
    type CallerMemory,
    type RequestMemory,
    createCallerMemory,
    createMemoryRefusal,
    readCallerBody,
    resolveCallerLimits,
} from "../memory/index.js";
import {
    Cause,
    EventField,
    HopHeader,
    Outcome,
    copyEndToEndHeaders,
    getHeader,
    sendRefusal,
} from "../protocol/index.js";
import { type Tracing, endSpan } from "../telemetry/index.js";
import { closeAfterUnreadBody } from "../utils/closeAfterUnreadBody.js";
import { countHeadBytes } from "../utils/countHeadBytes.js";
import { isEqualInConstantTime } from "../utils/digest.js";
import { sendJson } from "../utils/http.js";
import { watchDisconnect } from "../utils/watchDisconnect.js";
import type { AgentCore, AgentRefusal, AttemptRequest } from "./AgentCore.js";
import type { AttemptRecord } from "./AttemptLedger.js";
import { AnswerEnd, type AnswerReader } from "./KeptAnswer.js";

/** Options of the agent's data server. */
export interface AgentServerOptions {
    core: AgentCore;
    tracing: Tracing;
    processKeys: readonly string[];
    maxBodyBytes: number;
    /** Account of what routers make the agent hold; without it, the default bounds hold. */
    memory?: CallerMemory;
}

const STATUS_UNAUTHORIZED = 401;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;
const PROGRESS_MS = 400;
const ATTEMPT_PATH = /^\/attempts\/([A-Za-z0-9-]{1,64})(\/.*)$/;
const ANSWER_PATH = /^\/answers\/([A-Za-z0-9-]{1,64})\?from=(\d+)$/;

/**
 * Creates the server that takes attempts from routers, and hands out kept answers.
 *
 * `ANY /attempts/{id}/{path}` opens an attempt; `GET /answers/{id}?from={offset}` follows one.
 * @param options - Core and keys.
 */
export function createAgentServer(options: AgentServerOptions): http.Server {
    const { core, tracing, memory = createCallerMemory(resolveCallerLimits(), () => undefined) } = options;
    const silent = new Set<http.ServerResponse>();
    const progress = setInterval(sendProgress, PROGRESS_MS);
    const server = http.createServer((request, response) => {
        const requestMemory = memory.openRequest(request, response, countHeadBytes(request));
        if (requestMemory === undefined) {
            response.setHeader("connection", "close");
            sendRefusal(response, createMemoryRefusal());
            return;
        }
        if (!isAuthorized(request)) {
            closeAfterUnreadBody(request, response);
            sendJson(response, STATUS_UNAUTHORIZED, { error: "expected a process key" });
            return;
        }
        const attempt = ATTEMPT_PATH.exec(request.url ?? "");
        const answer = ANSWER_PATH.exec(request.url ?? "");
        if (attempt) {
            void handleAttempt(request, response, requestMemory, attempt[1] ?? "", attempt[2] ?? "/");
        } else if (answer) {
            followAnswer(response, answer[1] ?? "", Number(answer[2]));
        } else {
            closeAfterUnreadBody(request, response);
            sendJson(response, STATUS_NOT_FOUND, { error: "expected an attempt or an answer" });
        }
    });
    server.on("close", () => clearInterval(progress));
    server.requestTimeout = 0;
    memory.applySizes(options.maxBodyBytes, http.maxHeaderSize);
    server.on("connection", (socket: Socket) => {
        if (!memory.addConnection(socket)) {
            socket.destroy();
        }
    });
    server.on("upgrade", (request: http.IncomingMessage) => memory.removeConnection(request.socket));
    return server;

    function isAuthorized(request: http.IncomingMessage): boolean {
        const key = getHeader(request.headers, HopHeader.ProcessKey) ?? "";
        return options.processKeys.some(known => isEqualInConstantTime(known, key));
    }

    async function handleAttempt(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        requestMemory: RequestMemory,
        id: string,
        path: string,
    ): Promise<void> {
        let body: Buffer;
        try {
            const bounds = { maxBytes: options.maxBodyBytes, maxMs: requestMemory.limits.bodyMs };
            body = await readCallerBody(request, requestMemory, bounds);
        } catch (error) {
            if (hasErrorCode(error, ErrorCode.OutOfMemory) && !response.destroyed) {
                closeAfterUnreadBody(request, response);
                response.setHeader(HopHeader.Load, encodeLoad(core));
                sendRefusal(response, createMemoryRefusal());
            } else {
                response.destroy();
            }
            return;
        }
        const attempt = readAttempt(request, id, path, body);
        if (attempt === undefined) {
            sendJson(response, STATUS_BAD_REQUEST, { error: "expected the headers of an attempt" });
            return;
        }
        openAttempt(request, response, attempt);
    }

    function openAttempt(request: http.IncomingMessage, response: http.ServerResponse, attempt: AttemptRequest): void {
        const parent = tracing.readContext(request.headers);
        const span = tracing.startSpan("agent.attempt", SpanKind.SERVER, parent, { attempt: attempt.id });
        const headers: Record<string, string> = {};
        tracing.writeContext(span, headers);
        Object.assign(attempt.endpoint.headers, headers);
        silent.add(response);
        watchDisconnect(response, () => {
            silent.delete(response);
            core.releaseAttempt(attempt.id);
        });
        core.acceptAttempt(attempt, {
            onAccepted(record) {
                if (response.destroyed && attempt.isIdempotent) {
                    core.releaseAttempt(attempt.id);
                }
                const hop = tracing.startSpan("agent.endpoint", SpanKind.CLIENT, trace.setSpan(ROOT_CONTEXT, span));
                attachReader(response, record, 0, end => {
                    const failure = end === AnswerEnd.Whole ? undefined : end;
                    endSpan(hop, failure);
                    endSpan(span, failure);
                });
            },
            onRefused(refusal) {
                endSpan(span, refusal.cause);
                silent.delete(response);
                refuseAttempt(response, refusal);
            },
        });
    }

    function refuseAttempt(response: http.ServerResponse, refusal: AgentRefusal): void {
        response.setHeader(HopHeader.Load, encodeLoad(core));
        sendRefusal(response, { status: STATUS_UNAVAILABLE, ...refusal });
    }

    function followAnswer(response: http.ServerResponse, id: string, offset: number): void {
        const record = core.getAttempt(id);
        if (record === undefined) {
            sendJson(response, STATUS_NOT_FOUND, { error: "the attempt is not known" });
            return;
        }
        silent.add(response);
        watchDisconnect(response, () => {
            silent.delete(response);
            core.releaseAttempt(id);
        });
        attachReader(response, record, offset, () => undefined);
    }

    function attachReader(
        response: http.ServerResponse,
        record: AttemptRecord,
        offset: number,
        onEnd: (end: AnswerEnd) => void,
    ): void {
        const reader: AnswerReader = {
            onHead(head) {
                silent.delete(response);
                const headers = { ...head.headers };
                delete headers["content-length"];
                response.writeHead(head.status, {
                    ...headers,
                    [HopHeader.Attempt]: record.id,
                    [HopHeader.Load]: encodeLoad(core),
                    [HopHeader.QueueMs]: String(Math.round(record.queueMs)),
                    trailer: HopHeader.Length,
                });
                response.flushHeaders();
            },
            onChunk: chunk => response.write(chunk),
            onEnd(end, length) {
                silent.delete(response);
                onEnd(end);
                finishResponse(response, end, length);
            },
        };
        const removeReader = record.answer.addReader(reader, offset);
        watchDisconnect(response, () => {
            removeReader();
            core.releaseAttempt(record.id);
        });
    }

    /** Shows routers that a silent attempt is alive. */
    function sendProgress(): void {
        for (const response of silent) {
            if (!response.headersSent && !response.destroyed) {
                response.writeProcessing();
            }
        }
    }
}

function finishResponse(response: http.ServerResponse, end: AnswerEnd, length: number): void {
    if (end === AnswerEnd.Whole) {
        response.addTrailers({ [HopHeader.Length]: String(length) });
        response.end();
    } else if (response.headersSent) {
        response.destroy();
    } else {
        sendRefusal(response, {
            status: STATUS_UNAVAILABLE,
            outcome: end === AnswerEnd.NeverStarted ? Outcome.NotRun : Outcome.Unknown,
            cause: Cause.EndpointFailed,
            detail: "the endpoint gave no answer",
            retryAfterMs: undefined,
        });
    }
}

function readAttempt(
    request: http.IncomingMessage,
    id: string,
    path: string,
    body: Buffer,
): AttemptRequest | undefined {
    const rank = getHeader(request.headers, HopHeader.Rank) as WorkRank;
    const budgetMs = Number(getHeader(request.headers, HopHeader.Budget));
    const weight = Number(getHeader(request.headers, HopHeader.Weight));
    const cost = Number(getHeader(request.headers, HopHeader.Cost));
    const team = getHeader(request.headers, HopHeader.Team);
    const isValid = WORK_RANKS.includes(rank) && budgetMs > 0 && weight > 0 && cost > 0 && team !== undefined;
    if (!isValid) {
        return undefined;
    }
    return {
        id,
        team,
        weight,
        rank,
        budgetMs,
        isIdempotent: getHeader(request.headers, HopHeader.Idempotent) === "1",
        isIsolated: getHeader(request.headers, HopHeader.Isolated) === "1",
        keyDigest: getHeader(request.headers, HopHeader.KeyDigest) ?? "",
        cost,
        incarnation: getHeader(request.headers, HopHeader.Incarnation) ?? "",
        endpoint: {
            attempt: id,
            method: request.method ?? "POST",
            path,
            headers: { ...copyEndToEndHeaders(request.headers, ["content-length"]), "x-team": team },
            body,
            wantedFields: readEventFields(request),
        },
    };
}

function readEventFields(request: http.IncomingMessage): Set<EventField> {
    const names = (getHeader(request.headers, HopHeader.EventFields) ?? "").split(",");
    return new Set(Object.values(EventField).filter(field => names.includes(field)));
}

function encodeLoad(core: AgentCore): string {
    const load = core.getLoad();
    const ahead = WORK_RANKS.map(rank => load.ahead[rank]).join(",");
    return `${load.queued},${load.running},${load.isDraining ? 1 : 0},${ahead}`;
}
