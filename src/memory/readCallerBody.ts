import type http from "node:http";
import { ErrorCode, createError } from "../errors/index.js";
import { createBodyBuffer, createFullError } from "../utils/BodyBuffer.js";
import { settleFromEvents } from "../utils/settleFromEvents.js";
import { CallerLimit } from "./CallerLimits.js";
import type { RequestMemory } from "./CallerMemory.js";

/** Bounds of a body. */
export interface CallerBodyBounds {
    maxBytes: number;
    /** Time allowed for the whole body, in milliseconds. */
    maxMs: number;
}

/** Mean size of chunks below which a body is not paused, in bytes. */
const MIN_PAUSED_CHUNK_BYTES = 32;

/**
 * Reads the body of a caller's request. Nothing is read on after a failure, so the connection must be closed.
 * @param request - Request; an end without completion is an error.
 * @param memory - What the request may hold.
 * @param bounds - Size and time.
 */
export function readCallerBody(
    request: http.IncomingMessage,
    memory: RequestMemory,
    bounds: CallerBodyBounds,
): Promise<Buffer> {
    const { limits, pacer } = memory;
    const body = createBodyBuffer(memory);
    let chunks = 0;
    return settleFromEvents<Buffer>(({ resolve, reject, guard }) => {
        let isSettled = false;
        let isFragmented = false;
        const timer = setTimeout(() => {
            memory.reportLimit(CallerLimit.BodyTime);
            fail(createTimeout(bounds.maxMs));
        }, bounds.maxMs);
        const onData = guard(addChunk);
        request.on("data", onData);
        request.on("end", guard(complete));
        request.on("error", fail);
        request.on("close", failUnlessEnded);
        memory.setBodyEviction(() => fail(createFullError()));
        if (request.closed) {
            failUnlessEnded();
        }

        function addChunk(chunk: Buffer): void {
            chunks++;
            const size = body.getSize() + chunk.length;
            if (size > bounds.maxBytes) {
                fail(createTooLarge(`at most ${bounds.maxBytes} bytes`));
            } else if (!canTakeChunks(size)) {
                memory.reportLimit(CallerLimit.Chunks);
                fail(createFullError());
            } else if (!body.addBytes(chunk)) {
                fail(createFullError());
            } else {
                memory.recordProgress();
                // Paused requests keep their chunks as objects, so tiny ones, whose number is limited, are taken at once.
                const isTiny = size < chunks * MIN_PAUSED_CHUNK_BYTES;
                if (!pacer.takeWork(chunk.length) && !isTiny) {
                    request.pause();
                    pacer.waitForTurn(() => {
                        if (!isSettled) {
                            request.resume();
                        }
                    });
                }
            }
        }

        /** Counts the body as fragmented once it has very many chunks for its size; returns false if there is no room for it. */
        function canTakeChunks(size: number): boolean {
            const isAllowed =
                chunks <= limits.freeChunks || (chunks - limits.freeChunks) * limits.bytesPerChunk <= size;
            isFragmented ||= !isAllowed && memory.beginFragmentedBody();
            return isAllowed || isFragmented;
        }

        function complete(): void {
            if (isSettled) {
                return;
            }
            const whole = body.takeWhole();
            if (whole === undefined) {
                fail(createFullError());
                return;
            }
            settle();
            resolve(whole);
        }

        function fail(error: Error): void {
            if (!isSettled) {
                settle();
                request.pause();
                // The parser goes on with the bytes of its last read, and each tiny chunk would be kept as an object.
                Object.assign(request, { push: () => true });
                memory.refuseRest();
                body.clear();
                reject(error);
            }
        }

        function settle(): void {
            isSettled = true;
            clearTimeout(timer);
            if (isFragmented) {
                memory.endFragmentedBody();
            }
            memory.setBodyEviction(undefined);
            request.removeListener("data", onData);
        }

        function failUnlessEnded(): void {
            if (!request.readableEnded) {
                fail(
                    createError({ code: ErrorCode.Unreachable, expected: "a whole body", got: "a closed connection" }),
                );
            }
        }
    });
}

function createTooLarge(expected: string): Error {
    return createError({ code: ErrorCode.TooLarge, expected, got: "more" });
}

function createTimeout(maxMs: number): Error {
    return createError({ code: ErrorCode.Timeout, expected: `a whole body within ${maxMs} ms`, got: "a part" });
}
