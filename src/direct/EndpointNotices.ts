import type { IncomingHttpHeaders } from "node:http";
import { getHeader } from "../protocol/index.js";
import type { SharedRateLimiter } from "../scheduling/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import { MS_PER_SECOND } from "../utils/time.js";
import type { EndpointPauses } from "./EndpointPauses.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { HeaderNames } from "./HeaderNames.js";

/** What an endpoint says of itself in an answer. */
export interface EndpointNotice {
    /** Requests per second that it takes from all routers together; undefined if it names no limit. */
    limitPerSecond: number | undefined;
    isLeaving: boolean;
    /** Whether it took the request. */
    hasTaken: boolean;
    /** Time for which it wants no request from this router, in milliseconds; undefined if it doesn't say. */
    pauseMs: number | undefined;
    /** Time for which it is still cold after its start, in milliseconds; undefined if it doesn't say. */
    coldMs?: number | undefined;
}

/** Remembers what endpoints say of themselves in their answers, and lets the choice of an endpoint obey it. */
export interface EndpointNotices {
    recordNotice(endpoint: EndpointRecord, notice: EndpointNotice, now: number): void;
    /** Tells whether an endpoint said, since its start, that it leaves. */
    isLeaving(endpoint: EndpointRecord): boolean;
    /** Tells whether any endpoint said that it leaves. */
    hasLeaving(): boolean;
    /** Gets the time until the first of the endpoints wants requests again, in milliseconds; undefined if none paused. */
    getPauseMs(endpoints: readonly EndpointRecord[], now: number): number | undefined;
    /** Lists the endpoints that said that they leave, with their start times. */
    listLeaving(): LeavingEndpoint[];
    /** Merges what another router has been told by endpoints. */
    mergeLeaving(endpoints: readonly LeavingEndpoint[], now: number): void;
    /** Forgets what an endpoint said before it started again. */
    forget(endpoint: string): void;
}

/** Identifier and start time of an endpoint that leaves. */
export type LeavingEndpoint = [id: string, bornAt: number];

interface LeavingMark {
    bornAt: number;
    /** Monotonic time, in milliseconds. */
    toldAt: number;
}

const STATUS_UNAVAILABLE = 503;
/** Time for which an endpoint that said that it leaves is remembered, in milliseconds; longer than any takes to leave. */
const LEAVING_MEMORY_MS = 600_000;

/**
 * Reads what an endpoint says of itself.
 * @param status - Status of its answer.
 * @param headers - Headers of its answer.
 * @param names - Names of the headers.
 */
export function readEndpointNotice(status: number, headers: IncomingHttpHeaders, names: HeaderNames): EndpointNotice {
    const pauseSeconds = status === STATUS_UNAVAILABLE ? readNumber(headers, "retry-after") : undefined;
    return {
        limitPerSecond: readNumber(headers, names.limit),
        isLeaving: getHeader(headers, names.leaving) === "1",
        hasTaken: status !== STATUS_UNAVAILABLE,
        pauseMs: pauseSeconds === undefined ? undefined : pauseSeconds * MS_PER_SECOND,
        coldMs: readNumber(headers, names.cold),
    };
}

function readNumber(headers: IncomingHttpHeaders, name: string): number | undefined {
    const text = getHeader(headers, name)?.trim() ?? "";
    const value = Number(text);
    return text !== "" && Number.isFinite(value) && value >= 0 ? value : undefined;
}

/**
 * Creates the memory of a router that has had no answer.
 * @param limiter - Holds the limits, which all routers share.
 * @param pauses - Holds the pauses.
 * @param logger - Receives the first and the last word on a limit, and each leaving or pause.
 */
export function createEndpointNotices(
    limiter: SharedRateLimiter,
    pauses: EndpointPauses,
    logger: Logger,
): EndpointNotices {
    /** Endpoints that leave, with their start times, as an endpoint may start again under its identifier. */
    const leaving = new Map<string, LeavingMark>();
    return {
        recordNotice,
        isLeaving,
        hasLeaving: () => leaving.size > 0,
        getPauseMs(endpoints, now) {
            const paused = endpoints.filter(
                endpoint => !isLeaving(endpoint) && pauses.getPausedUntil(endpoint.id) > now,
            );
            return paused.length === 0
                ? undefined
                : Math.min(...paused.map(({ id }) => pauses.getPausedUntil(id))) - now;
        },
        listLeaving: () => [...leaving].map(([id, { bornAt }]) => [id, bornAt]),
        mergeLeaving(endpoints, now) {
            endpoints
                .filter(([id, bornAt]) => bornAt > (leaving.get(id)?.bornAt ?? Number.NEGATIVE_INFINITY))
                .forEach(([id, bornAt]) => recordLeaving(id, bornAt, now));
        },
        forget(endpoint) {
            leaving.delete(endpoint);
            pauses.forget(endpoint);
        },
    };

    function recordNotice(endpoint: EndpointRecord, notice: EndpointNotice, now: number): void {
        const { id, service } = endpoint;
        const { limitPerSecond, pauseMs } = notice;
        const hadLimit = limiter.getLimit(id) !== undefined;
        limiter.recordLimit(id, limitPerSecond, now);
        const isNewlyLeaving = notice.isLeaving && !isLeaving(endpoint);
        if (isNewlyLeaving) {
            recordLeaving(id, endpoint.bornAt, now);
        }
        if (pauseMs !== undefined) {
            pauses.recordPause(id, pauseMs, now);
        } else if (notice.hasTaken) {
            pauses.recordTaken(id, now);
        }
        if (hadLimit !== (limitPerSecond !== undefined) || isNewlyLeaving || pauseMs !== undefined) {
            const facts = { limitPerSecond, isLeaving: notice.isLeaving, pauseMs };
            logger.logEvent(EventId.EndpointNoticed, { endpoint: id, service, ...facts });
        }
    }

    function isLeaving({ id, bornAt }: EndpointRecord): boolean {
        return leaving.get(id)?.bornAt === bornAt;
    }

    /** Marks outlast the entries of their endpoints, which may vanish and come back, and go with time. */
    function recordLeaving(endpoint: string, bornAt: number, now: number): void {
        for (const [id, { toldAt }] of leaving) {
            if (now - toldAt > LEAVING_MEMORY_MS) {
                leaving.delete(id);
            }
        }
        leaving.set(endpoint, { bornAt, toldAt: now });
    }
}
