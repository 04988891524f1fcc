import type { AnswerHead } from "../../agent/KeptAnswer.js";

/** Receives the answer of an exchange, possibly from several attempts one after the other. */
export abstract class AnswerSink {
    /** Takes the head of an attempt's answer. */
    abstract takeHead(head: AnswerHead): void;

    /**
     * Takes the next bytes of the attempt in progress.
     * @returns False if the caller asks for a pause.
     */
    abstract takeChunk(chunk: Buffer): boolean;

    /** Ends the answer, which is whole. */
    abstract finish(): void;

    /**
     * Tells how many bytes of an attempt are there, so that it can be followed further.
     * @param attempt - Attempt.
     */
    abstract getReceived(attempt: string): number;

    /** Calls back when the caller can take more. */
    abstract onDrain(listener: () => void): void;
}
