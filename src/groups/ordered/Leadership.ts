import type { KeyValueService } from "../../platform/index.js";
import { readMonotonicMs } from "../../utils/time.js";

/** Office of the coordinator of a group, held by a lease of the platform's store. */
export interface Leadership {
    /**
     * Tries to win the office, or to keep it.
     * @returns Term of the office, higher than all earlier ones; undefined if another process holds it.
     */
    holdOffice(): Promise<number | undefined>;
    /** Gets the term that was won last; undefined before the first. */
    getTerm(): number | undefined;
    /** Gives the office up; its key goes with the lease. */
    leaveOffice(): void;
}

/** Options of an office. */
export interface LeadershipOptions {
    service: KeyValueService;
    key: string;
    /** Name of this process. */
    holder: string;
    ttlMs: number;
}

/**
 * Creates a candidate for an office.
 * @param options - Key and lease.
 */
export function createLeadership(options: LeadershipOptions): Leadership {
    const { service, key, holder } = options;
    let leaseId: string | undefined;
    let term: number | undefined;
    let renewedAt = Number.NEGATIVE_INFINITY;
    return { holdOffice, getTerm: () => term, leaveOffice };

    async function holdOffice(): Promise<number | undefined> {
        if (term !== undefined && leaseId !== undefined) {
            if (readMonotonicMs() - renewedAt < options.ttlMs * RENEW_PART) {
                return term;
            }
            const startedAt = readMonotonicMs();
            if (await service.renewLease(leaseId)) {
                renewedAt = startedAt;
                return term;
            }
            leaveOffice();
        }
        return takeOffice();
    }

    async function takeOffice(): Promise<number | undefined> {
        const startedAt = readMonotonicMs();
        leaseId ??= await service.grantLease(options.ttlMs);
        const { applied, current } = await service.swapEntry({ key, expectedRevision: 0, value: holder, leaseId });
        // The own name on the key means that an earlier answer was lost or this process has restarted: the office is held.
        const isOwn = current?.value === holder;
        if (current === undefined || (!applied && !isOwn)) {
            leaseId = undefined;
            return undefined;
        }
        term = current.revision;
        renewedAt = startedAt;
        return term;
    }

    function leaveOffice(): void {
        leaseId = undefined;
        term = undefined;
    }
}

/** Part of the lease after which it is renewed. */
const RENEW_PART = 0.3;
