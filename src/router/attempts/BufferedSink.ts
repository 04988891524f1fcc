import type http from "node:http";
import type { AnswerHead } from "../../agent/KeptAnswer.js";
import { AnswerSink } from "./AnswerSink.js";

/** Options of a sink. */
export interface SinkOptions {
    response: http.ServerResponse;
    onFirstByte: () => void;
}

/** Sink that buffers an answer until it is complete. */
export interface BufferedSink extends AnswerSink {
    /** Discards the buffered data before another attempt. */
    reset(): void;
}

/**
 * Creates a sink for answers that are not streams: the caller receives the complete answer or none of it.
 * @param options - Response and first-byte listener.
 */
export function createBufferedSink(options: SinkOptions): BufferedSink {
    let head: AnswerHead | undefined;
    let chunks: Buffer[] = [];
    let receivedBytes = 0;

    return new (class BufferedAnswerSink extends AnswerSink implements BufferedSink {
        override writeHead(next: AnswerHead): void {
            head = next;
        }

        override writeChunk(chunk: Buffer): boolean {
            chunks.push(chunk);
            receivedBytes += chunk.length;
            return true;
        }

        override finish(): void {
            const body = Buffer.concat(chunks);
            options.onFirstByte();
            const headers = { ...head?.headers, "content-length": String(body.length) };
            options.response.writeHead(head?.status ?? 0, headers);
            options.response.end(body);
        }

        override getReceivedBytes(): number {
            return receivedBytes;
        }

        override onDrain(): void {
            return;
        }

        reset(): void {
            head = undefined;
            chunks = [];
            receivedBytes = 0;
        }
    })();
}
