/** Tells whether a service as a whole takes no work, from what became of the sends to its endpoints. */
export interface OutageWatch {
    /** An endpoint declared that it has not run a request, or could not be reached. */
    recordTurnedAway(service: string, endpoint: string, now: number): void;
    /** An endpoint has begun to answer a request. */
    recordTaken(service: string): void;
    /**
     * Decides about a new request during an outage: one probe in a while is sent, the others are refused.
     * @returns Undefined if the request may be sent; else the time after which to come back, in milliseconds.
     */
    checkRequest(service: string, leftMs: number, now: number): number | undefined;
    /**
     * Gets the time after which a caller that is refused now is to come back.
     * @returns Undefined if the service isn't out.
     */
    getDelay(service: string, leftMs: number, now: number): number | undefined;
}

/** Turned away sends in a row, with none taken, from which a service counts as out. */
const LEAST_TURNED_AWAY = 6;
/** Different endpoints that these sends must have reached; a single full endpoint is no outage. */
const LEAST_ENDPOINTS = 3;
/** Period in which a router sends one probe to a service that is out, in milliseconds. */
const PROBE_MS = 200;
/** Sends turned away longer ago than this say nothing about now, in milliseconds. */
const FORGET_MS = 1_500;
/** Part of the caller's time that it can be asked to wait; callers obey no longer delay. */
const WAIT_PART = 1 / 3;
/** Longest delay that is asked for, in milliseconds; an outage by a restart is over by then. */
const MAX_WAIT_MS = 6_000;

interface Streak {
    count: number;
    endpoints: Set<string>;
    lastAt: number;
    probedAt: number;
}

/**
 * Creates a watch without outages. It answers a load that no endpoint takes, as when a group of ranks is broken:
 * sends would only be turned away again, and callers who come back too early are lost.
 */
export function createOutageWatch(): OutageWatch {
    const streaks = new Map<string, Streak>();
    return { recordTurnedAway, recordTaken: service => void streaks.delete(service), checkRequest, getDelay };

    function recordTurnedAway(service: string, endpoint: string, now: number): void {
        let streak = streaks.get(service);
        if (streak === undefined || now - streak.lastAt > FORGET_MS) {
            streak = { count: 0, endpoints: new Set(), lastAt: now, probedAt: now };
            streaks.set(service, streak);
        }
        streak.count++;
        streak.endpoints.add(endpoint);
        streak.lastAt = now;
    }

    function checkRequest(service: string, leftMs: number, now: number): number | undefined {
        const streak = findOutage(service, now);
        if (streak !== undefined && now - streak.probedAt >= PROBE_MS) {
            streak.probedAt = now;
            return undefined;
        }
        return streak && computeDelay(leftMs);
    }

    function getDelay(service: string, leftMs: number, now: number): number | undefined {
        return findOutage(service, now) && computeDelay(leftMs);
    }

    function findOutage(service: string, now: number): Streak | undefined {
        const streak = streaks.get(service);
        const isOut =
            streak !== undefined &&
            now - streak.lastAt <= FORGET_MS &&
            streak.count >= LEAST_TURNED_AWAY &&
            streak.endpoints.size >= LEAST_ENDPOINTS;
        return isOut ? streak : undefined;
    }
}

/**
 * A caller that comes back is late in any case, so the later it comes, the likelier it is served: it is asked to wait
 * as long as it will.
 */
function computeDelay(leftMs: number): number {
    return Math.min(MAX_WAIT_MS, leftMs * WAIT_PART);
}
