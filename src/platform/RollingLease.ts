import type { KeyValueService } from "./KeyValueService.js";

/** Lease for entries that the platform is to delete after a time; a new one is granted now and then. */
export interface RollingLease {
    /** Gets a lease that lasts at least the given time to live. */
    getLease(): Promise<string>;
}

const PERIOD_MS = 3_600_000;

/**
 * Creates a lease that is granted anew each hour, and never renewed.
 * @param service - Key-value service.
 * @param ttlMs - Least time to live of an entry, in milliseconds.
 */
export function createRollingLease(service: KeyValueService, ttlMs: number): RollingLease {
    let leaseId = "";
    let grantedAt = Number.NEGATIVE_INFINITY;
    return {
        async getLease() {
            const now = performance.now();
            if (now - grantedAt > PERIOD_MS) {
                leaseId = await service.grantLease(ttlMs + PERIOD_MS);
                grantedAt = now;
            }
            return leaseId;
        },
    };
}
