import http from "node:http";
import type { Socket } from "node:net";
import { SpanKind } from "@opentelemetry/api";
import type { DocumentIndex } from "../config/index.js";
import { type CallerMemory, FULL_REFUSAL, type RequestMemory, createMemoryRefusal } from "../memory/index.js";
import { Cause, Outcome, type Refusal, sendRefusal } from "../protocol/index.js";
import { EventId, endSpan } from "../telemetry/index.js";
import { createConnectionGuard } from "../utils/ConnectionGuard.js";
import { closeAfterUnreadBody } from "../utils/closeAfterUnreadBody.js";
import { countHeadBytes } from "../utils/countHeadBytes.js";
import { readMonotonicMs } from "../utils/time.js";
import type { Exchange } from "./Exchange.js";
import type { RouterContext } from "./RouterContext.js";
import { createAdmit } from "./filters/admit.js";
import { createClassify } from "./filters/classify.js";
import { createExecute } from "./filters/execute.js";
import { createCheckHeaders } from "./filters/checkHeaders.js";
import { createIdentify } from "./filters/identify.js";
import { createReadBody } from "./filters/readBody.js";
import { runPipeline } from "./pipeline.js";

/** Completed exchange, as recorded in the account. */
export interface SettledExchange {
    exchange: Exchange;
    refusal: Refusal | undefined;
    endedAt: number;
}

/** Options of the caller-facing HTTP server. */
export interface RouterServerOptions {
    context: RouterContext;
    getIndex: () => DocumentIndex | undefined;
    limits: { bodyBytes: number; bodyMs: number; concurrent: number };
    /** Account of what callers make the process hold. */
    memory: CallerMemory;
    onSettled: (settled: SettledExchange) => void;
}

/** Caller-facing HTTP server. */
export interface RouterServer {
    server: http.Server;
    /** Returns the number of requests in progress. */
    getActiveRequestCount(): number;
    /** Fails the health check, so that the load balancer stops sending requests. */
    startDraining(): void;
    /** Starts refusing new requests. */
    refuseNewRequests(): void;
    isDraining(): boolean;
}

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;
const STATUS_ERROR = 500;
const STATUS_CALLER_GONE = 499;
const RETRY_AFTER_MS = 1_000;
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const MAX_HEADER_BYTES = 16_384;

/**
 * Creates the caller-facing HTTP server.
 * @param options - Context and limits.
 */
export function createRouterServer(options: RouterServerOptions): RouterServer {
    const { context, limits, memory } = options;
    let activeRequests = 0;
    let isDraining = false;
    let isRefusingNew = false;
    const guard = createConnectionGuard();
    const filters = [
        createAdmit({
            getConcurrent: () => activeRequests,
            maxConcurrent: limits.concurrent,
            isClosed: () => isRefusingNew,
        }),
        createCheckHeaders(),
        createIdentify(),
        createReadBody(() => ({ maxBytes: limits.bodyBytes, maxMs: limits.bodyMs })),
        createClassify(),
        createExecute(context),
    ];
    const server = http.createServer(
        {
            maxHeaderSize: MAX_HEADER_BYTES,
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
            headersTimeout: HEADERS_TIMEOUT_MS,
        },
        (request, response) => void handle(request, response),
    );
    server.requestTimeout = 0;
    memory.applySizes(limits.bodyBytes, MAX_HEADER_BYTES);
    server.on("connection", (socket: Socket) => {
        if (!memory.addConnection(socket)) {
            guard.refuseConnection(new Error("no room for a connection"), socket, FULL_REFUSAL);
            socket.destroySoon();
        }
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) =>
        guard.refuseConnection(error, socket as Socket, buildMalformedRefusal(error)),
    );
    return {
        server,
        getActiveRequestCount: () => activeRequests,
        startDraining() {
            isDraining = true;
        },
        refuseNewRequests() {
            isRefusingNew = true;
        },
        isDraining: () => isDraining,
    };

    async function handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        if (!guard.addRequest(request, response)) {
            return;
        }
        response.on("error", () => undefined);
        if (request.url === "/healthz") {
            response.writeHead(isDraining ? STATUS_UNAVAILABLE : STATUS_OK, { connection: "close" }).end();
            return;
        }
        if (isDraining) {
            response.setHeader("connection", "close");
        }
        const requestMemory = memory.openRequest(request, response, countHeadBytes(request));
        if (requestMemory === undefined) {
            response.setHeader("connection", "close");
            sendRefusal(response, createMemoryRefusal());
            return;
        }
        const index = options.getIndex();
        if (index === undefined) {
            closeAfterUnreadBody(request, response);
            sendRefusal(response, createNoDocumentRefusal());
            return;
        }
        activeRequests++;
        const exchange = createExchange(request, response, index, requestMemory);
        response.setHeader("x-trace-id", exchange.traceId);
        const refusal = await runWithErrorHandling(exchange);
        activeRequests--;
        settle(exchange, refusal);
    }

    function createExchange(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        index: DocumentIndex,
        requestMemory: RequestMemory,
    ): Exchange {
        const parent = context.tracing.readContext(request.headers);
        const span = context.tracing.startSpan("router.request", SpanKind.SERVER, parent, { path: request.url ?? "" });
        return {
            request,
            response,
            memory: requestMemory,
            span,
            traceId: span.spanContext().traceId,
            arrivedAt: readMonotonicMs(),
            index,
            team: undefined,
            body: Buffer.alloc(0),
            target: undefined,
            idempotencyKey: "",
            firstByteAt: undefined,
            queueMs: 0,
            attempts: 0,
            hosts: [],
            isCallerDisconnected: false,
            failureCause: undefined,
        };
    }

    /** An exception ends only this request, with the outcome unknown if the request may have been dispatched. */
    async function runWithErrorHandling(exchange: Exchange): Promise<Refusal | undefined> {
        try {
            return await runPipeline(filters, exchange);
        } catch (error) {
            context.logger.logFailure(EventId.RequestFailed, error, { trace: exchange.traceId });
            if (exchange.response.headersSent) {
                exchange.response.destroy();
            }
            return createInternalErrorRefusal(exchange);
        }
    }

    function settle(exchange: Exchange, refusal: Refusal | undefined): void {
        const { response, span } = exchange;
        if (refusal !== undefined && !response.headersSent && !response.destroyed) {
            closeAfterUnreadBody(exchange.request, response);
            sendRefusal(response, refusal, exchange.traceId);
        }
        const outcome = refusal?.outcome ?? Outcome.Ran;
        const cause =
            refusal?.cause ?? exchange.failureCause ?? (exchange.isCallerDisconnected ? Cause.CallerGone : Cause.None);
        context.metrics.requests.inc({ rank: exchange.target?.rank ?? "none", outcome, cause });
        if (exchange.firstByteAt !== undefined && exchange.target !== undefined) {
            const seconds = (exchange.firstByteAt - exchange.arrivedAt) / 1_000;
            context.metrics.firstByteSeconds.observe({ rank: exchange.target.rank }, seconds);
        }
        if (cause !== Cause.None) {
            const facts = { trace: exchange.traceId, team: exchange.team?.name, outcome, cause };
            context.logger.logEvent(EventId.RequestRefused, facts);
        }
        span.setAttributes({ outcome, cause, team: exchange.team?.name ?? "" });
        endSpan(span, cause === Cause.None ? undefined : cause);
        options.onSettled({ exchange, refusal, endedAt: readMonotonicMs() });
    }
}

function buildMalformedRefusal(error: NodeJS.ErrnoException): string {
    const isTooLarge = error.code === "HPE_HEADER_OVERFLOW";
    const status = isTooLarge ? "431 Request Header Fields Too Large" : "400 Bad Request";
    const body = JSON.stringify({
        type: `urn:auburnpass:cause:${Cause.MalformedRequest}`,
        title: "malformed request",
        status: isTooLarge ? 431 : 400,
        detail: "expected a well-formed HTTP request",
        outcome: Outcome.NotRun,
        cause: Cause.MalformedRequest,
    });
    const head = `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/problem+json`;
    return `${head}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

function createNoDocumentRefusal(): Refusal {
    return {
        status: STATUS_UNAVAILABLE,
        outcome: Outcome.NotRun,
        cause: Cause.NoDocument,
        detail: "the router has not loaded an environment document yet",
        retryAfterMs: RETRY_AFTER_MS,
    };
}

function createInternalErrorRefusal(exchange: Exchange): Refusal {
    return {
        status: exchange.isCallerDisconnected ? STATUS_CALLER_GONE : STATUS_ERROR,
        outcome: exchange.target === undefined ? Outcome.NotRun : Outcome.Unknown,
        cause: Cause.EndpointFailed,
        detail: "the router failed while processing the request",
        retryAfterMs: RETRY_AFTER_MS,
    };
}
