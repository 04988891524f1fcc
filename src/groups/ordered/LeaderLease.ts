import { ErrorCode, hasErrorCode } from "../../errors/index.js";
import { type KeyValueService, type StorePosition, type SwapAnswer, UNKNOWN_ERA } from "../../platform/index.js";
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
        const answer = await writeHolder(leaseId);
        if (answer?.applied !== true || answer.current === undefined) {
            leaseId = undefined;
            return undefined;
        }
        term = computeTerm({ era: answer.era, revision: answer.current.revision });
        renewedAt = startedAt;
        return term;
    }

    /**
     * Writes this process's name. If the key holds it already, an earlier response was lost, the process has restarted, or the
     * entry comes from an old copy of the store: it may be tied to another lease, so it is written anew.
     * @returns Undefined if the lease has ended.
     */
    async function writeHolder(lease: string): Promise<SwapAnswer | undefined> {
        const swap = { key, expectedRevision: 0, value: holder, leaseId: lease };
        try {
            const first = await service.swapEntry(swap);
            return first.applied || first.current?.value !== holder
                ? first
                : await service.swapEntry({ ...swap, expectedRevision: first.current.revision });
        } catch (error) {
            if (hasErrorCode(error, ErrorCode.LeaseEnded)) {
                return undefined;
            }
            throw error;
        }
    }

    function abandon(): void {
        leaseId = undefined;
        term = undefined;
    }
}

/** Number of revisions that an era may have: 90 years of 3,000 writes a second. Terms are exact for a thousand eras. */
const REVISIONS_PER_ERA = 2 ** 43;

/** Computes a term, which rises with the era first, as a restored store gives out revisions again. */
function computeTerm({ era, revision }: StorePosition): number {
    return (era - UNKNOWN_ERA) * REVISIONS_PER_ERA + revision;
}

/** Fraction of the lease's time to live after which it is renewed. */
const RENEWAL_FRACTION = 0.3;
