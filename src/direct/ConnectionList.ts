import type { Socket } from "node:net";
import { readMonotonicMs } from "../utils/time.js";

/** Open connections of callers, with the number of requests in progress on each. */
export interface ConnectionList {
    addConnection(socket: Socket): void;
    /** Counts a request as in progress; returns how many were in progress on its connection before. */
    beginRequest(socket: Socket): number;
    endRequest(socket: Socket): void;
    /** Gets the monotonic time at which the caller closed its side of the connection, in milliseconds. */
    getLeftAt(socket: Socket): number | undefined;
    /** Closes the connections without a request in progress, including those that never had one. */
    closeIdle(): void;
}

/** Creates an empty list. */
export function createConnectionList(): ConnectionList {
    const requests = new Map<Socket, number>();
    const leftAt = new WeakMap<Socket, number>();
    return {
        addConnection(socket) {
            requests.set(socket, 0);
            socket.once("end", () => recordLeft(socket));
            socket.once("close", () => {
                recordLeft(socket);
                requests.delete(socket);
            });
        },
        beginRequest(socket) {
            const ahead = requests.get(socket) ?? 0;
            changeCount(socket, 1);
            return ahead;
        },
        endRequest: socket => changeCount(socket, -1),
        getLeftAt: socket => leftAt.get(socket),
        closeIdle() {
            for (const [socket, count] of requests) {
                if (count === 0) {
                    // Stops reading, so a request that arrives while the connection closes is not processed.
                    socket.destroySoon();
                }
            }
        },
    };

    function recordLeft(socket: Socket): void {
        if (!leftAt.has(socket)) {
            leftAt.set(socket, readMonotonicMs());
        }
    }

    function changeCount(socket: Socket, change: number): void {
        const count = requests.get(socket);
        if (count !== undefined) {
            requests.set(socket, count + change);
        }
    }
}
