import type { Socket } from "node:net";

/** Open connections of callers, with the number of requests in progress on each. */
export interface ConnectionList {
    addConnection(socket: Socket): void;
    beginRequest(socket: Socket): void;
    endRequest(socket: Socket): void;
    /** Closes the connections without a request in progress, including those that never had one. */
    closeIdle(): void;
}

/** Creates an empty list. */
export function createConnectionList(): ConnectionList {
    const requests = new Map<Socket, number>();
    return {
        addConnection(socket) {
            requests.set(socket, 0);
            socket.once("close", () => requests.delete(socket));
        },
        beginRequest: socket => changeCount(socket, 1),
        endRequest: socket => changeCount(socket, -1),
        closeIdle() {
            for (const [socket, count] of requests) {
                if (count === 0) {
                    // Stops reading, so a request that arrives while the connection closes is not processed.
                    socket.destroySoon();
                }
            }
        },
    };

    function changeCount(socket: Socket, change: number): void {
        const count = requests.get(socket);
        if (count !== undefined) {
            requests.set(socket, count + change);
        }
    }
}
