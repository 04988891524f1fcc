import type http from "node:http";
import { ErrorCode, hasErrorCode } from "../../errors/index.js";
import { type RequestMemory, createMemoryRefusal, readCallerBody } from "../../memory/index.js";
import { Cause, Outcome, type Refusal } from "../../protocol/index.js";
import type { Filter } from "../pipeline.js";

/** What the filter needs of an exchange. */
export interface BodyExchange {
    readonly request: http.IncomingMessage;
    /** Account of what the request makes the process hold. */
    readonly memory: RequestMemory;
    body: Buffer;
}

/** Bounds of a request's body. */
export interface ReadBodyOptions {
    maxBytes: number;
    /** Time allowed for the whole body, in milliseconds. */
    maxMs: number;
}

const STATUS_BAD_REQUEST = 400;
const STATUS_TIMEOUT = 408;
const STATUS_TOO_LARGE = 413;

/**
 * Creates the filter that reads the body within bounds.
 * @param getBounds - Gets the bounds that hold for an exchange.
 */
export function createReadBody<E extends BodyExchange>(getBounds: (exchange: E) => ReadBodyOptions): Filter<E> {
    return async exchange => {
        const options = getBounds(exchange);
        const announced = Number(exchange.request.headers["content-length"] ?? "0");
        if (announced > options.maxBytes) {
            return createTooLarge(options);
        }
        try {
            exchange.body = await readCallerBody(exchange.request, exchange.memory, options);
            return undefined;
        } catch (error) {
            if (hasErrorCode(error, ErrorCode.OutOfMemory)) {
                return createMemoryRefusal();
            }
            if (hasErrorCode(error, ErrorCode.TooLarge)) {
                return createTooLarge(options);
            }
            if (hasErrorCode(error, ErrorCode.Timeout)) {
                const detail = `expected the whole body within ${options.maxMs} ms`;
                return createRefusal(STATUS_TIMEOUT, Cause.BodyTooSlow, detail);
            }
            return createRefusal(STATUS_BAD_REQUEST, Cause.MalformedRequest, "expected a whole body");
        }
    };
}

function createTooLarge(options: ReadBodyOptions): Refusal {
    return createRefusal(STATUS_TOO_LARGE, Cause.BodyTooLarge, `expected at most ${options.maxBytes} bytes`);
}

function createRefusal(status: number, cause: Cause, detail: string): Refusal {
    return { status, outcome: Outcome.NotRun, cause, detail, retryAfterMs: undefined };
}
