import { WORK_RANKS, type WorkRank } from "../config/WorkRank.js";

/** Share of capacity that each rank of work is guaranteed under overload by the others. */
export type RankFloors = Record<WorkRank, number>;

/** Tracks the service that each rank of work has received. */
export interface RankServiceTracker {
    /** Finds the rank furthest below its floor among those with queued work. */
    findBelowFloor(backlogged: readonly WorkRank[]): WorkRank | undefined;
    recordService(rank: WorkRank, cost: number): void;
}

const DECAY_PER_REQUEST = 0.995;

/**
 * Creates a tracker. Recorded service decays, so that a rank does not accumulate credit while it is idle.
 * @param floors - Floor of each rank.
 */
export function createRankServiceTracker(floors: RankFloors): RankServiceTracker {
    const served = new Map<WorkRank, number>(WORK_RANKS.map(rank => [rank, 0]));
    return { findBelowFloor, recordService };

    function findBelowFloor(backlogged: readonly WorkRank[]): WorkRank | undefined {
        const total = WORK_RANKS.reduce((sum, rank) => sum + getServed(rank), 0);
        let found: WorkRank | undefined;
        let lowest = 1;
        for (const rank of backlogged) {
            const level = floors[rank] === 0 ? 1 : getServed(rank) / (floors[rank] * total);
            if (level < lowest) {
                found = rank;
                lowest = level;
            }
        }
        return found;
    }

    function recordService(rank: WorkRank, cost: number): void {
        for (const other of WORK_RANKS) {
            served.set(other, getServed(other) * DECAY_PER_REQUEST);
        }
        served.set(rank, getServed(rank) + cost);
    }

    function getServed(rank: WorkRank): number {
        return served.get(rank) ?? 0;
    }
}
