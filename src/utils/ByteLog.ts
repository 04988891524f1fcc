/** Bytes that grow at the end, in one block of memory. */
export interface ByteLog {
    append(chunk: Buffer): void;
    /** Copies the bytes from an offset on. */
    readFrom(offset: number): Buffer;
    getLength(): number;
}

const FIRST_BYTES = 4_096;

/** Creates an empty log. Many small buffers would keep the garbage collector busy. */
export function createByteLog(): ByteLog {
    let block = Buffer.alloc(0);
    let length = 0;
    return {
        append(chunk) {
            const needed = length + chunk.length;
            if (needed > block.length) {
                const grown = Buffer.allocUnsafeSlow(Math.max(FIRST_BYTES, block.length * 2, needed));
                block.copy(grown, 0, 0, length);
                block = grown;
            }
            chunk.copy(block, length);
            length = needed;
        },
        readFrom: offset => Buffer.from(block.subarray(Math.min(offset, length), length)),
        getLength: () => length,
    };
}
