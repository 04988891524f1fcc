import type http from "node:http";
import type { AnswerHead } from "../../agent/KeptAnswer.js";
import { AnswerSink } from "./AnswerSink.js";

/** Options of a sink. */
export interface SinkOptions {
    response: http.ServerResponse;
    onFirstByte: () => void;
}

/** A sink that holds an answer back until it is whole. */
export interface WholeSink extends AnswerSink {
    /** Forgets what came, before another attempt. */
    reset(): void;
}

/**
 * Creates a sink for answers that are no streams: the caller gets all or nothing.
 * @param options - Response and observer.
 */
export function createWholeSink(options: SinkOptions): WholeSink {
    let head: AnswerHead | undefined;
    let chunks: Buffer[] = [];
    let received = 0;

    return new (class BufferedSink extends AnswerSink implements WholeSink {
        override takeHead(next: AnswerHead): void {
            head = next;
        }

        override takeChunk(chunk: Buffer): boolean {
            chunks.push(chunk);
            received += chunk.length;
            return true;
        }

        override finish(): void {
            const body = Buffer.concat(chunks);
            options.onFirstByte();
            const headers = { ...head?.headers, "content-length": String(body.length) };
            options.response.writeHead(head?.status ?? 0, headers);
            options.response.end(body);
        }

        override getReceived(): number {
            return received;
        }

        override onDrain(): void {
            return;
        }

        reset(): void {
            head = undefined;
            chunks = [];
            received = 0;
        }
    })();
}
