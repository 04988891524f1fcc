import { z } from "zod";
import { MS_PER_SECOND } from "../utils/time.js";

/**
 * What a router tells of an endpoint with a limit: requests per second, or -1 if the endpoint has ended its limit; time since
 * the endpoint said so, in milliseconds; requests sent to it in the last window.
 */
export const limitReportSchema = z.tuple([z.number(), z.number(), z.number()]);

/** Report on one endpoint. */
export type LimitReport = z.infer<typeof limitReportSchema>;

/** What a router, or all of a zone, tells others for their shared limits. */
export interface LimitReports {
    /** By endpoint. */
    limits: Record<string, LimitReport>;
    /** Attempts per second to find an endpoint, by service. */
    attempts: Record<string, number>;
}

/** Keeps the requests of all routers to an endpoint within the rate that the endpoint has named. */
export interface SharedRateLimiter {
    /**
     * Records what an answer says of the endpoint's limit.
     * @param perSecond - Requests per second from all routers together; undefined if the answer names no limit.
     */
    recordLimit(endpoint: string, perSecond: number | undefined, now: number): void;
    recordSend(endpoint: string, now: number): void;
    /**
     * Draws the endpoints that a request may be sent to now: all without a limit, and those with a limit that have room and
     * whose room falls to this router.
     * @param attempts - Number of requests that wait for the outcome.
     */
    drawOpen<T extends { id: string }>(endpoints: readonly T[], service: string, attempts: number, now: number): T[];
    /** Draws the endpoints that one attempt would find open, without counting it. */
    previewOpen<T extends { id: string }>(endpoints: readonly T[], service: string, now: number): T[];
    /**
     * Estimates how many requests this router may send to the endpoints within a time; infinite if one of them has no limit.
     * @param withinMs - Time, in milliseconds.
     */
    estimateTurns(endpoints: readonly { id: string }[], service: string, withinMs: number, now: number): number;
    /** Gets the used share of an endpoint's limit; 0 without a limit. */
    getUsedShare(endpoint: string, now: number): number;
    /** Gets the limit in force, in requests per second; undefined if there is none. */
    getLimit(endpoint: string): number | undefined;
    /** Counts the endpoints with a limit in force. */
    countLimited(): number;
    /**
     * Lists what others need to know.
     * @param isOfZone - The receivers hear from this router only, on behalf of its zone.
     */
    listReports(isOfZone: boolean, now: number): LimitReports;
    /**
     * Merges the limits that another router knows.
     * @param isKnown - Tells whether an endpoint exists, as a report may be older than its end.
     */
    mergeLimits(reports: LimitReports, isKnown: (endpoint: string) => boolean, now: number): void;
    /** Replaces what a router of the zone, or another zone, has sent and wants to send. */
    setUsage(source: string, isOfZone: boolean, reports: LimitReports, now: number): void;
    forget(endpoint: string): void;
}

/** Options of the limiter. */
export interface SharedRateLimiterOptions {
    /** Gets the time until other routers know of a request that this one has sent, in milliseconds. */
    getReportDelayMs: () => number;
    /** Gets the share of each limit that this router may use; 1 while it hears what the others use. */
    getShare: () => number;
    /** Draws a random number in the interval from 0 to 1. */
    drawRandom: () => number;
}

interface KnownLimit {
    /** Undefined if the endpoint has ended its limit. */
    perSecond: number | undefined;
    namedAt: number;
}

interface Usage {
    isOfZone: boolean;
    reports: LimitReports;
    receivedAt: number;
}

/** Stands for the rate of a limit that its endpoint has ended. */
const ENDED_LIMIT = -1;
const NO_REPORT: LimitReport = [ENDED_LIMIT, 0, 0];
/** Window over which requests are counted, in milliseconds. */
const WINDOW_MS = 4_000;
/** Time for which another router's count holds, as about as many requests enter its window as leave it, in milliseconds. */
const COUNT_HOLD_MS = 500;
/** Age after which the attempts of others no longer count, in milliseconds. */
const ATTEMPTS_EXPIRY_MS = 1_500;
/** Window over which own attempts are counted, in milliseconds. */
const ATTEMPTS_WINDOW_MS = 1_000;
/**
 * Time without an answer of the endpoint after which its limit lets at least one request through, in milliseconds, as its
 * answers alone tell that the limit has ended.
 */
const PROBE_AFTER_MS = 10_000;

/**
 * Creates a limiter that knows no limits. Routers tell each other what they have sent, with a delay. So that they don't all use
 * the same room at once, each attempt succeeds with a probability: room over the attempts of all routers within that delay.
 * The room then goes to the routers in proportion to their demand, however uneven it is.
 * @param options - What is known of the other routers.
 */
export function createSharedRateLimiter(options: SharedRateLimiterOptions): SharedRateLimiter {
    const limits = new Map<string, KnownLimit>();
    /** Times of this router's requests in the window, by endpoint. */
    const sends = new Map<string, number[]>();
    const usages = new Map<string, Usage>();
    /** Times and numbers of this router's attempts, by service. */
    const ownAttempts = new Map<string, { at: number; count: number }[]>();
    return {
        recordLimit,
        recordSend,
        drawOpen,
        previewOpen: (endpoints, service, now) => drawWithRoom(endpoints, service, 1, now),
        estimateTurns,
        getUsedShare,
        getLimit: endpoint => limits.get(endpoint)?.perSecond,
        countLimited: () => [...limits.values()].filter(({ perSecond }) => perSecond !== undefined).length,
        listReports,
        mergeLimits,
        setUsage: (source, isOfZone, reports, now) => void usages.set(source, { isOfZone, reports, receivedAt: now }),
        forget(endpoint) {
            limits.delete(endpoint);
            sends.delete(endpoint);
        },
    };

    function recordLimit(endpoint: string, perSecond: number | undefined, now: number): void {
        if (perSecond !== undefined || limits.has(endpoint)) {
            limits.set(endpoint, { perSecond, namedAt: now });
        }
    }

    function recordSend(endpoint: string, now: number): void {
        const times = listOwnSends(endpoint, now);
        times.push(now);
        sends.set(endpoint, times);
    }

    function listOwnSends(endpoint: string, now: number): number[] {
        return (sends.get(endpoint) ?? []).filter(at => now - at < WINDOW_MS);
    }

    function drawOpen<T extends { id: string }>(
        endpoints: readonly T[],
        service: string,
        attempts: number,
        now: number,
    ): T[] {
        if (endpoints.every(({ id }) => limits.get(id)?.perSecond === undefined)) {
            return [...endpoints];
        }
        recordAttempts(service, attempts, now);
        return drawWithRoom(endpoints, service, attempts, now);
    }

    function drawWithRoom<T extends { id: string }>(
        endpoints: readonly T[],
        service: string,
        attempts: number,
        now: number,
    ): T[] {
        const delayedAttempts = (countAttempts(service, now) * options.getReportDelayMs()) / MS_PER_SECOND;
        const chance = attempts / Math.max(1, delayedAttempts);
        return endpoints.filter(({ id }) => {
            const room = computeRoom(id, now);
            return room > 0 && (room === Number.POSITIVE_INFINITY || options.drawRandom() < room * chance);
        });
    }

    /** The room falls to the routers in proportion to their attempts. */
    function estimateTurns(
        endpoints: readonly { id: string }[],
        service: string,
        withinMs: number,
        now: number,
    ): number {
        // The request itself is an attempt that may not be counted yet.
        const ownShare = (countOwnAttempts(service, now) + 1) / (countAttempts(service, now) + 1);
        let turns = 0;
        for (const { id } of endpoints) {
            const perSecond = limits.get(id)?.perSecond;
            if (perSecond === undefined) {
                return Number.POSITIVE_INFINITY;
            }
            const gained = (perSecond * options.getShare() * withinMs) / MS_PER_SECOND;
            turns += Math.max(0, computeRoom(id, now)) + gained;
        }
        return turns * ownShare;
    }

    function computeRoom(endpoint: string, now: number): number {
        const limit = limits.get(endpoint);
        if (limit?.perSecond === undefined) {
            return Number.POSITIVE_INFINITY;
        }
        const isUncertain = now - limit.namedAt >= PROBE_AFTER_MS;
        const allowed = computeAllowed(limit.perSecond);
        return (isUncertain ? Math.max(1, allowed) : allowed) - countSends(endpoint, now);
    }

    function computeAllowed(perSecond: number): number {
        return ((perSecond * WINDOW_MS) / MS_PER_SECOND) * options.getShare();
    }

    /** Counts the requests of all routers in the window. */
    function countSends(endpoint: string, now: number): number {
        return listOwnSends(endpoint, now).length + sumUsages(endpoint, now, () => true);
    }

    function sumUsages(endpoint: string, now: number, isWanted: (usage: Usage) => boolean): number {
        let sum = 0;
        for (const usage of [...usages.values()].filter(isWanted)) {
            const heldMs = Math.max(0, now - usage.receivedAt - COUNT_HOLD_MS);
            const [, , sent] = usage.reports.limits[endpoint] ?? NO_REPORT;
            sum += sent * Math.max(0, 1 - heldMs / WINDOW_MS);
        }
        return sum;
    }

    function getUsedShare(endpoint: string, now: number): number {
        const perSecond = limits.get(endpoint)?.perSecond;
        if (perSecond === undefined) {
            return 0;
        }
        return Math.min(1, countSends(endpoint, now) / Math.max(1, computeAllowed(perSecond)));
    }

    function recordAttempts(service: string, count: number, now: number): void {
        const recent = (ownAttempts.get(service) ?? []).filter(({ at }) => now - at < ATTEMPTS_WINDOW_MS);
        ownAttempts.set(service, [...recent, { at: now, count }]);
    }

    function countOwnAttempts(service: string, now: number): number {
        return (ownAttempts.get(service) ?? [])
            .filter(({ at }) => now - at < ATTEMPTS_WINDOW_MS)
            .reduce((sum, { count }) => sum + count, 0);
    }

    /** Counts the attempts of all routers, per second. */
    function countAttempts(service: string, now: number): number {
        let sum = countOwnAttempts(service, now);
        for (const { reports, receivedAt } of usages.values()) {
            sum += now - receivedAt < ATTEMPTS_EXPIRY_MS ? (reports.attempts[service] ?? 0) : 0;
        }
        return sum;
    }

    function listReports(isOfZone: boolean, now: number): LimitReports {
        expireUsages(now);
        const reports: LimitReports = { limits: {}, attempts: {} };
        const isOfMember = (usage: Usage): boolean => isOfZone && !usage.isOfZone;
        for (const [endpoint, { perSecond, namedAt }] of limits) {
            const sent = listOwnSends(endpoint, now).length + sumUsages(endpoint, now, isOfMember);
            if (sent > 0 || now - namedAt < WINDOW_MS) {
                reports.limits[endpoint] = [perSecond ?? ENDED_LIMIT, Math.round(now - namedAt), Math.round(sent)];
            }
        }
        for (const service of ownAttempts.keys()) {
            reports.attempts[service] = countOwnAttempts(service, now);
        }
        for (const usage of usages.values()) {
            if (isOfMember(usage) && now - usage.receivedAt < ATTEMPTS_EXPIRY_MS) {
                Object.entries(usage.reports.attempts).forEach(([service, count]) => {
                    reports.attempts[service] = (reports.attempts[service] ?? 0) + count;
                });
            }
        }
        return reports;
    }

    function expireUsages(now: number): void {
        for (const [source, { receivedAt }] of usages) {
            if (now - receivedAt >= COUNT_HOLD_MS + WINDOW_MS) {
                usages.delete(source);
            }
        }
    }

    function mergeLimits(reports: LimitReports, isKnown: (endpoint: string) => boolean, now: number): void {
        const known = Object.entries(reports.limits).filter(([endpoint]) => isKnown(endpoint));
        for (const [endpoint, [perSecond, ageMs]] of known) {
            const namedAt = now - ageMs;
            const previous = limits.get(endpoint);
            const isNewer = namedAt > (previous?.namedAt ?? Number.NEGATIVE_INFINITY);
            if (isNewer && (perSecond >= 0 || previous !== undefined)) {
                limits.set(endpoint, { perSecond: perSecond >= 0 ? perSecond : undefined, namedAt });
            }
        }
    }
}
