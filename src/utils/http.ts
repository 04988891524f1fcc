import type http from "node:http";
import { urlToHttpOptions } from "node:url";
import { ErrorCode, createError } from "../errors/index.js";
import { type BufferMemory, createBodyBuffer, createFullError } from "./BodyBuffer.js";
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
/** Memory of calls whose sizes are bounded otherwise. */
const UNCOUNTED: BufferMemory = { reserve: () => true, release: () => undefined };

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
 * @param memory - Account of the bytes.
 */
export function readWholeBody(
    stream: http.IncomingMessage,
    maxBytes: number,
    maxChunks = Number.POSITIVE_INFINITY,
    memory = UNCOUNTED,
): Promise<Buffer> {
    return settleFromEvents(({ resolve, reject, guard }) => {
        const announced = Number(stream.headers["content-length"]);
        const body = createBodyBuffer(memory, announced > 0 && announced <= maxBytes ? announced : undefined);
        let chunks = 0;
        stream.on("data", guard(addChunk));
        stream.on("end", complete);
        stream.on("error", fail);
        stream.on("close", rejectUnlessEnded);
        if (stream.closed) {
            rejectUnlessEnded();
        }

        function addChunk(chunk: Buffer): void {
            chunks++;
            const size = body.getSize();
            if (size + chunk.length > maxBytes || chunks > maxChunks) {
                fail(
                    createError({
                        code: ErrorCode.TooLarge,
                        expected: `at most ${maxBytes} bytes in ${maxChunks} chunks`,
                        got: `more after ${size} bytes in ${chunks - 1} chunks`,
                    }),
                );
            } else if (!body.addBytes(chunk)) {
                fail(createFullError());
            }
        }

        function complete(): void {
            const whole = body.takeWhole();
            if (whole === undefined) {
                fail(createFullError());
            } else {
                resolve(whole);
            }
        }

        function fail(error: Error): void {
            stream.removeAllListeners("data");
            body.clear();
            reject(error);
        }

        function rejectUnlessEnded(): void {
            if (!stream.readableEnded) {
                fail(
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
