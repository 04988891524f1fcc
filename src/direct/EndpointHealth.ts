/** What endpoints did with the requests of this router. */
export interface EndpointHealth {
    recordSuccess(endpoint: string): void;
    /** The endpoint gave no usable answer. */
    recordFailure(endpoint: string, now: number): void;
    /** No connection could be made; the endpoint is left alone for a time. */
    recordUnreachable(endpoint: string, now: number): void;
    /** Gets the smoothed share of failures, 0 to 1. */
    getFailureShare(endpoint: string, now: number): number;
    isShunned(endpoint: string, now: number): boolean;
    forget(endpoint: string): void;
}

/** Weight of the newest result in the share of failures; about the last five results count. */
const SMOOTHING = 0.2;
/** Time constant with which old failures are forgiven, so that the endpoint is tried again, in milliseconds. */
const FORGIVE_MS = 3_000;
const FIRST_SHUN_MS = 500;
const MAX_SHUN_MS = 4_000;

interface Record {
    share: number;
    at: number;
    shunnedUntil: number;
    shunMs: number;
}

/** Creates the record of a router; endpoints start in good standing. */
export function createEndpointHealth(): EndpointHealth {
    const records = new Map<string, Record>();
    return {
        recordSuccess,
        recordFailure,
        recordUnreachable,
        getFailureShare,
        isShunned: (endpoint, now) => (records.get(endpoint)?.shunnedUntil ?? Number.NEGATIVE_INFINITY) > now,
        forget: endpoint => void records.delete(endpoint),
    };

    function recordSuccess(endpoint: string): void {
        const record = records.get(endpoint);
        if (record !== undefined) {
            record.share *= 1 - SMOOTHING;
            record.shunMs = 0;
        }
    }

    function recordFailure(endpoint: string, now: number): void {
        const record = getRecord(endpoint, now);
        record.share = getFailureShare(endpoint, now) * (1 - SMOOTHING) + SMOOTHING;
        record.at = now;
    }

    function recordUnreachable(endpoint: string, now: number): void {
        recordFailure(endpoint, now);
        const record = getRecord(endpoint, now);
        record.shunMs = Math.min(MAX_SHUN_MS, Math.max(FIRST_SHUN_MS, record.shunMs * 2));
        record.shunnedUntil = now + record.shunMs;
    }

    function getFailureShare(endpoint: string, now: number): number {
        const record = records.get(endpoint);
        return record === undefined ? 0 : record.share * Math.exp(-(now - record.at) / FORGIVE_MS);
    }

    function getRecord(endpoint: string, now: number): Record {
        let record = records.get(endpoint);
        if (record === undefined) {
            record = { share: 0, at: now, shunnedUntil: Number.NEGATIVE_INFINITY, shunMs: 0 };
            records.set(endpoint, record);
        }
        return record;
    }
}
