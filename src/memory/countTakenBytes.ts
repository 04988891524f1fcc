import type { Socket } from "node:net";

/** Handle of a socket; Node.js has no public property that tells how far a write has got. */
type SocketHandle = { writeQueueSize?: number } | null | undefined;

/**
 * Counts the bytes that were written to a socket and that the operating system has taken. Node.js's own socket timeouts
 * compare the same value.
 * @param socket - Socket.
 */
export function countTakenBytes(socket: Socket): number {
    const handle = (socket as unknown as Record<string, SocketHandle>)["_handle"];
    return socket.bytesWritten - (handle?.writeQueueSize ?? 0);
}
