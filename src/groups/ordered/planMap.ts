import { createSetSearch } from "./SetSearch.js";

/** Bounds of a change of the map. */
export interface PlanLimits {
    /** Maximum number of experts of a set at a rank. */
    placements: number;
    /** Maximum number of experts of a set that may be copied to a rank. */
    reserve: number;
    /** Slowdown factor of each rank; a slow rank is assigned less load. */
    paces?: readonly number[];
    /** Minimum gain per copied expert, as a multiple of a rank's mean share of the objective. */
    leastGainPerCopy: number;
}

/** A plan for one set of layers. */
export interface SetPlan {
    /** Experts by rank. */
    experts: number[][];
    /** Load of the most loaded rank over the mean, before and after. */
    before: number;
    after: number;
    /** Experts to copy. */
    copies: number;
}

const MAX_MOVES = 400;

/**
 * Plans a better placement of one set's experts, by local search from the current one.
 * @param current - Experts by rank.
 * @param expertLoads - Load of each expert.
 * @param limits - Bounds of the change.
 */
export function planSet(
    current: readonly (readonly number[])[],
    expertLoads: readonly number[],
    limits: PlanLimits,
): SetPlan {
    const search = createSetSearch(current, expertLoads, limits);
    const before = search.getRatio();
    let moves = 0;
    while (moves < MAX_MOVES && search.applyBestMove()) {
        moves++;
    }
    return { experts: search.listExperts(), before, after: search.getRatio(), copies: search.countCopies() };
}

/**
 * Computes the load of the most loaded rank over the mean.
 * @param current - Experts by rank.
 * @param expertLoads - Load of each expert.
 * @param paces - Slowdown factor of each rank.
 */
export function computeSetRatio(
    current: readonly (readonly number[])[],
    expertLoads: readonly number[],
    paces?: readonly number[],
): number {
    return createSetSearch(current, expertLoads, { placements: 0, reserve: 0, leastGainPerCopy: 0, paces }).getRatio();
}
