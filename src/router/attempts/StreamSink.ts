import type { AnswerHead } from "../../agent/KeptAnswer.js";
import { type Refusal, buildProblem } from "../../protocol/index.js";
import { createByteLog } from "../../utils/ByteLog.js";
import { AnswerSink } from "./AnswerSink.js";
import { type StreamProgress, readProgress, replaceIdentifiers } from "./resumption.js";
import type { SinkOptions } from "./WholeSink.js";

/** A sink that passes events on as they come, whole events only. */
export interface StreamSink extends AnswerSink {
    isStarted(): boolean;
    /** Starts another attempt: drops the event that came in part, and tells what the caller has. */
    startResumption(): StreamProgress;
    /** Ends the stream with a visible error and without its end marker. */
    fail(refusal: Refusal, traceId: string): void;
}

const EVENT_END = Buffer.from("\n\n");
const LINE_FEED = 10;
const MAX_KEPT_BYTES = 4 * 1024 * 1024;

/**
 * Creates a sink for event streams.
 * @param options - Response and observer.
 */
export function createStreamSink(options: SinkOptions): StreamSink {
    const { response } = options;
    const kept = createByteLog();
    let partial: Buffer | undefined;
    let isStarted = false;
    let received = 0;
    let prefix = "";

    return new (class EventStreamSink extends AnswerSink implements StreamSink {
        override takeHead(head: AnswerHead): void {
            if (!isStarted) {
                isStarted = true;
                options.onFirstByte();
                response.writeHead(head.status, head.headers);
            }
        }

        override takeChunk(chunk: Buffer): boolean {
            received += chunk.length;
            const events = takeWholeEvents(chunk);
            if (events === undefined) {
                return true;
            }
            const passed = prefix === "" ? events : replaceIdentifiers(events, prefix);
            keepEvents(passed);
            return response.write(passed);
        }

        override finish(): void {
            response.end();
        }

        override getReceived(): number {
            return received;
        }

        override onDrain(listener: () => void): void {
            response.removeAllListeners("drain");
            response.on("drain", listener);
        }

        isStarted(): boolean {
            return isStarted;
        }

        startResumption(): StreamProgress {
            partial = undefined;
            received = 0;
            const progress = readProgress(kept.readFrom(0));
            prefix = progress.prefix;
            return progress;
        }

        fail(refusal: Refusal, traceId: string): void {
            const problem = JSON.stringify({ error: buildProblem(refusal, traceId) });
            response.write(`event: error\ndata: ${problem}\n\n`, () => response.destroy());
        }
    })();

    function takeWholeEvents(chunk: Buffer): Buffer | undefined {
        if (partial === undefined && isEventEnd(chunk)) {
            return chunk;
        }
        const bytes = partial === undefined ? chunk : Buffer.concat([partial, chunk]);
        const last = bytes.lastIndexOf(EVENT_END);
        if (last === -1) {
            partial = bytes;
            return undefined;
        }
        const end = last + EVENT_END.length;
        partial = end < bytes.length ? bytes.subarray(end) : undefined;
        return end === bytes.length ? bytes : bytes.subarray(0, end);
    }

    function keepEvents(events: Buffer): void {
        if (kept.getLength() + events.length <= MAX_KEPT_BYTES) {
            kept.append(events);
        }
    }
}

function isEventEnd(chunk: Buffer): boolean {
    return chunk.length > 1 && chunk[chunk.length - 1] === LINE_FEED && chunk[chunk.length - 2] === LINE_FEED;
}
