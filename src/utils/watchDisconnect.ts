import type http from "node:http";
import type { Socket } from "node:net";

interface Watch {
    response: http.ServerResponse;
    onDisconnect: () => void;
}

const watchesBySocket = new WeakMap<Socket, Set<Watch>>();

/**
 * Calls a listener once if the caller leaves before its response is complete. The event `close` of a response doesn't tell
 * this: a response that waits for its turn on a pipelined connection has no socket yet, and one with pending writes stays
 * open after the caller has closed its side.
 * @param response - Response of a server; it is destroyed when the caller leaves.
 * @param onDisconnect - Listener, also called if the caller has left already.
 */
export function watchDisconnect(response: http.ServerResponse, onDisconnect: () => void): void {
    const { socket } = response.req;
    const watches = watchesBySocket.get(socket) ?? createWatches(socket);
    const watch = { response, onDisconnect };
    watches.add(watch);
    response.once("close", () => {
        if (!response.writableFinished) {
            endWatch(watches, watch);
        }
        watches.delete(watch);
    });
    if (socket.destroyed || (socket.readableEnded && !response.writableEnded)) {
        endWatch(watches, watch);
    }
}

function createWatches(socket: Socket): Set<Watch> {
    const watches = new Set<Watch>();
    watchesBySocket.set(socket, watches);
    socket.once("end", () => {
        // Complete responses may still be delivered: the caller may have closed only its own side.
        [...watches].filter(({ response }) => !response.writableEnded).forEach(watch => endWatch(watches, watch));
    });
    socket.once("close", () => {
        [...watches].filter(({ response }) => !response.writableFinished).forEach(watch => endWatch(watches, watch));
    });
    return watches;
}

function endWatch(watches: Set<Watch>, watch: Watch): void {
    if (watches.delete(watch)) {
        watch.response.destroy();
        watch.onDisconnect();
    }
}
