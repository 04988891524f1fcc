import type { AnswerHead } from "../../agent/KeptAnswer.js";
import { type Refusal, buildProblem } from "../../protocol/index.js";
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
const MAX_KEPT_BYTES = 4 * 1024 * 1024;

/**
 * Creates a sink for event streams.
 * @param options - Response and observer.
 */
export function createStreamSink(options: SinkOptions): StreamSink {
    const { response } = options;
    const kept: Buffer[] = [];
    let keptBytes = 0;
    let partial: Buffer | undefined;
    let isStarted = false;
    let isCorked = false;
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
            return writeJoined(passed);
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
            const progress = readProgress(Buffer.concat(kept));
            prefix = progress.prefix;
            return progress;
        }

        fail(refusal: Refusal, traceId: string): void {
            const problem = JSON.stringify({ error: buildProblem(refusal, traceId) });
            response.write(`event: error\ndata: ${problem}\n\n`, () => response.destroy());
        }
    })();

    function takeWholeEvents(chunk: Buffer): Buffer | undefined {
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
        keptBytes += events.length;
        if (keptBytes <= MAX_KEPT_BYTES) {
            kept.push(events);
        }
    }

    /** Joins the events that are ready in one turn of the event loop into one write. */
    function writeJoined(events: Buffer): boolean {
        if (!isCorked) {
            isCorked = true;
            response.cork();
            setImmediate(flush);
        }
        return response.write(events);
    }

    function flush(): void {
        isCorked = false;
        response.uncork();
    }
}
