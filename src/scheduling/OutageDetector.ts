/** Detects that all endpoints of a service reject requests, from the results of the sends to them. */
export interface OutageDetector {
    /** Records that an endpoint declared a request as not run, or could not be reached. */
    recordRejection(service: string, endpoint: string, now: number): void;
    /** Records that an endpoint has begun to answer a request, which ends an outage. */
    recordAcceptance(service: string): void;
    /**
     * Decides about a new request during an outage: one probe per interval is sent, the others are refused.
     * @returns Undefined if the request may be sent; otherwise the time after which to retry, in milliseconds.
     */
    checkRequest(service: string, leftMs: number, now: number): number | undefined;
    /** Decides like `checkRequest`, without taking the place of a probe. */
    previewRequest(service: string, leftMs: number, now: number): number | undefined;
    /**
     * Gets the time after which a caller that is refused now should retry, in milliseconds.
     * @returns Undefined if the service has no outage.
     */
    getRetryDelay(service: string, leftMs: number, now: number): number | undefined;
    /** Gets the time of the first rejection of the outage in progress, in milliseconds; undefined if there is none. */
    getBegan(service: string, now: number): number | undefined;
}

/** Consecutive rejected sends from which a service is considered out. */
const MIN_REJECTIONS = 6;
/** Distinct endpoints that must have rejected these sends; a single full endpoint is not an outage. */
const MIN_ENDPOINTS = 3;
/** Interval between the probes that a router sends to a service that is out, in milliseconds. */
const PROBE_INTERVAL_MS = 200;
/** Age from which rejections are ignored, in milliseconds. */
const REJECTION_EXPIRY_MS = 1_500;
/** Share of the caller's remaining time that it can be asked to wait; callers do not honor longer delays. */
const RETRY_DELAY_SHARE = 1 / 3;
/** Maximum retry delay, in milliseconds; an outage caused by a restart is over by then. */
const MAX_RETRY_DELAY_MS = 6_000;

interface RejectionStreak {
    count: number;
    beganAt: number;
    endpoints: Set<string>;
    lastAt: number;
    probedAt: number;
}

/**
 * Creates a detector without outages. When no endpoint accepts requests, as after the failure of a group of ranks,
 * further sends would be rejected again, and callers that retry too early would exhaust their time.
 */
export function createOutageDetector(): OutageDetector {
    const streaks = new Map<string, RejectionStreak>();
    return {
        recordRejection,
        recordAcceptance: service => void streaks.delete(service),
        checkRequest,
        previewRequest: (service, leftMs, now) =>
            isProbeDue(findOutage(service, now), now) ? undefined : getRetryDelay(service, leftMs, now),
        getRetryDelay,
        getBegan: (service, now) => findOutage(service, now)?.beganAt,
    };

    function recordRejection(service: string, endpoint: string, now: number): void {
        let streak = streaks.get(service);
        if (streak === undefined || now - streak.lastAt > REJECTION_EXPIRY_MS) {
            streak = { count: 0, beganAt: now, endpoints: new Set(), lastAt: now, probedAt: now };
            streaks.set(service, streak);
        }
        streak.count++;
        streak.endpoints.add(endpoint);
        streak.lastAt = now;
    }

    function checkRequest(service: string, leftMs: number, now: number): number | undefined {
        const streak = findOutage(service, now);
        if (streak !== undefined && isProbeDue(streak, now)) {
            streak.probedAt = now;
            return undefined;
        }
        return streak && computeRetryDelay(leftMs);
    }

    function isProbeDue(streak: RejectionStreak | undefined, now: number): boolean {
        return streak !== undefined && now - streak.probedAt >= PROBE_INTERVAL_MS;
    }

    function getRetryDelay(service: string, leftMs: number, now: number): number | undefined {
        return findOutage(service, now) && computeRetryDelay(leftMs);
    }

    function findOutage(service: string, now: number): RejectionStreak | undefined {
        const streak = streaks.get(service);
        const isOut =
            streak !== undefined &&
            now - streak.lastAt <= REJECTION_EXPIRY_MS &&
            streak.count >= MIN_REJECTIONS &&
            streak.endpoints.size >= MIN_ENDPOINTS;
        return isOut ? streak : undefined;
    }
}

/**
 * Asks the caller for the longest delay that it honors: a retried request misses its target in any case, and a later
 * retry is more likely to be served.
 */
function computeRetryDelay(leftMs: number): number {
    return Math.min(MAX_RETRY_DELAY_MS, leftMs * RETRY_DELAY_SHARE);
}
