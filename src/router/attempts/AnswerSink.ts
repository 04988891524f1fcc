import type { AnswerHead } from "../../agent/KeptAnswer.js";

/** Receives the answer to a request, which may be produced by several consecutive attempts. */
export abstract class AnswerSink {
    /** Writes the status and headers of an attempt's answer. */
    abstract writeHead(head: AnswerHead): void;

    /**
     * Writes the next bytes of the current attempt's answer.
     * @returns False if the caller applies backpressure.
     */
    abstract writeChunk(chunk: Buffer): boolean;

    /** Ends the answer after all of it was written. */
    abstract finish(): void;

    /**
     * Returns the number of bytes received from an attempt, which is the offset to continue from.
     * @param attempt - Id of the attempt.
     */
    abstract getReceivedBytes(attempt: string): number;

    /** Registers a listener that is called when the caller can accept more data. */
    abstract onDrain(listener: () => void): void;
}
