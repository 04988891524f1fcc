import type http from "node:http";
import type { Socket } from "node:net";

/**
 * Keeps what a server says to bytes that are no request apart from the requests on the same connection: a refusal must not be
 * taken for the answer to a request that runs, and a request that ends after the refusal must not run.
 */
export interface ConnectionGuard {
    /** Adds a request; returns false if its connection has been refused, so that the request must not be processed. */
    addRequest(request: http.IncomingMessage, response: http.ServerResponse): boolean;
    /**
     * Refuses a connection. The refusal is sent only if no request on it waits for its response and none has got one; after
     * the last response, the connection is closed.
     * @param error - Error of the HTTP parser, or its timeout.
     * @param refusal - Whole response.
     */
    refuseConnection(error: NodeJS.ErrnoException, socket: Socket, refusal: string): void;
}

/** Creates the guard of a server. */
export function createConnectionGuard(): ConnectionGuard {
    const refused = new WeakSet<Socket>();
    const waiting = new WeakMap<Socket, Set<http.IncomingMessage>>();
    return { addRequest, refuseConnection };

    function addRequest(request: http.IncomingMessage, response: http.ServerResponse): boolean {
        const { socket } = request;
        if (refused.has(socket)) {
            request.resume();
            return false;
        }
        const requests = waiting.get(socket) ?? new Set();
        waiting.set(socket, requests.add(request));
        response.once("close", () => {
            requests.delete(request);
            if (refused.has(socket) && !isWaiting(requests)) {
                socket.destroySoon();
            }
        });
        return true;
    }

    function refuseConnection(error: NodeJS.ErrnoException, socket: Socket, refusal: string): void {
        if (error.code === "ECONNRESET" || !socket.writable) {
            socket.destroy();
            return;
        }
        refused.add(socket);
        if (isWaiting(waiting.get(socket))) {
            return;
        }
        if (socket.bytesWritten > 0) {
            socket.destroy();
            return;
        }
        socket.end(refusal);
    }
}

/** A request whose body is incomplete has not been processed, and the bytes that were refused are its own. */
function isWaiting(requests: Set<http.IncomingMessage> | undefined): boolean {
    return [...(requests ?? [])].some(request => request.complete);
}
