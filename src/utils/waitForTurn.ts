import type http from "node:http";
import { Socket } from "node:net";
import { watchDisconnect } from "./watchDisconnect.js";

/**
 * Waits until the responses to the earlier requests of a pipelined connection are complete. A request that runs before
 * that loses its answer if an earlier response closes the connection.
 * @param response - Response of a server.
 * @param signal - Ends the wait.
 * @returns False if the wait ended because the caller left or the signal was aborted.
 */
export function waitForTurn(response: http.ServerResponse, signal?: AbortSignal): Promise<boolean> {
    if (response.destroyed || signal?.aborted === true) {
        return Promise.resolve(false);
    }
    // Node.js assigns the socket to one response after the other.
    if (isAssigned(response)) {
        return Promise.resolve(true);
    }
    return new Promise(resolve => {
        response.once("socket", () => resolve(!response.destroyed));
        watchDisconnect(response, () => resolve(false));
        signal?.addEventListener("abort", () => resolve(false), { once: true });
    });
}

function isAssigned(response: http.ServerResponse): boolean {
    return response.socket instanceof Socket;
}
