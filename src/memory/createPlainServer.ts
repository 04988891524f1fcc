import http from "node:http";
import type { Socket } from "node:net";
import { closeAfterUnreadBody } from "../utils/closeAfterUnreadBody.js";
import { countHeadBytes } from "../utils/countHeadBytes.js";
import { resolveCallerLimits } from "./CallerLimits.js";
import { type ReportLimit, type RequestMemory, createCallerMemory, createMemoryRefusal } from "./CallerMemory.js";

/** Handles a request of a plain server. */
export type PlainHandler = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    memory: RequestMemory,
) => void;

/** Options of a plain server. */
export interface PlainServerOptions {
    handle: PlainHandler;
    /** Called when a limit is reached. */
    report?: ReportLimit;
    /** The handler reads bodies; otherwise a connection whose request has one is closed after the response. */
    readsBodies?: boolean;
    /** Number of connections; the one that has been idle for the longest time is closed first. */
    maxConnections?: number;
}

/** Memory for everything that a plain port holds, in MiB: some bodies of the operator's document, in two copies. */
const HELD_MB = 16;
/** Connections of monitoring, checks and operators. */
const MAX_CONNECTIONS = 64;
const MAX_PIPELINED = 16;
const MAX_HEADER_BYTES = 16_384;
/** Time for a head, and for a whole request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 10_000;
const CHECK_INTERVAL_MS = 1_000;

/**
 * Creates the server of a port that has few clients, such as monitoring, health checks and operators. What strangers send
 * to it costs no more than a fixed bound.
 * @param options - Handler of the requests.
 */
export function createPlainServer(options: PlainServerOptions): http.Server {
    const limits = resolveCallerLimits({
        heldMb: HELD_MB,
        connections: options.maxConnections ?? MAX_CONNECTIONS,
        pipelined: MAX_PIPELINED,
        bodyMs: REQUEST_TIMEOUT_MS,
    });
    const memory = createCallerMemory(limits, options.report ?? (() => undefined));
    memory.applySizes(0, MAX_HEADER_BYTES);
    const server = http.createServer(
        {
            maxHeaderSize: MAX_HEADER_BYTES,
            headersTimeout: HEADERS_TIMEOUT_MS,
            requestTimeout: REQUEST_TIMEOUT_MS,
            connectionsCheckingInterval: CHECK_INTERVAL_MS,
        },
        handleRequest,
    );
    server.on("connection", (socket: Socket) => {
        if (!memory.addConnection(socket)) {
            socket.destroy();
        }
    });
    // An upgraded connection is no longer HTTP; the server of the upgrade has its own bounds.
    // Without another listener, Node.js must go on to treat an upgrade as a plain request.
    let hasUpgrades = false;
    server.on("newListener", (event: string) => {
        if (event === "upgrade" && !hasUpgrades) {
            hasUpgrades = true;
            server.on("upgrade", (request: http.IncomingMessage) => memory.removeConnection(request.socket));
        }
    });
    return server;

    function handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
        response.on("error", () => undefined);
        const requestMemory = memory.openRequest(request, response, countHeadBytes(request));
        if (requestMemory === undefined) {
            response.writeHead(createMemoryRefusal().status, { connection: "close" }).end();
            return;
        }
        if (options.readsBodies === true) {
            response.once("finish", () => closeUnread(request));
        } else {
            closeAfterUnreadBody(request, response);
        }
        options.handle(request, response, requestMemory);
    }
}

/** The handler answered without reading the body to its end. */
function closeUnread(request: http.IncomingMessage): void {
    if (!request.complete) {
        request.socket.destroy();
    }
}
