import type http from "node:http";
import type { RequestMemory } from "../../memory/index.js";

/** Writes a stream to its caller, and keeps what the caller has not read within a bound. */
export interface CallerWriter {
    /** Writes bytes; returns false if the sender must pause until `onDrained` is called. */
    write(bytes: Buffer): boolean;
    /** Writes the last bytes and ends the response; nothing can be written afterwards. */
    end(bytes: Buffer): void;
    /** Sets what is called when the sender may go on; undefined if nobody waits. */
    setOnDrained(onDrained: (() => void) | undefined): void;
}

/**
 * Creates the writer of a response. Bytes beyond what Node.js takes at once wait in a queue that the caller's account
 * counts, so that an endpoint can be read on while its caller is slow: an endpoint cuts a response that stays unread for
 * some seconds. The queue is passed on in parts, as Node.js tells only the end of a whole write.
 * @param response - Response to the caller.
 * @param memory - Account of the caller.
 */
export function createCallerWriter(response: http.ServerResponse, memory: RequestMemory): CallerWriter {
    let queue: Buffer[] = [];
    let queuedBytes = 0;
    let reservedBytes = 0;
    let onDrained: (() => void) | undefined;
    response.on("drain", passOn);
    response.once("close", clear);
    return {
        write,
        end(bytes) {
            queue.forEach(part => response.write(part));
            queue = [];
            response.end(bytes);
        },
        setOnDrained: next => (onDrained = next),
    };

    function write(bytes: Buffer): boolean {
        if (queue.length === 0 && !response.writableNeedDrain) {
            return response.write(bytes) || memory.limits.streamBytes > bytes.length;
        }
        queue.push(bytes);
        queuedBytes += bytes.length;
        // Bytes that were read must be kept, with room for them or without it; the sender pauses at once then.
        const isReserved = memory.reserve(bytes.length);
        reservedBytes += isReserved ? bytes.length : 0;
        return isReserved && queuedBytes < memory.limits.streamBytes;
    }

    function passOn(): void {
        memory.recordProgress();
        while (!response.writableNeedDrain) {
            const part = queue.shift();
            if (part === undefined) {
                break;
            }
            queuedBytes -= part.length;
            const released = Math.min(part.length, reservedBytes);
            reservedBytes -= released;
            memory.release(released);
            response.write(part);
        }
        if (queuedBytes <= memory.limits.streamBytes / 2) {
            onDrained?.();
        }
    }

    function clear(): void {
        queue = [];
        response.removeListener("drain", passOn);
    }
}
