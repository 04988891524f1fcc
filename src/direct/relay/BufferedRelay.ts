import type http from "node:http";
import { copyEndToEndHeaders } from "../../protocol/index.js";
import { readWholeBody } from "../../utils/http.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { DirectExchange } from "../DirectExchange.js";
import type { EndpointResponse } from "../EndpointCall.js";
import { ResponseRelay, RelayResult } from "./ResponseRelay.js";

/**
 * Maximum size of a buffered response, in bytes. It is far above the responses of usual services, and low enough that a
 * hundred endpoints that send endless responses do not exhaust the memory of a router.
 */
const MAX_RESPONSE_BYTES = 1024 * 1024;
/** Maximum number of chunks of a buffered response: the longest one in chunks of 64 bytes. */
const MAX_RESPONSE_CHUNKS = MAX_RESPONSE_BYTES / 64;
const FIRST_SERVER_ERROR_STATUS = 500;

interface BufferedResponse {
    status: number;
    headers: http.IncomingHttpHeaders;
    body: Buffer;
}

/**
 * Creates a relay that sends a response once it is complete, so that a truncated response can be replaced by that of
 * another endpoint.
 * @param exchange - Exchange that waits for the response.
 */
export function createBufferedRelay(exchange: DirectExchange): ResponseRelay {
    let bufferedFailure: BufferedResponse | undefined;

    return new (class BufferedRelay extends ResponseRelay {
        override async relayResponse(
            endpointResponse: EndpointResponse,
            isFinalAttempt: boolean,
        ): Promise<RelayResult> {
            const { message, status } = endpointResponse;
            let body: Buffer;
            try {
                body = await readWholeBody(message, MAX_RESPONSE_BYTES, MAX_RESPONSE_CHUNKS, exchange.memory);
            } catch {
                // The request's log line tells how the response ended; whatever the reason, it is incomplete.
                message.destroy();
                return RelayResult.Incomplete;
            }
            if (endpointResponse.isTruncated()) {
                return RelayResult.Incomplete;
            }
            const buffered = { status, headers: message.headers, body };
            if (status >= FIRST_SERVER_ERROR_STATUS && !isFinalAttempt) {
                bufferedFailure = buffered;
                return RelayResult.Failed;
            }
            sendBuffered(buffered);
            return RelayResult.Complete;
        }

        override buildResumeHeaders(): Record<string, string> {
            return {};
        }

        override sendBufferedFailure(): boolean {
            if (bufferedFailure === undefined) {
                return false;
            }
            sendBuffered(bufferedFailure);
            return true;
        }
    })();

    function sendBuffered(buffered: BufferedResponse): void {
        if (exchange.isCallerGone) {
            return;
        }
        exchange.firstByteAt = readMonotonicMs();
        const headers = copyEndToEndHeaders(buffered.headers, ["content-length", "date"]);
        const { response, request } = exchange;
        const isBodyless = request.method === "HEAD" || buffered.status === 204 || buffered.status === 304;
        if (!isBodyless) {
            headers["content-length"] = String(buffered.body.length);
        }
        response.writeHead(buffered.status, headers);
        response.end(isBodyless ? undefined : buffered.body);
    }
}
