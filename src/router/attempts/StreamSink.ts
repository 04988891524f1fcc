import type { AnswerHead } from "../../agent/KeptAnswer.js";
import { type Refusal, buildProblem } from "../../protocol/index.js";
import { createByteLog } from "../../utils/ByteLog.js";
import { AnswerSink } from "./AnswerSink.js";
import { type StreamProgress, readProgress, replaceIdentifiers } from "./resumption.js";
import type { SinkOptions } from "./BufferedSink.js";

/** Sink that forwards server-sent events as they arrive, in complete events only. */
export interface StreamSink extends AnswerSink {
    isStarted(): boolean;
    /** Prepares for another attempt: discards the partial event and returns what the caller has received so far. */
    startResumption(): StreamProgress;
    /** Ends the stream with an error event and without its end marker. */
    fail(refusal: Refusal, traceId: string): void;
}

/** Options of a sink for a stream. */
export interface StreamSinkOptions extends SinkOptions {
    /** Called when the first event of an attempt's answer has arrived. */
    onFirstEvent: () => void;
}

const EVENT_END = Buffer.from("\n\n");
const LINE_FEED = 10;
const MAX_RECORDED_BYTES = 4 * 1024 * 1024;

/**
 * Creates a sink for event streams.
 * @param options - Response and listeners.
 */
export function createStreamSink(options: StreamSinkOptions): StreamSink {
    const { response } = options;
    const forwardedEvents = createByteLog();
    let partialEvent: Buffer | undefined;
    let isStarted = false;
    let hasEvents = false;
    let receivedBytes = 0;
    let idPrefix = "";

    return new (class EventStreamSink extends AnswerSink implements StreamSink {
        override writeHead(head: AnswerHead): void {
            if (!isStarted) {
                isStarted = true;
                options.onFirstByte();
                response.writeHead(head.status, head.headers);
            }
        }

        override writeChunk(chunk: Buffer): boolean {
            receivedBytes += chunk.length;
            const events = takeCompleteEvents(chunk);
            if (events === undefined) {
                return true;
            }
            if (!hasEvents) {
                hasEvents = true;
                options.onFirstEvent();
            }
            const rewrittenEvents = idPrefix === "" ? events : replaceIdentifiers(events, idPrefix);
            recordEvents(rewrittenEvents);
            return response.write(rewrittenEvents);
        }

        override finish(): void {
            response.end();
        }

        override getReceivedBytes(): number {
            return receivedBytes;
        }

        override onDrain(listener: () => void): void {
            response.removeAllListeners("drain");
            response.on("drain", listener);
        }

        isStarted(): boolean {
            return isStarted;
        }

        startResumption(): StreamProgress {
            partialEvent = undefined;
            receivedBytes = 0;
            hasEvents = false;
            const progress = readProgress(forwardedEvents.readFrom(0));
            idPrefix = progress.idPrefix;
            return progress;
        }

        fail(refusal: Refusal, traceId: string): void {
            const problem = JSON.stringify({ error: buildProblem(refusal, traceId) });
            response.write(`event: error\ndata: ${problem}\n\n`, () => response.destroy());
        }
    })();

    function takeCompleteEvents(chunk: Buffer): Buffer | undefined {
        if (partialEvent === undefined && isEndOfEvent(chunk)) {
            return chunk;
        }
        const bytes = partialEvent === undefined ? chunk : Buffer.concat([partialEvent, chunk]);
        const last = bytes.lastIndexOf(EVENT_END);
        if (last === -1) {
            partialEvent = bytes;
            return undefined;
        }
        const end = last + EVENT_END.length;
        partialEvent = end < bytes.length ? bytes.subarray(end) : undefined;
        return end === bytes.length ? bytes : bytes.subarray(0, end);
    }

    function recordEvents(events: Buffer): void {
        if (forwardedEvents.getLength() + events.length <= MAX_RECORDED_BYTES) {
            forwardedEvents.append(events);
        }
    }
}

function isEndOfEvent(chunk: Buffer): boolean {
    return chunk.length > 1 && chunk[chunk.length - 1] === LINE_FEED && chunk[chunk.length - 2] === LINE_FEED;
}
