import { write } from "node:fs";

/** Writes lines to a file descriptor without ever waiting for its reader. */
export interface BoundedWriter {
    /** Takes a line; drops it if too much is waiting. */
    writeLine(line: string): void;
    /** Waits until what is waiting is written, or a time is over. */
    flush(): Promise<void>;
}

/** Options of a writer. */
export interface BoundedWriterOptions {
    descriptor: number;
    /** Most bytes that wait for the reader. */
    maxBytes: number;
    /** Builds a line that tells how many lines were dropped. */
    describeDropped: (lines: number) => string;
}

const FLUSH_MS = 200;
const RETRY_MS = 20;

/**
 * Creates a writer. At most one write is in progress; lines that come meanwhile go out together.
 * @param options - Descriptor and bound.
 */
export function createBoundedWriter(options: BoundedWriterOptions): BoundedWriter {
    let waiting: string[] = [];
    let waitingBytes = 0;
    let dropped = 0;
    let isWriting = false;
    let finishFlush: (() => void) | undefined;
    return { writeLine, flush };

    function writeLine(line: string): void {
        if (waitingBytes + line.length > options.maxBytes) {
            dropped++;
            return;
        }
        waiting.push(line);
        waitingBytes += line.length + 1;
        if (!isWriting) {
            isWriting = true;
            setImmediate(writeWaiting);
        }
    }

    function writeWaiting(): void {
        if (dropped > 0) {
            waiting.push(options.describeDropped(dropped));
            dropped = 0;
        }
        const bytes = Buffer.from(`${waiting.join("\n")}\n`);
        const lines = waiting.length;
        waiting = [];
        waitingBytes = 0;
        writeBytes(bytes, lines);
    }

    function writeBytes(bytes: Buffer, lines: number): void {
        write(options.descriptor, bytes, (error, written) => {
            if (error?.code === "EAGAIN") {
                setTimeout(() => writeBytes(bytes, lines), RETRY_MS);
                return;
            }
            if (!error && written < bytes.length) {
                writeBytes(bytes.subarray(written), lines);
                return;
            }
            if (error) {
                // Nothing else can take the report: the lines count as dropped, and the next line that gets out says so.
                dropped += lines;
            }
            if (waiting.length > 0) {
                writeWaiting();
            } else {
                isWriting = false;
                finishFlush?.();
            }
        });
    }

    function flush(): Promise<void> {
        return new Promise(resolve => {
            if (!isWriting) {
                resolve();
                return;
            }
            finishFlush = resolve;
            setTimeout(resolve, FLUSH_MS);
        });
    }
}
