import { WORK_RANKS, WorkRank, mapRanks } from "../config/WorkRank.js";
import type { RankFloors } from "./RankShares.js";
import type { WorkItem } from "./WorkQueue.js";

/** Facts of a request that matter for its team's share. */
export type UsageRequest = Pick<WorkItem, "team" | "weight" | "rank" | "cost">;

/** Use of capacity by a team's admitted work. */
export interface TeamUsage {
    /**
     * Tells whether a request fits into its team's share.
     * Work of a rank is held only against the team's work of the same or more urgent ranks,
     * and always fits into the floor that its rank has of the share.
     */
    isWithinShare(request: UsageRequest, now: number): boolean;
    recordUse(request: UsageRequest, now: number): void;
    /** Gives back the share of a request that was not run after all. */
    releaseUse(request: UsageRequest, now: number): void;
    /** Load by admitted work of a rank, as a share of capacity. */
    computeLoad(rank: WorkRank, now: number): number;
}

/** Options of the usage. */
export interface TeamUsageOptions {
    /** Cost that the endpoint serves in a millisecond. */
    getCapacity: () => number;
    floors: RankFloors;
}

interface Use {
    weight: number;
    byRank: Record<WorkRank, number>;
    at: number;
    averagingMs: number;
}

/** Time over which a team's use is averaged, in milliseconds. */
const AVERAGING_MS = 10_000;
/** Time over which the load of a rank is averaged, in milliseconds. */
const LOAD_AVERAGING_MS = 30_000;
/** A team may use this multiple of its share before its work counts as surplus. */
const HEADROOM = 1.1;
/** Requests of the usual size that a team may send at once. */
const BURST_REQUESTS = 2;
const COST_SMOOTHING = 0.02;
const REFRESH_MS = 1_000;
const IDLE_USE = 0.01;

/**
 * Creates an account without use.
 * @param options - Capacity.
 */
export function createTeamUsage(options: TeamUsageOptions): TeamUsage {
    const teams = new Map<string, Use>();
    const total: Use = createUse(1, 0, LOAD_AVERAGING_MS);
    let activeWeight = 0;
    let refreshedAt = Number.NEGATIVE_INFINITY;
    let usualCost = 0;
    return { isWithinShare, recordUse, releaseUse, computeLoad };

    function isWithinShare(request: UsageRequest, now: number): boolean {
        const { team, weight, rank, cost } = request;
        const use = getUse(team, weight, now);
        usualCost = usualCost === 0 ? cost : usualCost + COST_SMOOTHING * (cost - usualCost);
        updateWeight(now);
        const share = (weight / Math.max(weight, activeWeight)) * options.getCapacity() * AVERAGING_MS * HEADROOM;
        const burst = BURST_REQUESTS * usualCost;
        const isInShare = sumUpTo(use, rank) + cost <= share * computePart(rank) + burst;
        return isInShare || use.byRank[rank] + cost <= share * options.floors[rank];
    }

    /** Urgent work leaves the floors of the other ranks out of its part of a share. */
    function computePart(rank: WorkRank): number {
        const others = WORK_RANKS.filter(other => other !== WorkRank.Urgent);
        const kept = others.reduce((sum, other) => sum + options.floors[other], 0);
        return rank === WorkRank.Urgent ? 1 - kept : 1;
    }

    function recordUse(request: UsageRequest, now: number): void {
        changeUse(request, request.cost, now);
    }

    function releaseUse(request: UsageRequest, now: number): void {
        changeUse(request, -request.cost, now);
    }

    function changeUse(request: UsageRequest, cost: number, now: number): void {
        const use = getUse(request.team, request.weight, now);
        applyDecay(total, now);
        for (const account of [use, total]) {
            account.byRank[request.rank] = Math.max(0, account.byRank[request.rank] + cost);
        }
    }

    function computeLoad(rank: WorkRank, now: number): number {
        applyDecay(total, now);
        return total.byRank[rank] / (LOAD_AVERAGING_MS * options.getCapacity());
    }

    function getUse(team: string, weight: number, now: number): Use {
        const known = teams.get(team);
        if (known === undefined) {
            const use = createUse(weight, now, AVERAGING_MS);
            teams.set(team, use);
            activeWeight += weight;
            return use;
        }
        known.weight = weight;
        applyDecay(known, now);
        return known;
    }

    /** Sums the weights of the teams that have used capacity of late, and forgets the others. */
    function updateWeight(now: number): void {
        if (now - refreshedAt < REFRESH_MS) {
            return;
        }
        refreshedAt = now;
        activeWeight = 0;
        for (const [team, use] of teams) {
            applyDecay(use, now);
            if (sumUpTo(use, undefined) < IDLE_USE * usualCost) {
                teams.delete(team);
            } else {
                activeWeight += use.weight;
            }
        }
    }
}

function createUse(weight: number, now: number, averagingMs: number): Use {
    return { weight, byRank: mapRanks(() => 0), at: now, averagingMs };
}

function applyDecay(use: Use, now: number): void {
    const factor = Math.exp(-(now - use.at) / use.averagingMs);
    use.at = now;
    for (const rank of WORK_RANKS) {
        use.byRank[rank] *= factor;
    }
}

/** Sums the use by a rank and the more urgent ones; all ranks if none is given. */
function sumUpTo(use: Use, last: WorkRank | undefined): number {
    let sum = 0;
    for (const rank of WORK_RANKS) {
        sum += use.byRank[rank];
        if (rank === last) {
            break;
        }
    }
    return sum;
}
