import { WORK_RANKS, WorkRank, mapRanks } from "../config/WorkRank.js";
import type { RankFloors } from "./RankServiceTracker.js";
import type { WorkItem } from "./WorkQueue.js";

/** Properties of a request that its team's share depends on. */
export type UsageRequest = Pick<WorkItem, "team" | "weight" | "rank" | "cost">;

/** Tracks the capacity that the admitted work of each team uses. */
export interface TeamUsage {
    /**
     * Checks whether a request fits into its team's share.
     * Only the team's work of the same or more urgent ranks counts against it,
     * and it always fits while its rank is below its floor of the share.
     */
    isWithinShare(request: UsageRequest, now: number): boolean;
    recordUse(request: UsageRequest, now: number): void;
    /** Releases the usage of a request that was not run. */
    releaseUse(request: UsageRequest, now: number): void;
    /** Computes the load by admitted work of a rank, as a share of capacity. */
    computeLoad(rank: WorkRank, now: number): number;
}

/** Options of the usage tracker. */
export interface TeamUsageOptions {
    /** Gets the cost that the endpoint serves per millisecond. */
    getCapacity: () => number;
    floors: RankFloors;
}

interface DecayingUsage {
    weight: number;
    byRank: Record<WorkRank, number>;
    at: number;
    averagingMs: number;
}

/** Time constant of a team's decaying usage, in milliseconds. */
const AVERAGING_MS = 10_000;
/** Time constant of a rank's decaying load, in milliseconds. */
const LOAD_AVERAGING_MS = 30_000;
/** Multiple of its share that a team may use before its work counts as over its share. */
const HEADROOM_FACTOR = 1.1;
/** Requests of mean cost that a team may send in a burst. */
const BURST_REQUESTS = 2;
const COST_SMOOTHING = 0.02;
const WEIGHT_REFRESH_MS = 1_000;
const IDLE_USE_FACTOR = 0.01;

/**
 * Creates a tracker without recorded usage.
 * @param options - Capacity and floors.
 */
export function createTeamUsage(options: TeamUsageOptions): TeamUsage {
    const teams = new Map<string, DecayingUsage>();
    const total: DecayingUsage = createUse(1, 0, LOAD_AVERAGING_MS);
    let activeWeight = 0;
    let refreshedAt = Number.NEGATIVE_INFINITY;
    let meanCost = 0;
    return { isWithinShare, recordUse, releaseUse, computeLoad };

    function isWithinShare(request: UsageRequest, now: number): boolean {
        const { team, weight, rank, cost } = request;
        const use = getUse(team, weight, now);
        meanCost = meanCost === 0 ? cost : meanCost + COST_SMOOTHING * (cost - meanCost);
        updateWeight(now);
        const share =
            (weight / Math.max(weight, activeWeight)) * options.getCapacity() * AVERAGING_MS * HEADROOM_FACTOR;
        const burst = BURST_REQUESTS * meanCost;
        const isInShare = sumUpTo(use, rank) + cost <= share * computeUsableShare(rank) + burst;
        return isInShare || use.byRank[rank] + cost <= share * options.floors[rank];
    }

    /** Computes the part of a share that a rank may use: urgent work leaves the floors of the other ranks free. */
    function computeUsableShare(rank: WorkRank): number {
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

    function getUse(team: string, weight: number, now: number): DecayingUsage {
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

    /** Sums the weights of the teams with recent usage, and evicts the others. */
    function updateWeight(now: number): void {
        if (now - refreshedAt < WEIGHT_REFRESH_MS) {
            return;
        }
        refreshedAt = now;
        activeWeight = 0;
        for (const [team, use] of teams) {
            applyDecay(use, now);
            if (sumUpTo(use, undefined) < IDLE_USE_FACTOR * meanCost) {
                teams.delete(team);
            } else {
                activeWeight += use.weight;
            }
        }
    }
}

function createUse(weight: number, now: number, averagingMs: number): DecayingUsage {
    return { weight, byRank: mapRanks(() => 0), at: now, averagingMs };
}

function applyDecay(use: DecayingUsage, now: number): void {
    const factor = Math.exp(-(now - use.at) / use.averagingMs);
    use.at = now;
    for (const rank of WORK_RANKS) {
        use.byRank[rank] *= factor;
    }
}

/** Sums the usage by a rank and the more urgent ones, or by all ranks if none is given. */
function sumUpTo(use: DecayingUsage, last: WorkRank | undefined): number {
    let sum = 0;
    for (const rank of WORK_RANKS) {
        sum += use.byRank[rank];
        if (rank === last) {
            break;
        }
    }
    return sum;
}
