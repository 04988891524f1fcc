import { buildList } from "../utils/list.js";

/** Where the experts of a layer are: for each rank the experts in its slots. */
export type Placement = readonly (readonly number[])[];

/** Sizes of a group. */
export interface GroupSize {
    ranks: number;
    slotsPerRank: number;
}

/**
 * Computes how many replicas each expert gets: every expert one, and each further slot
 * goes to the expert whose replicas carry most.
 * @param loads - Load of each expert.
 * @param slots - Slots in all.
 * @param ranks - Ranks of the group; an expert has at most one replica on each.
 */
export function computeReplicas(loads: readonly number[], slots: number, ranks: number): number[] {
    const replicas = loads.map(() => 1);
    for (let spare = slots - loads.length; spare > 0; spare--) {
        let hottest = -1;
        let most = -1;
        loads.forEach((load, expert) => {
            const count = replicas[expert] ?? 1;
            if (count < ranks && load / count > most) {
                hottest = expert;
                most = load / count;
            }
        });
        if (hottest === -1) {
            break;
        }
        replicas[hottest] = (replicas[hottest] ?? 1) + 1;
    }
    return replicas;
}

/**
 * Computes a placement from scratch: the largest replicas first, each to the rank with the least load and a free slot.
 * @param loads - Load of each expert.
 * @param size - Size of the group.
 */
export function computePlacement(loads: readonly number[], size: GroupSize): Placement {
    const replicas = computeReplicas(loads, size.ranks * size.slotsPerRank, size.ranks);
    const pieces = loads.flatMap((load, expert) => {
        const count = replicas[expert] ?? 1;
        return new Array<Piece>(count).fill({ expert, load: load / count });
    });
    pieces.sort((left, right) => right.load - left.load);
    const slots: number[][] = buildList(size.ranks, () => []);
    const sums = new Array<number>(size.ranks).fill(0);
    for (const piece of pieces) {
        const rank = findLightestRank(slots, sums, piece.expert, size.slotsPerRank);
        slots[rank]?.push(piece.expert);
        sums[rank] = (sums[rank] ?? 0) + piece.load;
    }
    return slots;
}

interface Piece {
    expert: number;
    load: number;
}

function findLightestRank(
    slots: readonly number[][],
    sums: readonly number[],
    expert: number,
    perRank: number,
): number {
    let lightest = -1;
    let fallback = -1;
    slots.forEach((experts, rank) => {
        if (experts.length >= perRank) {
            return;
        }
        const sum = sums[rank] ?? 0;
        if (fallback === -1 || sum < (sums[fallback] ?? 0)) {
            fallback = rank;
        }
        if (!experts.includes(expert) && (lightest === -1 || sum < (sums[lightest] ?? 0))) {
            lightest = rank;
        }
    });
    return lightest === -1 ? fallback : lightest;
}

/**
 * Computes the load of each rank; an expert's load is split between its replicas.
 * @param placement - Placement.
 * @param loads - Load of each expert.
 */
export function computeRankLoads(placement: Placement, loads: readonly number[]): number[] {
    const counts = new Array<number>(loads.length).fill(0);
    placement.forEach(experts => experts.forEach(expert => (counts[expert] = (counts[expert] ?? 0) + 1)));
    return placement.map(experts =>
        experts.reduce((sum, expert) => sum + (loads[expert] ?? 0) / (counts[expert] ?? 1), 0),
    );
}

/**
 * Computes how far the ranks diverge: the largest load over the mean.
 * @param placement - Placement.
 * @param loads - Load of each expert.
 */
export function computeDivergence(placement: Placement, loads: readonly number[]): number {
    const rankLoads = computeRankLoads(placement, loads);
    const mean = rankLoads.reduce((sum, load) => sum + load, 0) / rankLoads.length;
    return mean === 0 ? 1 : Math.max(...rankLoads) / mean;
}

/**
 * Computes the least divergence that the slots allow for some loads: no rank carries less than
 * the largest replica, nor less than the mean.
 * @param loads - Load of each expert.
 * @param size - Size of the group.
 */
export function computeLowerBound(loads: readonly number[], size: GroupSize): number {
    const replicas = computeReplicas(loads, size.ranks * size.slotsPerRank, size.ranks);
    const mean = loads.reduce((sum, load) => sum + load, 0) / size.ranks;
    const largest = Math.max(...loads.map((load, expert) => load / (replicas[expert] ?? 1)));
    return mean === 0 ? 1 : Math.max(1, largest / mean);
}

/**
 * Gives each set of experts to the rank that holds most of it already, since the ranks of a group are alike.
 * @param from - Placement in force.
 * @param to - New placement, with its ranks in any order.
 */
export function matchRanks(from: Placement, to: Placement): Placement {
    const pairs = to.flatMap((experts, set) =>
        from.map((held, rank) => ({ set, rank, shared: experts.filter(expert => held.includes(expert)).length })),
    );
    pairs.sort((left, right) => right.shared - left.shared);
    const matched = new Map<number, readonly number[]>();
    const takenSets = new Set<number>();
    for (const { set, rank } of pairs) {
        if (!matched.has(rank) && !takenSets.has(set)) {
            matched.set(rank, to[set] ?? []);
            takenSets.add(set);
        }
    }
    return from.map((held, rank) => matched.get(rank) ?? held);
}

/**
 * Counts the weights that a change of placement fetches.
 * @param from - Placement in force.
 * @param to - New placement.
 */
export function countFetches(from: Placement, to: Placement): number {
    return to.reduce((sum, experts, rank) => {
        const held = [...(from[rank] ?? [])];
        const missing = experts.filter(expert => {
            const place = held.indexOf(expert);
            if (place !== -1) {
                held.splice(place, 1);
            }
            return place === -1;
        });
        return sum + missing.length;
    }, 0);
}
