import http from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { Cause, Outcome, type Refusal, formatFractionalSeconds, getHeader, sendRefusal } from "../protocol/index.js";
import { type Filter, runPipeline } from "../router/pipeline.js";
import { readMonotonicMs } from "../utils/time.js";
import { createConnectionList } from "./ConnectionList.js";
import { type DirectExchange, createDirectExchange } from "./DirectExchange.js";
import type { HeaderNames } from "./HeaderNames.js";
import type { RouteIndex } from "./RouteIndex.js";
import type { CallerLimits } from "./RoutingDocument.js";

/** What became of an exchange. */
export interface SettledDirectExchange {
    exchange: DirectExchange;
    refusal: Refusal | undefined;
    endedAt: number;
}

/** Options of the server for callers. */
export interface CallerServerOptions {
    names: HeaderNames;
    filters: readonly Filter<DirectExchange>[];
    getIndex: () => RouteIndex | undefined;
    onSettled: (settled: SettledDirectExchange) => void;
    onFault: (error: unknown, exchange: DirectExchange) => void;
}

/** The server that callers of a direct router speak to. */
export interface CallerServer {
    server: http.Server;
    getConcurrent(): number;
    /** Brings the limits of a new document into force. */
    applyLimits(limits: CallerLimits): void;
    /** From now on each answer ends its connection. */
    startDraining(): void;
    /** Stops listening; closes connections without a request now, and the others after their answer. */
    stopListening(): void;
    /** Waits until no request is in progress. */
    waitUntilIdle(): Promise<void>;
}

const STATUS_UNAVAILABLE = 503;
const STATUS_ERROR = 500;
/** Time after which a router that has just started is likely to have its document, in milliseconds. */
const NO_DOCUMENT_RETRY_MS = 300;
const DEFAULT_DEADLINE_MS = 60_000;
/** Time between the router's answer and the end of the caller's patience, in milliseconds. */
const ANSWER_MARGIN_MS = 20;
/** Bound of the parser; the document's own limit is the usual one. */
const MAX_HEADER_BYTES = 65_536;
/** Period in which connections are checked for slow headers, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/**
 * Creates the server that callers speak to.
 * @param options - Filters and receivers.
 */
export function createCallerServer(options: CallerServerOptions): CallerServer {
    let concurrent = 0;
    let isDraining = false;
    let isClosing = false;
    const connections = createConnectionList();
    let headerBytes = MAX_HEADER_BYTES;
    let idleWaiters: (() => void)[] = [];
    const server = http.createServer(
        {
            maxHeaderSize: MAX_HEADER_BYTES,
            connectionsCheckingInterval: CHECK_INTERVAL_MS,
            noDelay: true,
            requestTimeout: 0,
        },
        (request, response) => void handle(request, response),
    );
    server.on("connection", connections.addConnection);
    server.on("clientError", rejectMalformed);
    return {
        server,
        getConcurrent: () => concurrent,
        applyLimits(limits) {
            server.keepAliveTimeout = limits.idleTimeoutMs;
            server.headersTimeout = limits.headerTimeoutMs;
            headerBytes = limits.headerBytes;
        },
        startDraining() {
            isDraining = true;
        },
        stopListening() {
            isClosing = true;
            server.close();
            connections.closeIdle();
        },
        waitUntilIdle() {
            return concurrent === 0 ? Promise.resolve() : new Promise(resolve => idleWaiters.push(resolve));
        },
    };

    async function handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const { socket } = request;
        connections.beginRequest(socket);
        response.once("close", () => {
            connections.endRequest(socket);
            if (isClosing) {
                connections.closeIdle();
            }
        });
        response.on("error", () => undefined);
        if (isDraining) {
            response.setHeader("connection", "close");
        }
        const index = options.getIndex();
        if (index === undefined) {
            closeUnreadBody(request, response);
            sendRefusal(response, createNoDocument(), undefined, formatFractionalSeconds);
            return;
        }
        if (countHeaderBytes(request) > headerBytes) {
            closeUnreadBody(request, response);
            response.writeHead(431, { connection: "close" }).end();
            return;
        }
        concurrent++;
        const exchange = openExchange(request, response, index);
        const refusal = await runGuarded(exchange);
        exchange.stopClock();
        await settle(exchange, refusal);
        concurrent--;
        if (concurrent === 0) {
            idleWaiters.forEach(finish => finish());
            idleWaiters = [];
        }
    }

    function openExchange(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        index: RouteIndex,
    ): DirectExchange {
        const announced = Number(getHeader(request.headers, options.names.deadline) ?? DEFAULT_DEADLINE_MS);
        const patienceMs = Number.isFinite(announced) && announced > 0 ? announced : DEFAULT_DEADLINE_MS;
        const id = getHeader(request.headers, options.names.attempt) ?? "";
        const exchange = createDirectExchange({ request, response, index, id, patienceMs });
        exchange.shortenDeadline(exchange.arrivedAt + Math.max(1, patienceMs - ANSWER_MARGIN_MS));
        response.on("close", () => {
            if (!response.writableFinished) {
                exchange.isCallerGone = true;
                exchange.ending.abort();
            }
        });
        return exchange;
    }

    /** A fault of the program itself ends one request only, with an outcome that claims nothing. */
    async function runGuarded(exchange: DirectExchange): Promise<Refusal | undefined> {
        try {
            return await runPipeline(options.filters, exchange);
        } catch (error) {
            options.onFault(error, exchange);
            return {
                status: STATUS_ERROR,
                outcome: Outcome.Unknown,
                cause: Cause.EndpointFailed,
                detail: "the host failed while it worked on the request",
                retryAfterMs: undefined,
            };
        }
    }

    async function settle(exchange: DirectExchange, refusal: Refusal | undefined): Promise<void> {
        const { response } = exchange;
        if (refusal !== undefined && response.headersSent && !response.writableEnded) {
            // A part of a stream is out: only a broken connection tells the caller that the rest is missing.
            exchange.failure = refusal.cause;
            response.destroy();
        } else if (refusal !== undefined && !response.destroyed && !response.headersSent) {
            closeUnreadBody(exchange.request, response);
            sendRefusal(response, refusal, undefined, formatFractionalSeconds);
        }
        options.onSettled({ exchange, refusal, endedAt: readMonotonicMs() });
        if (response.writableEnded && !response.writableFinished && !response.destroyed) {
            await new Promise<void>(resolve => response.once("close", resolve));
        }
    }
}

/** A body that was not read to its end makes the connection useless. */
function closeUnreadBody(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (!request.complete) {
        response.setHeader("connection", "close");
    }
}

/** Counts the bytes of the header lines, as the caller sent them. */
function countHeaderBytes(request: http.IncomingMessage): number {
    const separators = 4;
    let bytes = 0;
    for (let index = 0; index < request.rawHeaders.length; index++) {
        bytes += (request.rawHeaders[index] ?? "").length + separators / 2;
    }
    return bytes;
}

function rejectMalformed(error: NodeJS.ErrnoException, socket: Duplex): void {
    const hasAnswered = (socket as Socket).bytesWritten > 0;
    if (error.code === "ECONNRESET" || !socket.writable || hasAnswered) {
        socket.destroy();
        return;
    }
    const status = getStatusLine(error.code);
    socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
}

function getStatusLine(code: string | undefined): string {
    if (code === "HPE_HEADER_OVERFLOW") {
        return "431 Request Header Fields Too Large";
    }
    return code === "ERR_HTTP_REQUEST_TIMEOUT" ? "408 Request Timeout" : "400 Bad Request";
}

function createNoDocument(): Refusal {
    return {
        status: STATUS_UNAVAILABLE,
        outcome: Outcome.NotRun,
        cause: Cause.NoDocument,
        detail: "this host has no routes yet",
        retryAfterMs: NO_DOCUMENT_RETRY_MS,
    };
}
