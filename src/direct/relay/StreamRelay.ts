import type http from "node:http";
import { copyEndToEndHeaders } from "../../protocol/index.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { DirectExchange } from "../DirectExchange.js";
import type { OpenedAnswer } from "../EndpointCall.js";
import { type EventSplitter, createEventSplitter } from "../EventSplitter.js";
import { AnswerRelay, RelayEnd } from "./AnswerRelay.js";
import { createWholeRelay } from "./WholeRelay.js";

const FIRST_OTHER_STATUS = 300;

/**
 * Creates a relay that passes events on as they become whole. After a cut it goes on in the same answer,
 * with the events of another endpoint that follow the last one passed on.
 * @param exchange - Exchange that waits for the stream.
 * @param lastEventHeader - Name of the header that names the last event received.
 * @param onPause - Receives each time between two passes of events, in milliseconds.
 */
export function createStreamRelay(
    exchange: DirectExchange,
    lastEventHeader: string,
    onPause: (pauseMs: number) => void,
): AnswerRelay {
    const { response } = exchange;
    const whole = createWholeRelay(exchange);
    let lastEvent: string | undefined;
    let lastEventAt: number | undefined;

    return new (class StreamRelay extends AnswerRelay {
        override relayAnswer(answer: OpenedAnswer, isLast: boolean): Promise<RelayEnd> {
            if (answer.status >= FIRST_OTHER_STATUS) {
                if (response.headersSent) {
                    answer.response.destroy();
                    return Promise.resolve(RelayEnd.Failed);
                }
                return whole.relayAnswer(answer, isLast);
            }
            return relayEvents(answer);
        }

        override buildAttemptHeaders(): Record<string, string> {
            return lastEvent === undefined ? {} : { [lastEventHeader]: lastEvent };
        }

        override sendKeptFailure(): boolean {
            return !response.headersSent && whole.sendKeptFailure();
        }
    })();

    function relayEvents(opened: OpenedAnswer): Promise<RelayEnd> {
        const { response: answer, status } = opened;
        return new Promise(resolve => {
            const splitter = createEventSplitter();
            const resume = (): void => void answer.resume();
            let isDone = false;
            answer.on("data", (chunk: Buffer) => relayChunk(chunk));
            answer.on("end", () => finish(answer.complete && !opened.isCut()));
            answer.on("close", () => finish(false));
            response.on("close", () => finish(false));
            response.on("drain", resume);

            function relayChunk(chunk: Buffer): void {
                const events = splitter.takeChunk(chunk);
                if (events === undefined) {
                    finish(false);
                    return;
                }
                if (events.bytes.length === 0) {
                    return;
                }
                sendHead(answer, status);
                lastEvent = events.lastId ?? lastEvent;
                recordEvents(events.count);
                if (!response.write(events.bytes)) {
                    answer.pause();
                }
            }

            function finish(isWhole: boolean): void {
                if (isDone) {
                    return;
                }
                isDone = true;
                response.removeListener("drain", resume);
                if (!isWhole) {
                    answer.destroy();
                    resolve(RelayEnd.Broken);
                    return;
                }
                endStream(answer, status, splitter);
                resolve(RelayEnd.Whole);
            }
        });
    }

    function recordEvents(count: number): void {
        const now = readMonotonicMs();
        exchange.eventCount += count;
        if (lastEventAt !== undefined) {
            exchange.longestPauseMs = Math.max(exchange.longestPauseMs, now - lastEventAt);
            onPause(now - lastEventAt);
        }
        lastEventAt = now;
    }

    /** The head of the first endpoint holds for the whole answer, also when another one goes on. */
    function sendHead(answer: http.IncomingMessage, status: number): void {
        if (!response.headersSent && !exchange.isCallerGone) {
            exchange.firstByteAt = readMonotonicMs();
            response.writeHead(status, copyEndToEndHeaders(answer.headers, ["content-length", "date"]));
        }
    }

    function endStream(answer: http.IncomingMessage, status: number, splitter: EventSplitter): void {
        sendHead(answer, status);
        response.end(splitter.getRest());
    }
}
