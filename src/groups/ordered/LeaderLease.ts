import type { KeyValueService } from "../../platform/index.js";
import { readMonotonicMs } from "../../utils/time.js";

/** Leadership of a group, held through a lease in the platform's store. */
export interface LeaderLease {
    /**
     * Acquires the leadership, or renews its lease. A leadership whose lease has ended is given up: another process may
     * have led in between, so it is acquired anew only by a later call.
     * @returns Term of the leadership, higher than all earlier ones; undefined if another process holds it or the lease has ended.
     */
    acquireOrRenew(): Promise<number | undefined>;
    /** Gets the current term; undefined if the leadership is not held. */
    getTerm(): number | undefined;
    /** Gives up the leadership without a call; the store deletes the key when the lease expires. */
    abandon(): void;
}

/** Options of a leader lease. */
export interface LeaderLeaseOptions {
    service: KeyValueService;
    key: string;
    /** Name of this process, stored under the key. */
    holder: string;
    ttlMs: number;
}

/**
 * Creates a lease that is not held yet.
 * @param options - Key and lease.
 */
export function createLeaderLease(options: LeaderLeaseOptions): LeaderLease {
    const { service, key, holder } = options;
    let leaseId: string | undefined;
    let term: number | undefined;
    let renewedAt = Number.NEGATIVE_INFINITY;
    return { acquireOrRenew, getTerm: () => term, abandon };

    async function acquireOrRenew(): Promise<number | undefined> {
        if (term !== undefined && leaseId !== undefined) {
            if (readMonotonicMs() - renewedAt < options.ttlMs * RENEWAL_FRACTION) {
                return term;
            }
            const startedAt = readMonotonicMs();
            if (await service.renewLease(leaseId)) {
                renewedAt = startedAt;
                return term;
            }
            abandon();
            return undefined;
        }
        return acquire();
    }

    async function acquire(): Promise<number | undefined> {
        const startedAt = readMonotonicMs();
        leaseId ??= await service.grantLease(options.ttlMs);
        const { applied, current } = await service.swapEntry({ key, expectedRevision: 0, value: holder, leaseId });
        // If the key holds this process's name, an earlier response was lost or the process restarted: the lease is held.
        const isOwn = current?.value === holder;
        if (current === undefined || (!applied && !isOwn)) {
            leaseId = undefined;
            return undefined;
        }
        term = current.revision;
        renewedAt = startedAt;
        return term;
    }

    function abandon(): void {
        leaseId = undefined;
        term = undefined;
    }
}

/** Fraction of the lease's time to live after which it is renewed. */
const RENEWAL_FRACTION = 0.3;
