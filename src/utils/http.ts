import type http from "node:http";
import { urlToHttpOptions } from "node:url";
import { ErrorCode, createError } from "../errors/index.js";
import { openHttpCall } from "./openHttpCall.js";
import { settleFromEvents } from "./settleFromEvents.js";

/** A whole HTTP answer held in memory. */
export interface HttpAnswer {
    status: number;
    headers: http.IncomingHttpHeaders;
    body: Buffer;
}

/** Options of a small HTTP call whose answer is held in memory. */
export interface HttpCallOptions {
    method: string;
    url: URL | string;
    headers?: http.OutgoingHttpHeaders;
    body?: string | Buffer;
    /** Time allowed for the whole call, in milliseconds. */
    timeoutMs: number;
    /** Largest accepted answer, in bytes. */
    maxBytes?: number;
    agent?: http.Agent;
    /** Ends the call early. */
    signal?: AbortSignal;
}

const DEFAULT_MAX_BYTES = 16 * 1024 * 1024;
/** Memory for a body before it is known to be longer, in bytes. */
const FIRST_BODY_BYTES = 4_096;

/**
 * Sends a request and reads the whole answer.
 * @param options - Request and bounds.
 */
export async function sendHttpCall(options: HttpCallOptions): Promise<HttpAnswer> {
    const { method, headers, agent, signal, timeoutMs, body } = options;
    const target = { ...urlToHttpOptions(new URL(options.url)), method, headers, agent };
    return openHttpCall({ target, body, signal, timeoutMs, readResponse }).result;

    async function readResponse(response: http.IncomingMessage): Promise<HttpAnswer> {
        const whole = await readWholeBody(response, options.maxBytes ?? DEFAULT_MAX_BYTES);
        return { status: response.statusCode ?? 0, headers: response.headers, body: whole };
    }
}

/**
 * Reads a body into one buffer.
 * @param stream - Stream to read; an end without completion is an error.
 * @param maxBytes - Largest accepted size in bytes.
 * @param maxChunks - Largest accepted number of chunks, as each costs processor time whatever its size.
 */
export function readWholeBody(
    stream: http.IncomingMessage,
    maxBytes: number,
    maxChunks = Number.POSITIVE_INFINITY,
): Promise<Buffer> {
    return settleFromEvents(({ resolve, reject, guard }) => {
        // Small chunks are copied together: each would keep the whole buffer alive that it was read into.
        let body = Buffer.alloc(FIRST_BODY_BYTES);
        let size = 0;
        let chunks = 0;
        stream.on("data", guard(addChunk));
        stream.on("end", () => resolve(body.subarray(0, size)));
        stream.on("error", reject);
        stream.on("close", rejectUnlessEnded);
        if (stream.closed) {
            rejectUnlessEnded();
        }

        function addChunk(chunk: Buffer): void {
            chunks++;
            if (size + chunk.length > maxBytes || chunks > maxChunks) {
                stream.removeAllListeners("data");
                reject(
                    createError({
                        code: ErrorCode.TooLarge,
                        expected: `at most ${maxBytes} bytes in ${maxChunks} chunks`,
                        got: `more after ${size} bytes in ${chunks - 1} chunks`,
                    }),
                );
                return;
            }
            if (size + chunk.length > body.length) {
                body = Buffer.concat([body.subarray(0, size)], Math.max(size + chunk.length, body.length * 2));
            }
            chunk.copy(body, size);
            size += chunk.length;
        }

        function rejectUnlessEnded(): void {
            if (!stream.readableEnded) {
                reject(
                    createError({ code: ErrorCode.Unreachable, expected: "a whole body", got: "a closed connection" }),
                );
            }
        }
    });
}

/**
 * Listens on an address and waits until the port is bound.
 * @param server - Server to start.
 * @param port - Port; 0 lets the system choose one.
 * @param address - IP address.
 * @returns Bound port.
 */
export function listenOn(server: http.Server, port: number, address: string): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, () => {
            server.removeListener("error", reject);
            const bound = server.address();
            resolve(typeof bound === "object" && bound !== null ? bound.port : port); // eslint-disable-line no-restricted-syntax
        });
    });
}

/**
 * Writes a JSON answer.
 * @param response - Response to end.
 * @param status - HTTP status.
 * @param value - Value to encode.
 */
export function sendJson(response: http.ServerResponse, status: number, value: unknown): void {
    const body = JSON.stringify(value);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    response.end(body);
}
