import http from "node:http";
import type { Socket } from "node:net";
import {
    type CallerMemory,
    type RequestMemory,
    createCallerMemory,
    FULL_REFUSAL,
    createMemoryRefusal,
    resolveCallerLimits,
} from "../memory/index.js";
import { Cause, Outcome, type Refusal, formatFractionalSeconds, getHeader, sendRefusal } from "../protocol/index.js";
import { type Filter, runPipeline } from "../router/pipeline.js";
import { createConnectionGuard } from "../utils/ConnectionGuard.js";
import { closeAfterUnreadBody } from "../utils/closeAfterUnreadBody.js";
import { countHeadBytes } from "../utils/countHeadBytes.js";
import { readMonotonicMs } from "../utils/time.js";
import { watchDisconnect } from "../utils/watchDisconnect.js";
import { createConnectionList } from "./ConnectionList.js";
import { type DirectExchange, createDirectExchange } from "./DirectExchange.js";
import type { HeaderNames } from "./HeaderNames.js";
import { applyCallerTimeout, readCallerTimeout } from "./readCallerTimeout.js";
import type { RouteIndex } from "./RouteIndex.js";
import type { CallerLimits } from "./RoutingDocument.js";

/** Outcome of an exchange that has ended. */
export interface SettledDirectExchange {
    exchange: DirectExchange;
    refusal: Refusal | undefined;
    /** Monotonic time, in milliseconds. */
    endedAt: number;
    /** Monotonic time at which the caller closed its side of the connection, in milliseconds. */
    callerLeftAt: number | undefined;
}

/** Options of the HTTP server for callers. */
export interface CallerServerOptions {
    names: HeaderNames;
    filters: readonly Filter<DirectExchange>[];
    getIndex: () => RouteIndex | undefined;
    /** Account of what callers make the process hold; without it, the default bounds hold. */
    memory?: CallerMemory;
    /** Called once for each exchange that has ended. */
    onSettled: (settled: SettledDirectExchange) => void;
    /** Called on an unexpected error; the caller gets a 500, or a broken connection if the answer has begun. */
    onError: (error: unknown, exchange: DirectExchange) => void;
}

/** HTTP server of a direct router for its callers. */
export interface CallerServer {
    server: http.Server;
    /** Counts the requests in progress. */
    countActiveRequests(): number;
    /** Applies the limits of a new routing document. */
    applyLimits(limits: CallerLimits): void;
    /** Sends `connection: close` with every answer from now on. */
    startDraining(): void;
    /** Stops listening; closes idle connections at once, and the others after their answer. */
    stopListening(): void;
    /** Waits until no request is in progress. */
    waitUntilIdle(): Promise<void>;
}

const STATUS_UNAVAILABLE = 503;
const STATUS_INTERNAL_ERROR = 500;
/** Retry-after while no document is loaded, in milliseconds: a router that has just started usually has one by then. */
const NO_DOCUMENT_RETRY_MS = 300;
/** Limit of the HTTP parser; the limit in the routing document is usually lower. */
const MAX_HEADER_BYTES = 65_536;
/** The parser counts the request line and the separators too, which the limit in the routing document doesn't. */
const PARSED_HEAD_FACTOR = 2;
/** Interval at which connections are checked for slow headers, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;

/**
 * Creates the HTTP server for callers.
 * @param options - Filters and callbacks.
 */
export function createCallerServer(options: CallerServerOptions): CallerServer {
    const memory = options.memory ?? createCallerMemory(resolveCallerLimits(), () => undefined);
    let activeRequests = 0;
    let isDraining = false;
    let isClosing = false;
    const connections = createConnectionList();
    const guard = createConnectionGuard();
    let headerBytes = MAX_HEADER_BYTES;
    let idleWaiters: (() => void)[] = [];
    const server = http.createServer(
        {
            maxHeaderSize: MAX_HEADER_BYTES,
            connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
            noDelay: true,
            requestTimeout: 0,
        },
        (request, response) => void handleRequest(request, response),
    );
    server.on("connection", (socket: Socket) => {
        connections.addConnection(socket);
        if (!memory.addConnection(socket)) {
            guard.refuseConnection(new Error("no room for a connection"), socket, FULL_REFUSAL);
            socket.destroySoon();
        }
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        const status = getStatusLine(error.code);
        const refusal = `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
        guard.refuseConnection(error, socket as Socket, refusal);
    });
    return {
        server,
        countActiveRequests: () => activeRequests,
        applyLimits(limits) {
            server.keepAliveTimeout = limits.idleTimeoutMs;
            server.headersTimeout = limits.headerTimeoutMs;
            headerBytes = limits.headerBytes;
            const maxHeaderSize = Math.min(MAX_HEADER_BYTES, limits.headerBytes * PARSED_HEAD_FACTOR);
            // Holds for new connections; Node.js reads the property for each, though its types lack it.
            Object.assign(server, { maxHeaderSize });
            memory.applySizes(limits.bodyBytes, maxHeaderSize);
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
            return activeRequests === 0 ? Promise.resolve() : new Promise(resolve => idleWaiters.push(resolve));
        },
    };

    async function handleRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        if (!guard.addRequest(request, response)) {
            return;
        }
        const { socket } = request;
        const requestsAhead = connections.beginRequest(socket);
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
        const headSize = countHeadBytes(request);
        const requestMemory = memory.openRequest(request, response, headSize);
        if (requestMemory === undefined) {
            response.setHeader("connection", "close");
            sendRefusal(response, createMemoryRefusal(), undefined, formatFractionalSeconds);
            return;
        }
        const index = options.getIndex();
        if (index === undefined) {
            closeAfterUnreadBody(request, response);
            sendRefusal(response, createNoDocumentRefusal(), undefined, formatFractionalSeconds);
            return;
        }
        if (headSize > headerBytes) {
            closeAfterUnreadBody(request, response);
            response.writeHead(431, { connection: "close" }).end();
            return;
        }
        activeRequests++;
        const exchange = openExchange(request, response, index, requestMemory);
        exchange.requestsAhead = requestsAhead;
        try {
            const refusal = await runFilters(exchange);
            exchange.clearDeadline();
            await settleExchange(exchange, refusal);
        } catch (error) {
            options.onError(error, exchange);
            if (!response.writableEnded) {
                response.destroy();
            }
        } finally {
            endRequest();
        }
    }

    function endRequest(): void {
        activeRequests--;
        if (activeRequests === 0) {
            idleWaiters.forEach(finish => finish());
            idleWaiters = [];
        }
    }

    function openExchange(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        index: RouteIndex,
        requestMemory: RequestMemory,
    ): DirectExchange {
        const callerTimeoutMs = readCallerTimeout(request.headers, options.names);
        const id = getHeader(request.headers, options.names.attempt) ?? "";
        const exchange = createDirectExchange({ request, response, index, id, callerTimeoutMs, memory: requestMemory });
        applyCallerTimeout(exchange);
        watchDisconnect(response, () => {
            exchange.isCallerGone = true;
            exchange.abortController.abort();
        });
        return exchange;
    }

    /**
     * Runs the filters. An unexpected error fails only this request, with an unknown outcome, since the request may have
     * reached an endpoint.
     */
    async function runFilters(exchange: DirectExchange): Promise<Refusal | undefined> {
        try {
            return await runPipeline(options.filters, exchange);
        } catch (error) {
            options.onError(error, exchange);
            return {
                status: STATUS_INTERNAL_ERROR,
                outcome: Outcome.Unknown,
                cause: Cause.EndpointFailed,
                detail: "internal error while handling the request",
                retryAfterMs: undefined,
            };
        }
    }

    async function settleExchange(exchange: DirectExchange, refusal: Refusal | undefined): Promise<void> {
        const { response } = exchange;
        if (refusal !== undefined && response.headersSent && !response.writableEnded) {
            // The answer has begun, so only closing the connection tells the caller that the rest is missing.
            exchange.failureCause = refusal.cause;
            response.destroy();
        } else if (refusal !== undefined && !response.destroyed && !response.headersSent) {
            closeAfterUnreadBody(exchange.request, response);
            sendRefusal(response, refusal, undefined, formatFractionalSeconds);
        }
        const callerLeftAt = connections.getLeftAt(exchange.request.socket);
        options.onSettled({ exchange, refusal, endedAt: readMonotonicMs(), callerLeftAt });
        if (response.writableEnded && !response.writableFinished && !response.destroyed) {
            await new Promise<void>(resolve => {
                response.once("close", resolve);
                watchDisconnect(response, resolve);
            });
        }
    }
}

function getStatusLine(code: string | undefined): string {
    if (code === "HPE_HEADER_OVERFLOW") {
        return "431 Request Header Fields Too Large";
    }
    return code === "ERR_HTTP_REQUEST_TIMEOUT" ? "408 Request Timeout" : "400 Bad Request";
}

function createNoDocumentRefusal(): Refusal {
    return {
        status: STATUS_UNAVAILABLE,
        outcome: Outcome.NotRun,
        cause: Cause.NoDocument,
        detail: "this host has not loaded a routing document yet",
        retryAfterMs: NO_DOCUMENT_RETRY_MS,
    };
}
