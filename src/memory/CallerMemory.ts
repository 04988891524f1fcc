import type http from "node:http";
import type { Socket } from "node:net";
import { Cause, Outcome, type Refusal } from "../protocol/index.js";
import { readMonotonicMs } from "../utils/time.js";
import { CallerLimit, type CallerLimits, resolveCallerLimits } from "./CallerLimits.js";
import { type MemoryAccount, type MemoryHold, createMemoryAccount } from "./MemoryAccount.js";
import { type WorkPacer, createWorkPacer } from "./WorkPacer.js";
import { countTakenBytes } from "./countTakenBytes.js";

/** What one request makes the process hold. */
export interface RequestMemory {
    readonly limits: CallerLimits;
    readonly pacer: WorkPacer;
    /** Adds bytes; returns false if there is no room. They are taken off when the response is closed at the latest. */
    reserve(bytes: number): boolean;
    release(bytes: number): void;
    /** Records that the caller has sent or taken something. */
    recordProgress(): void;
    /** Sets what refuses the request to free its memory, while its body arrives; undefined once it is complete. */
    setBodyEviction(evict: (() => void) | undefined): void;
    /**
     * Stops reading the connection, as the rest of the body is refused. If an earlier request waits for its answer, the
     * connection is closed, as the refusal could not be sent before that.
     */
    refuseRest(): void;
    /** Starts to take in a body of very small chunks; returns false if as many as may be are taken in. */
    beginFragmentedBody(): boolean;
    endFragmentedBody(): void;
    /** Records that the request has reached a limit. */
    reportLimit(limit: CallerLimit): void;
}

/** Memory and connections of the callers of one process. */
export interface CallerMemory {
    /** Counts a connection; returns false if there is no room for it. The caller of the function closes it then. */
    addConnection(socket: Socket): boolean;
    /**
     * Counts a request until its response is closed.
     * @param headBytes - Size of its head.
     * @returns Undefined if there is no room for it.
     */
    openRequest(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        headBytes: number,
    ): RequestMemory | undefined;
    /** Stops counting a connection that is no longer one of the server. */
    removeConnection(socket: Socket): void;
    /** Applies the limits on bodies and heads of the configuration. */
    applySizes(bodyBytes: number, headBytes: number): void;
    getHeldBytes(): number;
    countConnections(): number;
}

/** Called when a caller reaches a limit. */
export type ReportLimit = (limit: CallerLimit, heldBytes: number) => void;

/** Socket, parser and the objects that belong to a connection, in bytes; estimated from a heap snapshot of idle ones. */
const CONNECTION_BYTES = 8_192;
/** Objects of a request in progress, in bytes, without its head and body. */
const REQUEST_BYTES = 8_192;
/** The head is held by the parser and as strings in the request's objects. */
const COPIES_OF_HEAD = 2;
/** Copies of a body for a moment: the blocks that it was collected in, and the whole. */
const COPIES_OF_BODY = 2;
/** Time for which an unread answer must not have moved before it may be cut, in milliseconds. */
const MIN_UNREAD_MS = 500;
const STATUS_UNAVAILABLE = 503;
/** Retry-after of a request without room, in milliseconds: by then, callers without progress have given up theirs. */
const FULL_RETRY_MS = 500;

interface RequestState {
    response: http.ServerResponse;
    evictBody: (() => void) | undefined;
}

interface ConnectionState {
    socket: Socket;
    hold: MemoryHold;
    /** In the order of their arrival. */
    requests: Set<RequestState>;
    /** Bytes that the caller had taken at a time, to tell whether it reads. */
    taken: { bytes: number; at: number } | undefined;
}

/**
 * Creates the account of a process's callers.
 * @param limits - Bounds.
 * @param report - Called when a caller reaches a limit.
 */
export function createCallerMemory(limits: CallerLimits, report: ReportLimit): CallerMemory {
    const pacer = createWorkPacer();
    /** In the order of their last request or answer. */
    const connections = new Map<Socket, ConnectionState>();
    let headBytes = 0;
    /** Bodies of very small chunks that are arriving. */
    let fragmentedBodies = 0;
    const account: MemoryAccount = createMemoryAccount({
        boundBytes: limits.heldBytes,
        getNow: readMonotonicMs,
        onEvicted: () => reportLimit(CallerLimit.MemoryEvicted),
        onRefused: () => reportLimit(CallerLimit.MemoryRefused),
    });
    return {
        addConnection,
        removeConnection(socket) {
            const state = connections.get(socket);
            if (state !== undefined) {
                forgetConnection(state);
            }
        },
        openRequest,
        applySizes(bodyBytes, headSize) {
            headBytes = headSize;
            account.setLargestRequest(
                bodyBytes * COPIES_OF_BODY + headSize * (1 + COPIES_OF_HEAD) + CONNECTION_BYTES + REQUEST_BYTES,
            );
        },
        getHeldBytes: () => account.getHeldBytes(),
        countConnections: () => connections.size,
    };

    function reportLimit(limit: CallerLimit): void {
        report(limit, account.getHeldBytes());
    }

    function addConnection(socket: Socket): boolean {
        if (connections.size >= limits.connections) {
            reportLimit(CallerLimit.Connections);
            if (!closeIdle()) {
                return false;
            }
        }
        const hold = account.openHold(() => evictConnection(state));
        const state: ConnectionState = { socket, hold, requests: new Set(), taken: undefined };
        if (!hold.reserve(CONNECTION_BYTES + headBytes)) {
            hold.close();
            return false;
        }
        connections.set(socket, state);
        socket.once("close", () => forgetConnection(state));
        return true;
    }

    function forgetConnection(state: ConnectionState): void {
        state.hold.close();
        if (connections.get(state.socket) === state) {
            connections.delete(state.socket);
        }
    }

    /** Closes the connection without a request that has been idle for the longest time. */
    function closeIdle(): boolean {
        for (const state of connections.values()) {
            if (state.requests.size === 0) {
                closeConnection(state);
                return true;
            }
        }
        return false;
    }

    function closeConnection(state: ConnectionState): void {
        state.socket.destroy();
        forgetConnection(state);
    }

    function evictConnection(state: ConnectionState): boolean {
        const [first] = state.requests;
        if (first?.evictBody !== undefined) {
            first.evictBody();
            return true;
        }
        // A request that waits for an endpoint is no fault of its caller; requests pipelined behind it are.
        if (first !== undefined && state.requests.size === 1 && !isUnread(state, first)) {
            return false;
        }
        closeConnection(state);
        return true;
    }

    function isUnread(state: ConnectionState, { response }: RequestState): boolean {
        const isWaiting = response.writableEnded || response.writableLength > 0;
        const bytes = countTakenBytes(state.socket);
        const now = readMonotonicMs();
        if (!isWaiting || state.taken?.bytes !== bytes) {
            state.taken = isWaiting ? { bytes, at: now } : undefined;
            return false;
        }
        return now - state.taken.at >= MIN_UNREAD_MS;
    }

    function openRequest(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        headSize: number,
    ): RequestMemory | undefined {
        const { socket } = request;
        const connection = connections.get(socket);
        if (connection === undefined) {
            return undefined;
        }
        if (connection.requests.size >= limits.pipelined) {
            reportLimit(CallerLimit.Pipelined);
            closeConnection(connection);
            return undefined;
        }
        let held = 0;
        const state: RequestState = { response, evictBody: undefined };
        const memory = createRequestMemory();
        if (!memory.reserve(REQUEST_BYTES + COPIES_OF_HEAD * headSize)) {
            return undefined;
        }
        connection.requests.add(state);
        recordActivity(connection);
        response.once("close", () => {
            connection.requests.delete(state);
            memory.release(held);
            recordActivity(connection);
        });
        return memory;

        function createRequestMemory(): RequestMemory {
            return {
                limits,
                pacer,
                reserve(bytes) {
                    const isReserved = !response.closed && connection?.hold.reserve(bytes) === true;
                    held += isReserved ? bytes : 0;
                    return isReserved;
                },
                release(bytes) {
                    const released = Math.min(bytes, held);
                    held -= released;
                    connection?.hold.release(released);
                },
                recordProgress: () => connection?.hold.recordProgress(),
                setBodyEviction: evict => (state.evictBody = evict),
                beginFragmentedBody() {
                    const isFree = fragmentedBodies < limits.fragmentedBodies;
                    fragmentedBodies += isFree ? 1 : 0;
                    return isFree;
                },
                endFragmentedBody: () => void fragmentedBodies--,
                refuseRest() {
                    const [first] = connection?.requests ?? [];
                    socket.pause();
                    if (first !== undefined && first !== state) {
                        socket.destroySoon();
                    }
                },
                reportLimit,
            };
        }
    }

    function recordActivity(connection: ConnectionState): void {
        const { socket, hold } = connection;
        if (connections.delete(socket)) {
            connections.set(socket, connection);
        }
        hold.recordProgress();
    }
}

/** Memory of a request that is not counted, as it didn't come through a server for callers. */
export const UNCOUNTED_MEMORY: RequestMemory = {
    limits: resolveCallerLimits(),
    pacer: createWorkPacer(),
    reserve: () => true,
    release: () => undefined,
    recordProgress: () => undefined,
    setBodyEviction: () => undefined,
    beginFragmentedBody: () => true,
    endFragmentedBody: () => undefined,
    refuseRest: () => undefined,
    reportLimit: () => undefined,
};

/** Whole response to a connection for which there is no room. */
export const FULL_REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/** Creates the refusal of a request for which there is no memory; it was sent nowhere. */
export function createMemoryRefusal(): Refusal {
    return {
        status: STATUS_UNAVAILABLE,
        outcome: Outcome.NotRun,
        cause: Cause.RouterFull,
        detail: "this host holds as many bytes for callers as it may",
        retryAfterMs: FULL_RETRY_MS,
    };
}
