import type { PlanLimits } from "./planMap.js";

/** Greedy local search for a better placement of one set's experts. */
export interface SetSearch {
    /** Applies the move with the largest net gain; returns false if none is worth it. */
    applyBestMove(): boolean;
    /** Gets the load of the most loaded rank over the mean. */
    getRatio(): number;
    listExperts(): number[][];
    /** Counts the experts that are new to a rank. */
    countCopies(): number;
}

/** A move of the local search: adds, removes, transfers or swaps replicas of experts between two ranks. */
interface Move {
    /** Expert that leaves `from`, comes to `to`, or both. */
    expert: number;
    from: number;
    to: number;
    /** The expert leaves `from`. */
    isLeaving: boolean;
    /** The expert comes to `to`. */
    isComing: boolean;
    /** Expert that leaves `to`; -1 for none. */
    other: number;
    /** The other expert comes to `from`. */
    isSwap: boolean;
}

/** Number of most loaded ranks that are move sources, and of least loaded ranks that are move targets. */
const SOURCE_RANKS = 3;
const TARGET_RANKS = 8;
/** Minimum gain of a move, as a fraction of the objective. */
const MIN_RELATIVE_GAIN = 1e-4;

/**
 * Creates a search. The objective is the sum of the eighth powers of the ranks' times over the mean load: the slowest
 * ranks dominate, while the others still contribute a gradient.
 * @param current - Experts by rank.
 * @param expertLoads - Load of each expert.
 * @param limits - Bounds of the change.
 */
export function createSetSearch(
    current: readonly (readonly number[])[],
    expertLoads: readonly number[],
    limits: PlanLimits,
): SetSearch {
    const size = current.length;
    const total = expertLoads.reduce((sum, load) => sum + load, 0);
    const inverseMean = total === 0 ? 0 : size / total;
    const experts = current.map(ofRank => [...ofRank]);
    const originals = current.map(ofRank => new Set(ofRank));
    const holders: number[][] = expertLoads.map(() => []);
    experts.forEach((ofRank, rank) => ofRank.forEach(expert => holders[expert]?.push(rank)));
    const loads = new Float64Array(size);
    const paces = current.map((ofRank, rank) => Math.max(1, limits.paces?.[rank] ?? 1));
    holders.forEach((ranks, expert) => ranks.forEach(rank => addTo(loads, rank, getShare(expert, ranks.length))));
    const copies = new Int32Array(size);
    const deltas = new Float64Array(size);
    const touched: number[] = [];
    return {
        applyBestMove,
        getRatio: () => (inverseMean === 0 ? 1 : Math.max(...loads.map(getTime)) * inverseMean),
        listExperts: () => experts.map(ofRank => [...ofRank].sort((left, right) => left - right)),
        countCopies: () => copies.reduce((sum, count) => sum + count, 0),
    };

    /** Time that a rank takes for its load, in units of load at the usual pace. */
    function getTime(load: number, rank: number): number {
        return load * (paces[rank] ?? 1);
    }

    function getShare(expert: number, replicas: number): number {
        return replicas === 0 ? 0 : (expertLoads[expert] ?? 0) / replicas;
    }

    function getReplicas(expert: number): number {
        return holders[expert]?.length ?? 0;
    }

    function hasExpert(rank: number, expert: number): boolean {
        return experts[rank]?.includes(expert) === true;
    }

    function isNew(rank: number, expert: number): boolean {
        return originals[rank]?.has(expert) === false;
    }

    function canAdd(rank: number, expert: number): boolean {
        return !hasExpert(rank, expert) && (!isNew(rank, expert) || (copies[rank] ?? 0) < limits.reserve);
    }

    function applyBestMove(): boolean {
        if (inverseMean === 0) {
            return false;
        }
        const times = loads.map(getTime);
        const objective = times.reduce((sum, time) => sum + computeCost(time), 0);
        const order = [...loads.keys()].sort((left, right) => (times[right] ?? 0) - (times[left] ?? 0));
        const leastGainPerCopy = (limits.leastGainPerCopy * objective) / size;
        const light = order.slice(-TARGET_RANKS).reverse();
        let best: Move | undefined;
        let bestGain = MIN_RELATIVE_GAIN * objective;
        for (const from of order.slice(0, SOURCE_RANKS)) {
            scanMoves(from, light, move => {
                const gain = computeGain(move) - leastGainPerCopy * countNew(move);
                if (gain > bestGain) {
                    best = { ...move };
                    bestGain = gain;
                }
            });
        }
        if (best === undefined) {
            return false;
        }
        applyMove(best);
        return true;
    }

    /** Enumerates the moves that take load from a rank. `visit` always receives the same object. */
    function scanMoves(from: number, light: readonly number[], visit: (move: Move) => void): void {
        const move: Move = { expert: 0, from, to: 0, isLeaving: true, isComing: false, other: -1, isSwap: false };
        for (const expert of experts[from] ?? []) {
            move.expert = expert;
            if (getReplicas(expert) > 1) {
                offerMove(move, visit, { isLeaving: true, isComing: false });
            }
            for (const to of light) {
                if (to !== from && canAdd(to, expert)) {
                    move.to = to;
                    scanTransfers(move, visit);
                }
            }
        }
    }

    /** Enumerates the moves that replicate or transfer an expert to another rank. */
    function scanTransfers(move: Move, visit: (move: Move) => void): void {
        const ofTarget = experts[move.to] ?? [];
        if (ofTarget.length < limits.placements) {
            offerMove(move, visit, { isLeaving: false, isComing: true });
            offerMove(move, visit, { isLeaving: true, isComing: true });
        }
        for (const other of ofTarget) {
            if (getReplicas(other) > 1) {
                offerMove(move, visit, { isLeaving: false, isComing: true, other });
                offerMove(move, visit, { isLeaving: true, isComing: true, other });
            }
            if (canAdd(move.from, other)) {
                offerMove(move, visit, { isLeaving: true, isComing: true, other, isSwap: true });
            }
        }
    }

    function offerMove(
        move: Move,
        visit: (move: Move) => void,
        shape: { isLeaving: boolean; isComing: boolean; other?: number; isSwap?: boolean },
    ): void {
        move.isLeaving = shape.isLeaving;
        move.isComing = shape.isComing;
        move.other = shape.other ?? -1;
        move.isSwap = shape.isSwap === true;
        visit(move);
    }

    function countNew(move: Move): number {
        const coming = move.isComing && isNew(move.to, move.expert) ? 1 : 0;
        return coming + (move.isSwap && isNew(move.from, move.other) ? 1 : 0);
    }

    /** Computes how much a move lowers the objective, from the affected ranks only. */
    function computeGain(move: Move): number {
        addHolderDeltas(move.expert, move.isLeaving ? move.from : -1, move.isComing ? move.to : -1);
        if (move.other !== -1) {
            addHolderDeltas(move.other, move.to, move.isSwap ? move.from : -1);
        }
        let gain = 0;
        for (const rank of touched) {
            const delta = deltas[rank] ?? 0;
            if (delta !== 0) {
                const load = loads[rank] ?? 0;
                gain += computeCost(getTime(load, rank)) - computeCost(getTime(load + delta, rank));
                deltas[rank] = 0;
            }
        }
        touched.length = 0;
        return gain;
    }

    /** Accumulates the load deltas of removing an expert from one rank and adding it to another. */
    function addHolderDeltas(expert: number, leaving: number, coming: number): void {
        const ranks = holders[expert] ?? [];
        const after = ranks.length + (coming === -1 ? 0 : 1) - (leaving === -1 ? 0 : 1);
        const shareBefore = getShare(expert, ranks.length);
        const shareAfter = getShare(expert, after);
        for (const rank of ranks) {
            addDelta(rank, (rank === leaving ? 0 : shareAfter) - shareBefore);
        }
        if (coming !== -1) {
            addDelta(coming, shareAfter);
        }
    }

    function addDelta(rank: number, delta: number): void {
        touched.push(rank);
        addTo(deltas, rank, delta);
    }

    function applyMove(move: Move): void {
        moveExpert(move.expert, move.isLeaving ? move.from : -1, move.isComing ? move.to : -1);
        if (move.other !== -1) {
            moveExpert(move.other, move.to, move.isSwap ? move.from : -1);
        }
    }

    function moveExpert(expert: number, leaving: number, coming: number): void {
        addHolderDeltas(expert, leaving, coming);
        for (const rank of touched) {
            addTo(loads, rank, deltas[rank] ?? 0);
            deltas[rank] = 0;
        }
        touched.length = 0;
        if (leaving !== -1) {
            removeFrom(experts[leaving] ?? [], expert);
            removeFrom(holders[expert] ?? [], leaving);
            addTo(copies, leaving, isNew(leaving, expert) ? -1 : 0);
        }
        if (coming !== -1) {
            experts[coming]?.push(expert);
            holders[expert]?.push(coming);
            addTo(copies, coming, isNew(coming, expert) ? 1 : 0);
        }
    }

    function computeCost(time: number): number {
        const square = (time * inverseMean) ** 2;
        const fourth = square * square;
        return fourth * fourth;
    }
}

function addTo(values: Float64Array | Int32Array, index: number, change: number): void {
    values[index] = (values[index] ?? 0) + change;
}

function removeFrom(list: number[], value: number): void {
    const place = list.indexOf(value);
    if (place !== -1) {
        list.splice(place, 1);
    }
}
