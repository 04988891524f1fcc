import type { KeyValueService } from "./KeyValueService.js";

/** Lease for entries that expire after a minimum time; it is replaced periodically. */
export interface RollingLease {
    /** Gets a lease that remains valid for at least the time to live. */
    getLease(): Promise<string>;
}

const GRANT_INTERVAL_MS = 3_600_000;

/**
 * Creates a lease that is replaced by a new one each hour, and never renewed.
 * @param service - Key-value service.
 * @param ttlMs - Minimum time to live of an entry, in milliseconds.
 */
export function createRollingLease(service: KeyValueService, ttlMs: number): RollingLease {
    let leaseId = "";
    let grantedAt = Number.NEGATIVE_INFINITY;
    return {
        async getLease() {
            const now = performance.now();
            if (now - grantedAt > GRANT_INTERVAL_MS) {
                leaseId = await service.grantLease(ttlMs + GRANT_INTERVAL_MS);
                grantedAt = now;
            }
            return leaseId;
        },
    };
}
