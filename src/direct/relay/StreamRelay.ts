import type http from "node:http";
import { copyEndToEndHeaders } from "../../protocol/index.js";
import { settleFromEvents } from "../../utils/settleFromEvents.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { DirectExchange } from "../DirectExchange.js";
import type { EndpointResponse } from "../EndpointCall.js";
import { type EventSplitter, createEventSplitter } from "../EventSplitter.js";
import { ResponseRelay, RelayResult } from "./ResponseRelay.js";
import { createCallerWriter } from "./CallerWriter.js";
import { createBufferedRelay } from "./BufferedRelay.js";

const STATUS_NO_CONTENT = 204;
const FIRST_NON_SUCCESS_STATUS = 300;

/** Tells whether a response has events; Node.js keeps the head of one without a body back until it ends. */
function isStream(status: number): boolean {
    return status < FIRST_NON_SUCCESS_STATUS && status !== STATUS_NO_CONTENT;
}

/** Observes the events of a stream. */
export interface StreamListener {
    /** Called with the time since events were last forwarded, in milliseconds. */
    onPause: (pauseMs: number) => void;
    /** Called when the first event of an endpoint's response has arrived. */
    onFirstEvent: () => void;
}

/**
 * Creates a relay that forwards events once they are complete. If a stream is truncated, the response to the caller
 * continues with the events of another endpoint that follow the last forwarded one.
 * @param exchange - Exchange that waits for the stream.
 * @param lastEventHeader - Name of the header with the identifier of the last received event.
 * @param listener - Observes the events.
 */
export function createStreamRelay(
    exchange: DirectExchange,
    lastEventHeader: string,
    listener: StreamListener,
): ResponseRelay {
    const { response } = exchange;
    const bufferedRelay = createBufferedRelay(exchange);
    const writer = createCallerWriter(response, exchange.memory);
    let lastEventId: string | undefined;
    let lastForwardedAt: number | undefined;

    return new (class StreamRelay extends ResponseRelay {
        override relayResponse(endpointResponse: EndpointResponse, isFinalAttempt: boolean): Promise<RelayResult> {
            if (!isStream(endpointResponse.status)) {
                if (response.headersSent) {
                    endpointResponse.message.destroy();
                    return Promise.resolve(RelayResult.Failed);
                }
                return bufferedRelay.relayResponse(endpointResponse, isFinalAttempt);
            }
            return relayEvents(endpointResponse);
        }

        override buildResumeHeaders(): Record<string, string> {
            return lastEventId === undefined ? {} : { [lastEventHeader]: lastEventId };
        }

        override sendBufferedFailure(): boolean {
            return !response.headersSent && bufferedRelay.sendBufferedFailure();
        }
    })();

    async function relayEvents(endpointResponse: EndpointResponse): Promise<RelayResult> {
        const { message: upstream } = endpointResponse;
        const resume = (): void => void upstream.resume();
        writer.setOnDrained(resume);
        try {
            return await forwardEvents(endpointResponse);
        } catch (error) {
            upstream.destroy();
            throw error;
        } finally {
            writer.setOnDrained(undefined);
        }
    }

    function forwardEvents(endpointResponse: EndpointResponse): Promise<RelayResult> {
        const { message: upstream, status } = endpointResponse;
        return settleFromEvents(({ resolve, guard }) => {
            const splitter = createEventSplitter();
            let isFinished = false;
            let hasEvents = false;
            upstream.on("data", guard(relayChunk));
            upstream.on(
                "end",
                guard(() => finish(upstream.complete && !endpointResponse.isTruncated() && !splitter.isInsideEvent())),
            );
            upstream.on("close", () => finish(false));
            response.on("close", () => finish(false));
            if (upstream.closed) {
                finish(false);
            }

            function relayChunk(chunk: Buffer): void {
                const events = splitter.addChunk(chunk);
                if (events === undefined) {
                    finish(false);
                    return;
                }
                if (events.bytes.length === 0) {
                    return;
                }
                sendHead(upstream, status);
                lastEventId = events.lastId ?? lastEventId;
                recordEvents(events.count);
                if (!hasEvents && events.count > 0) {
                    hasEvents = true;
                    listener.onFirstEvent();
                }
                if (!writer.write(events.bytes)) {
                    upstream.pause();
                }
            }

            function finish(isComplete: boolean): void {
                if (isFinished) {
                    return;
                }
                isFinished = true;
                if (!isComplete) {
                    upstream.destroy();
                    resolve(RelayResult.Incomplete);
                    return;
                }
                endStream(upstream, status, splitter);
                resolve(RelayResult.Complete);
            }
        });
    }

    function recordEvents(count: number): void {
        const now = readMonotonicMs();
        exchange.eventCount += count;
        if (lastForwardedAt !== undefined) {
            exchange.longestPauseMs = Math.max(exchange.longestPauseMs, now - lastForwardedAt);
            listener.onPause(now - lastForwardedAt);
        }
        lastForwardedAt = now;
        exchange.lastEventAt = now;
    }

    /** Sends the head of the first endpoint's response; it stays the same if another endpoint continues the stream. */
    function sendHead(upstream: http.IncomingMessage, status: number): void {
        if (!response.headersSent && !exchange.isCallerGone) {
            exchange.firstByteAt = readMonotonicMs();
            response.writeHead(status, copyEndToEndHeaders(upstream.headers, ["content-length", "date"]));
        }
    }

    function endStream(upstream: http.IncomingMessage, status: number, splitter: EventSplitter): void {
        sendHead(upstream, status);
        writer.end(splitter.getRemainder());
    }
}
