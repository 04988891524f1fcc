import type { IncomingHttpHeaders } from "node:http";
import { getHeader } from "../protocol/index.js";
import type { SharedRateLimiter } from "../scheduling/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { HeaderNames } from "./HeaderNames.js";

/** What an endpoint says of itself in an answer. */
export interface EndpointNotice {
    /** Requests per second that it takes from all routers together; undefined if it names no limit. */
    limitPerSecond: number | undefined;
}

/** Remembers what endpoints say of themselves in their answers, and lets the choice of an endpoint obey it. */
export interface EndpointNotices {
    recordNotice(endpoint: EndpointRecord, notice: EndpointNotice, now: number): void;
    forget(endpoint: string): void;
}

/**
 * Reads what an endpoint says of itself.
 * @param headers - Headers of its answer.
 * @param names - Names of the headers.
 */
export function readEndpointNotice(headers: IncomingHttpHeaders, names: HeaderNames): EndpointNotice {
    return { limitPerSecond: readNumber(headers, names.limit) };
}

function readNumber(headers: IncomingHttpHeaders, name: string): number | undefined {
    const text = getHeader(headers, name)?.trim() ?? "";
    const value = Number(text);
    return text !== "" && Number.isFinite(value) && value >= 0 ? value : undefined;
}

/**
 * Creates the memory of a router that has had no answer.
 * @param limiter - Holds the limits, which all routers share.
 * @param logger - Receives the first and the last word on a limit.
 */
export function createEndpointNotices(limiter: SharedRateLimiter, logger: Logger): EndpointNotices {
    return { recordNotice, forget: endpoint => limiter.forget(endpoint) };

    function recordNotice({ id, service }: EndpointRecord, { limitPerSecond }: EndpointNotice, now: number): void {
        const hadLimit = limiter.getLimit(id) !== undefined;
        limiter.recordLimit(id, limitPerSecond, now);
        if (hadLimit !== (limitPerSecond !== undefined)) {
            logger.logEvent(EventId.EndpointNoticed, { endpoint: id, service, limitPerSecond });
        }
    }
}
