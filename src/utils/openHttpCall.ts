import http from "node:http";
import type { Duplex } from "node:stream";
import { ErrorCode, createError } from "../errors/index.js";

/** Options of a call. */
export interface OpenHttpCallOptions<T> {
    target: http.RequestOptions;
    body?: string | Buffer;
    /** Ends the call. A response that has arrived completely can still be read. */
    signal?: AbortSignal;
    /** Time allowed for the result, in milliseconds. */
    timeoutMs?: number;
    /** Gets the result from the response, synchronously with the arrival of its head. */
    readResponse: (response: http.IncomingMessage) => T | Promise<T>;
}

/** A call in progress. */
export interface OpenHttpCall<T> {
    readonly request: http.ClientRequest;
    /** Rejected if there is no final response, if reading it fails, or if the call was aborted or timed out. */
    readonly result: Promise<T>;
}

/**
 * Opens an HTTP call whose result always settles. Node.js emits neither `response` nor `error` for an upgrade that was not
 * requested, and nothing at all for a request that is destroyed after it has ended.
 * @param options - Request, bounds, and reader of the response.
 */
export function openHttpCall<T>(options: OpenHttpCallOptions<T>): OpenHttpCall<T> {
    const { target, signal, timeoutMs } = options;
    const request = http.request(target);
    const result = new Promise<T>((resolve, reject) => {
        let response: http.IncomingMessage | undefined;
        const timer = timeoutMs === undefined ? undefined : setTimeout(() => fail(createTimeoutError()), timeoutMs);
        signal?.addEventListener("abort", abort, { once: true });
        request.on("response", message => {
            response = message;
            readMessage(message);
        });
        request.on("upgrade", (message: http.IncomingMessage, socket: Duplex) => {
            socket.destroy();
            settle(() => reject(createUpgradeError(message)));
            removeAbortListener();
        });
        request.on("error", error => settle(() => reject(error)));
        request.on("close", () => {
            removeAbortListener();
            if (response === undefined) {
                settle(() => reject(createClosedError()));
            }
        });
        if (signal?.aborted === true) {
            abort();
        }

        function readMessage(message: http.IncomingMessage): void {
            try {
                const read = options.readResponse(message);
                if (read instanceof Promise) {
                    read.then(value => settle(() => resolve(value)), fail);
                } else {
                    settle(() => resolve(read));
                }
            } catch (error) {
                fail(error);
            }
        }

        function settle(finish: () => void): void {
            clearTimeout(timer);
            finish();
        }

        function fail(error: unknown): void {
            settle(() => reject(error instanceof Error ? error : new Error(String(error))));
            (response ?? request).destroy();
        }

        /** Destroying the request would drop the unread data of a response that has arrived completely. */
        function abort(): void {
            settle(() => reject(createAbortError()));
            if (response === undefined) {
                request.destroy();
            } else if (!response.complete) {
                response.destroy();
            }
        }

        function removeAbortListener(): void {
            signal?.removeEventListener("abort", abort);
        }
    });
    request.end(options.body);
    return { request, result };

    function createTimeoutError(): Error {
        const got = `silence from ${String(target.hostname ?? target.host)}:${String(target.port)}${String(target.path)}`;
        return createError({ code: ErrorCode.Timeout, expected: `an answer within ${String(timeoutMs)} ms`, got });
    }
}

function createUpgradeError({ statusCode }: http.IncomingMessage): Error {
    const got = `status ${String(statusCode)} with an upgrade that was not requested`;
    return createError({ code: ErrorCode.Malformed, expected: "a final response", got });
}

function createClosedError(): Error {
    return createError({ code: ErrorCode.Unreachable, expected: "a response", got: "a closed connection" });
}

function createAbortError(): Error {
    return createError({ code: ErrorCode.Aborted, expected: "a response", got: "an abort by this process" });
}
