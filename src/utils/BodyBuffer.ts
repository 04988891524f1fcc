import { ErrorCode, createError } from "../errors/index.js";

/** Collects the bytes of a body. */
export interface BodyBuffer {
    /** Copies bytes; returns false if there is no memory for them. */
    addBytes(chunk: Buffer): boolean;
    getSize(): number;
    /**
     * Gets all bytes in one buffer, whose memory the taker releases; undefined if there is no memory for it. The collector
     * is empty afterwards.
     */
    takeWhole(): Buffer | undefined;
    /** Drops all bytes. */
    clear(): void;
}

/** Account that the memory is taken from. */
export interface BufferMemory {
    /** Returns false if there is no memory left. */
    reserve(bytes: number): boolean;
    release(bytes: number): void;
}

/** First block of memory, in bytes: most bodies fit. */
const FIRST_BLOCK_BYTES = 4_096;
/** Largest block, in bytes: the memory that a body takes beyond its size is at most this. */
const MAX_BLOCK_BYTES = 65_536;

/**
 * Creates an empty collector. It copies into blocks: a small chunk would keep the whole buffer alive that it was read into,
 * and a single buffer that doubles takes up to three times the size of the body while it grows.
 * @param memory - Account for the blocks, and for the whole body once it is taken.
 * @param expectedBytes - Size of the first block; a trusted sender's announced length saves the copy into one buffer.
 */
export function createBodyBuffer(memory: BufferMemory, expectedBytes = FIRST_BLOCK_BYTES): BodyBuffer {
    let blocks: Buffer[] = [];
    let reserved = 0;
    let size = 0;
    let used = 0;
    return { addBytes, getSize: () => size, takeWhole, clear };

    function addBytes(chunk: Buffer): boolean {
        let copied = 0;
        while (copied < chunk.length) {
            const last = blocks.at(-1);
            if (last === undefined || used === last.length) {
                if (!addBlock(chunk.length - copied)) {
                    return false;
                }
                continue;
            }
            const count = chunk.copy(last, used, copied);
            used += count;
            copied += count;
            size += count;
        }
        return true;
    }

    function addBlock(neededBytes: number): boolean {
        const bytes =
            blocks.length === 0
                ? Math.max(expectedBytes, Math.min(MAX_BLOCK_BYTES, neededBytes))
                : Math.min(MAX_BLOCK_BYTES, Math.max(size, neededBytes));
        if (!memory.reserve(bytes)) {
            return false;
        }
        reserved += bytes;
        blocks.push(Buffer.allocUnsafeSlow(bytes));
        used = 0;
        return true;
    }

    function takeWhole(): Buffer | undefined {
        const [first] = blocks;
        if (first === undefined) {
            return Buffer.alloc(0);
        }
        if (blocks.length === 1) {
            blocks = [];
            reserved = 0;
            return first.subarray(0, size);
        }
        if (!memory.reserve(size)) {
            return undefined;
        }
        const whole = Buffer.concat(blocks, size);
        clear();
        return whole;
    }

    function clear(): void {
        blocks = [];
        memory.release(reserved);
        reserved = 0;
    }
}

/** Creates the error of a body for which there is no memory. */
export function createFullError(): Error {
    return createError({ code: ErrorCode.OutOfMemory, expected: "room for a body", got: "a full account" });
}
