import { WORK_RANKS, WorkRank } from "../config/WorkRank.js";

/** Share of capacity that each rank of work keeps under a flood of the others. */
export type RankFloors = Record<WorkRank, number>;

/** Decides which rank of work is served next. */
export interface RankShares {
    /** Chooses among the ranks that have work: one below its floor, else the most urgent. */
    chooseRank(backlogged: readonly WorkRank[]): WorkRank | undefined;
    recordService(rank: WorkRank, cost: number): void;
    /** Computes the share that a rank can count on beside the other backlogged ranks. */
    computeShare(rank: WorkRank, backlogged: readonly WorkRank[]): number;
}

const DECAY = 0.995;
const MIN_SHARE = 0.01;

/**
 * Creates the accounts of the ranks of work. Service is counted with a decay,
 * so that a rank that was idle gains no claim on the past.
 * @param floors - Floor of each rank.
 */
export function createRankShares(floors: RankFloors): RankShares {
    const served = new Map<WorkRank, number>(WORK_RANKS.map(rank => [rank, 0]));
    return { chooseRank, recordService, computeShare };

    function chooseRank(backlogged: readonly WorkRank[]): WorkRank | undefined {
        const total = sumServed();
        const below = backlogged.filter(rank => rank !== WorkRank.Urgent && getServed(rank) < floors[rank] * total);
        const mostBehind = below.sort((left, right) => computeLevel(left) - computeLevel(right))[0];
        return mostBehind ?? backlogged[0];
    }

    function computeLevel(rank: WorkRank): number {
        return getServed(rank) / floors[rank];
    }

    function recordService(rank: WorkRank, cost: number): void {
        for (const other of WORK_RANKS) {
            served.set(other, getServed(other) * DECAY);
        }
        served.set(rank, getServed(rank) + cost);
    }

    function computeShare(rank: WorkRank, backlogged: readonly WorkRank[]): number {
        const place = WORK_RANKS.indexOf(rank);
        const moreUrgent = backlogged.filter(other => WORK_RANKS.indexOf(other) < place);
        if (moreUrgent.length > 0) {
            return Math.max(MIN_SHARE, floors[rank]);
        }
        const lessUrgent = backlogged.filter(other => WORK_RANKS.indexOf(other) > place);
        const kept = lessUrgent.reduce((sum, other) => sum + floors[other], 0);
        return Math.max(MIN_SHARE, 1 - kept);
    }

    function getServed(rank: WorkRank): number {
        return served.get(rank) ?? 0;
    }

    function sumServed(): number {
        return WORK_RANKS.reduce((sum, rank) => sum + getServed(rank), 0);
    }
}
