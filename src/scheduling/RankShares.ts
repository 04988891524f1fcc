import { WORK_RANKS, type WorkRank } from "../config/WorkRank.js";

/** Share of capacity that each rank of work keeps under a flood of the others. */
export type RankFloors = Record<WorkRank, number>;

/** Account of the service that each rank of work has had. */
export interface RankShares {
    /** Finds the rank furthest below its floor among those that have work. */
    findBelowFloor(backlogged: readonly WorkRank[]): WorkRank | undefined;
    recordService(rank: WorkRank, cost: number): void;
}

const DECAY = 0.995;

/**
 * Creates the account. Service is counted with a decay, so that a rank that was idle gains no claim on the past.
 * @param floors - Floor of each rank.
 */
export function createRankShares(floors: RankFloors): RankShares {
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
            served.set(other, getServed(other) * DECAY);
        }
        served.set(rank, getServed(rank) + cost);
    }

    function getServed(rank: WorkRank): number {
        return served.get(rank) ?? 0;
    }
}
