/** Results of this router's requests to each endpoint. */
export interface EndpointHealth {
    recordSuccess(endpoint: string): void;
    /** Records a request for which the endpoint gave no usable answer. */
    recordFailure(endpoint: string, now: number): void;
    /** Records a failed connection; the endpoint is avoided for a back-off period that doubles until a success. */
    recordUnreachable(endpoint: string, now: number): void;
    /** Gets the smoothed failure rate, from 0 to 1. */
    getFailureRate(endpoint: string, now: number): number;
    /** Returns whether the endpoint is in its back-off period after a failed connection. */
    isBackingOff(endpoint: string, now: number): boolean;
    forget(endpoint: string): void;
}

/** Weight of the newest result in the failure rate, which makes it an average over about the last five results. */
const FAILURE_SMOOTHING = 0.2;
/** Time constant with which the failure rate decays, so that the endpoint is tried again, in milliseconds. */
const FAILURE_DECAY_MS = 3_000;
const MIN_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 4_000;

interface HealthRecord {
    failureRate: number;
    failedAt: number;
    backoffUntil: number;
    backoffMs: number;
}

/** Creates a health record without failures. */
export function createEndpointHealth(): EndpointHealth {
    const records = new Map<string, HealthRecord>();
    return {
        recordSuccess,
        recordFailure,
        recordUnreachable,
        getFailureRate,
        isBackingOff: (endpoint, now) => (records.get(endpoint)?.backoffUntil ?? Number.NEGATIVE_INFINITY) > now,
        forget: endpoint => void records.delete(endpoint),
    };

    function recordSuccess(endpoint: string): void {
        const record = records.get(endpoint);
        if (record !== undefined) {
            record.failureRate *= 1 - FAILURE_SMOOTHING;
            record.backoffMs = 0;
        }
    }

    function recordFailure(endpoint: string, now: number): void {
        const record = getRecord(endpoint, now);
        record.failureRate = getFailureRate(endpoint, now) * (1 - FAILURE_SMOOTHING) + FAILURE_SMOOTHING;
        record.failedAt = now;
    }

    function recordUnreachable(endpoint: string, now: number): void {
        recordFailure(endpoint, now);
        const record = getRecord(endpoint, now);
        record.backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(MIN_BACKOFF_MS, record.backoffMs * 2));
        record.backoffUntil = now + record.backoffMs;
    }

    function getFailureRate(endpoint: string, now: number): number {
        const record = records.get(endpoint);
        return record === undefined ? 0 : record.failureRate * Math.exp(-(now - record.failedAt) / FAILURE_DECAY_MS);
    }

    function getRecord(endpoint: string, now: number): HealthRecord {
        let record = records.get(endpoint);
        if (record === undefined) {
            record = { failureRate: 0, failedAt: now, backoffUntil: Number.NEGATIVE_INFINITY, backoffMs: 0 };
            records.set(endpoint, record);
        }
        return record;
    }
}
