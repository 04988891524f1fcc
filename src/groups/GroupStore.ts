import { z } from "zod";
import { type KeyValueService, swapSurely } from "../platform/index.js";
import { createId } from "../utils/digest.js";
import type { Placement } from "./Placement.js";
import type { MapSwitch } from "./RankPermit.js";

const scheduleSchema = z.object({
    epoch: z.number().int(),
    schedule: z.array(z.object({ afterStep: z.number().int(), version: z.number().int() })),
    /** Placement of each version that may still be in use. */
    placements: z.record(z.string(), z.array(z.array(z.number().int()))),
    writeId: z.string(),
});

/** What the platform keeps of a group. */
export interface KeptSchedule {
    epoch: number;
    schedule: readonly MapSwitch[];
    placements: Record<string, Placement>;
    /** Revision of the entry; 0 before the first write. */
    revision: number;
}

/** Entries of a group in the platform's key-value service. */
export interface GroupStore {
    /**
     * Tries to become the coordinator.
     * @returns The new epoch; undefined if another one holds the lease.
     */
    takeLease(host: string): Promise<HeldLease | undefined>;
    renewLease(lease: HeldLease): Promise<boolean>;
    readSchedule(): Promise<KeptSchedule>;
    /**
     * Writes the schedule if nobody else has since.
     * @returns New revision; undefined if another coordinator was faster.
     */
    writeSchedule(kept: KeptSchedule): Promise<number | undefined>;
}

/** Lease of a coordinator. It limits how many try; safety rests on the epoch alone. */
export interface HeldLease {
    leaseId: string;
    epoch: number;
}

const LEASE_MS = 3_000;

/**
 * Creates the store of a group.
 * @param service - Key-value service.
 * @param group - Name of the group.
 */
export function createGroupStore(service: KeyValueService, group: string): GroupStore {
    const coordinatorKey = `groups/${group}/coordinator`;
    const scheduleKey = `groups/${group}/schedule`;
    return { takeLease, renewLease: lease => service.renewLease(lease.leaseId), readSchedule, writeSchedule };

    async function takeLease(host: string): Promise<HeldLease | undefined> {
        if ((await service.getEntry(coordinatorKey)) !== undefined) {
            return undefined;
        }
        const leaseId = await service.grantLease(LEASE_MS);
        const value = `${host}/${createId("hold")}`;
        const swap = { key: coordinatorKey, expectedRevision: 0, value, leaseId };
        const answer = await swapSurely(service, swap, entry => entry.value === value);
        return answer.applied ? { leaseId, epoch: answer.current?.revision ?? 0 } : undefined;
    }

    async function readSchedule(): Promise<KeptSchedule> {
        const entry = await service.getEntry(scheduleKey);
        if (entry === undefined) {
            return { epoch: 0, schedule: [], placements: {}, revision: 0 };
        }
        return { ...scheduleSchema.parse(JSON.parse(entry.value)), revision: entry.revision };
    }

    async function writeSchedule(kept: KeptSchedule): Promise<number | undefined> {
        const { epoch, schedule, placements, revision } = kept;
        const value = JSON.stringify({ epoch, schedule, placements, writeId: createId("write") });
        const swap = { key: scheduleKey, expectedRevision: revision, value };
        const answer = await swapSurely(service, swap, entry => entry.value === value);
        return answer.applied ? answer.current?.revision : undefined;
    }
}
