import type http from "node:http";
import type { Socket } from "node:net";

/** Has no meaning between HTTP messages. */
const EMPTY_LINE = "\r\n";

/**
 * Tells whether the head defines the length of the body; otherwise the body ends when the connection closes.
 * @param response - Response whose head has arrived.
 */
export function isFramed(response: http.IncomingMessage): boolean {
    return response.headers["content-length"] !== undefined || response.headers["transfer-encoding"] !== undefined;
}

/**
 * Calls a listener if the connection of a response without a length was reset. Node.js reports a reset that arrives together
 * with data as a normal end, but a reset connection has no remote address, and writing to it fails.
 * @param response - Response whose head has arrived.
 * @param onReset - Listener.
 */
export function watchReset(response: http.IncomingMessage, onReset: () => void): void {
    const { socket } = response;
    if (!isFramed(response)) {
        socket.prependListener("end", () => checkReset(socket, onReset));
    }
}

function checkReset(socket: Socket, onReset: () => void): void {
    if (socket.remoteAddress === undefined) {
        onReset();
        return;
    }
    socket.write(EMPTY_LINE, error => {
        if (error) {
            onReset();
        }
    });
}
