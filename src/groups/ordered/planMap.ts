import { buildList } from "../../utils/list.js";
import type { ExpertMap } from "./RankReport.js";

/** Bounds of a change of the map. */
export interface PlanLimits {
    /** Experts that a rank holds in a set at most. */
    placements: number;
    /** Experts in a set that may be new to a rank. */
    reserve: number;
    /** Gain in the objective that a copied expert must bring, as a part of the objective. */
    leastGainPerCopy: number;
}

/** A plan for one set of layers. */
export interface SetPlan {
    experts: number[][];
    /** Load of the most loaded rank over the mean, before and after. */
    before: number;
    after: number;
    /** Experts to copy. */
    copies: number;
}

/** Power of the ranks' loads that is summed up: the most loaded ranks decide, and the others still give a direction. */
const POWER = 8;
/** Most loaded ranks from which experts are moved, and least loaded ranks that take them, in one look. */
const LOOKED_AT = 4;
const MAX_MOVES = 400;

/** A small change of a placement: experts added to and removed from ranks. */
type Move = readonly { rank: number; expert: number; isAdded: boolean }[];

/** State of the search for one set. */
interface SearchState {
    ranks: Set<number>[];
    replicas: number[];
    loads: number[];
    /** Holders of each expert. */
    holders: Set<number>[];
    original: readonly ReadonlySet<number>[];
    copies: number[];
    expertLoads: readonly number[];
    limits: PlanLimits;
}

/**
 * Plans a better placement of one set's experts, by the small changes that lower the load of the most loaded ranks most.
 * @param current - Experts by rank.
 * @param expertLoads - Load of each expert.
 * @param limits - Bounds of the change.
 */
export function planSet(
    current: readonly (readonly number[])[],
    expertLoads: readonly number[],
    limits: PlanLimits,
): SetPlan {
    const state = createState(current, expertLoads, limits);
    const mean = expertLoads.reduce((sum, load) => sum + load, 0) / current.length;
    const before = computeRatio(state.loads, mean);
    if (mean > 0) {
        let moves = 0;
        while (moves < MAX_MOVES && applyBestMove(state, mean)) {
            moves++;
        }
    }
    return {
        experts: state.ranks.map(experts => [...experts].sort((left, right) => left - right)),
        before,
        after: computeRatio(state.loads, mean),
        copies: state.copies.reduce((sum, count) => sum + count, 0),
    };
}

/**
 * Computes the load of the most loaded rank over the mean.
 * @param current - Experts by rank.
 * @param expertLoads - Load of each expert.
 */
export function computeSetRatio(current: readonly (readonly number[])[], expertLoads: readonly number[]): number {
    const mean = expertLoads.reduce((sum, load) => sum + load, 0) / current.length;
    return computeRatio(
        createState(current, expertLoads, { placements: 0, reserve: 0, leastGainPerCopy: 0 }).loads,
        mean,
    );
}

/** Gets the experts by rank in one set of a map. */
export function getSet(map: ExpertMap, set: number): readonly (readonly number[])[] {
    return map[set] ?? [];
}

function computeRatio(loads: readonly number[], mean: number): number {
    return mean === 0 ? 1 : Math.max(...loads) / mean;
}

function createState(
    current: readonly (readonly number[])[],
    expertLoads: readonly number[],
    limits: PlanLimits,
): SearchState {
    const ranks = current.map(experts => new Set(experts));
    const holders = buildList(expertLoads.length, () => new Set<number>());
    ranks.forEach((experts, rank) => experts.forEach(expert => holders[expert]?.add(rank)));
    const replicas = holders.map(ofExpert => ofExpert.size);
    const loads = ranks.map(experts =>
        [...experts].reduce((sum, expert) => sum + (expertLoads[expert] ?? 0) / (replicas[expert] ?? 1), 0),
    );
    return {
        ranks,
        replicas,
        loads,
        holders,
        original: current.map(experts => new Set(experts)),
        copies: current.map(() => 0),
        expertLoads,
        limits,
    };
}

function applyBestMove(state: SearchState, mean: number): boolean {
    const objective = state.loads.reduce((sum, load) => sum + computeCost(load, mean), 0);
    const order = state.loads.map((load, rank) => rank);
    order.sort((left, right) => (state.loads[right] ?? 0) - (state.loads[left] ?? 0));
    const heavy = order.slice(0, LOOKED_AT);
    const light = order.slice(-2 * LOOKED_AT).reverse();
    let best: Move | undefined;
    let bestGain = 0;
    for (const move of generateMoves(state, heavy, light)) {
        const gain =
            computeGain(state, move, mean) - state.limits.leastGainPerCopy * objective * countCopies(state, move);
        if (gain > bestGain) {
            best = move;
            bestGain = gain;
        }
    }
    if (best === undefined || bestGain < LEAST_GAIN * objective) {
        return false;
    }
    applyMove(state, best);
    return true;
}

const LEAST_GAIN = 1e-4;

function computeCost(load: number, mean: number): number {
    return (load / mean) ** POWER;
}

function* generateMoves(state: SearchState, heavy: readonly number[], light: readonly number[]): Generator<Move> {
    for (const from of heavy) {
        for (const expert of [...(state.ranks[from] ?? [])]) {
            if ((state.replicas[expert] ?? 0) > 1) {
                yield [{ rank: from, expert, isAdded: false }];
            }
            for (const to of light) {
                if (to !== from && state.ranks[to]?.has(expert) === false) {
                    yield* generateTransfers(state, from, to, expert);
                }
            }
        }
    }
}

/** Ways in which an expert of one rank comes to another one as well, or in its place. */
function* generateTransfers(state: SearchState, from: number, to: number, expert: number): Generator<Move> {
    const target = state.ranks[to] ?? new Set();
    const added = { rank: to, expert, isAdded: true };
    const removed = { rank: from, expert, isAdded: false };
    if (!canAdd(state, to, expert)) {
        return;
    }
    if (target.size < state.limits.placements) {
        yield [added];
        yield [added, removed];
    }
    for (const other of [...target]) {
        const dropped = { rank: to, expert: other, isAdded: false };
        if ((state.replicas[other] ?? 0) > 1) {
            yield [added, dropped];
            yield [added, removed, dropped];
        }
        if (state.ranks[from]?.has(other) === false && canAdd(state, from, other)) {
            yield [added, removed, dropped, { rank: from, expert: other, isAdded: true }];
        }
    }
}

function canAdd(state: SearchState, rank: number, expert: number): boolean {
    return state.original[rank]?.has(expert) === true || (state.copies[rank] ?? 0) < state.limits.reserve;
}

function countCopies(state: SearchState, move: Move): number {
    return move.filter(part => part.isAdded && state.original[part.rank]?.has(part.expert) === false).length;
}

/** Computes how much a move lowers the objective; only the ranks that it touches count. */
function computeGain(state: SearchState, move: Move, mean: number): number {
    const touched = new Set<number>();
    for (const part of move) {
        touched.add(part.rank);
        state.holders[part.expert]?.forEach(rank => touched.add(rank));
    }
    const before = sumCosts(state, touched, mean);
    applyMove(state, move);
    const after = sumCosts(state, touched, mean);
    applyMove(
        state,
        [...move].reverse().map(part => ({ ...part, isAdded: !part.isAdded })),
    );
    return before - after;
}

function sumCosts(state: SearchState, ranks: ReadonlySet<number>, mean: number): number {
    let sum = 0;
    ranks.forEach(rank => (sum += computeCost(state.loads[rank] ?? 0, mean)));
    return sum;
}

function applyMove(state: SearchState, move: Move): void {
    for (const { rank, expert, isAdded } of move) {
        const holders = state.holders[expert] ?? new Set<number>();
        const load = state.expertLoads[expert] ?? 0;
        const isNew = state.original[rank]?.has(expert) === false;
        changeShares(state, holders, -load / Math.max(1, holders.size));
        if (isAdded) {
            holders.add(rank);
            state.ranks[rank]?.add(expert);
        } else {
            holders.delete(rank);
            state.ranks[rank]?.delete(expert);
        }
        state.replicas[expert] = holders.size;
        changeShares(state, holders, load / Math.max(1, holders.size));
        if (isNew) {
            state.copies[rank] = (state.copies[rank] ?? 0) + (isAdded ? 1 : -1);
        }
    }
}

function changeShares(state: SearchState, holders: ReadonlySet<number>, share: number): void {
    holders.forEach(rank => (state.loads[rank] = (state.loads[rank] ?? 0) + share));
}
