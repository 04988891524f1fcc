import {
    type GroupSize,
    type Placement,
    computeDivergence,
    computePlacement,
    computeRankLoads,
    countFetches,
    matchRanks,
} from "./Placement.js";

/** Plans changes of placement that pay. */
export interface Rebalancer {
    /** Learns the load of the experts in a period. */
    recordLoads(loads: readonly number[]): void;
    /**
     * Proposes a change.
     * @param isUrgentFlood - Urgent work floods in; then only a change that pays soon is proposed.
     * @returns Undefined if none pays.
     */
    proposeChange(isUrgentFlood: boolean): ProposedChange | undefined;
    applyChange(change: ProposedChange): void;
    getPlacement(): Placement;
}

/** A proposed change. */
export interface ProposedChange {
    placement: Placement;
    /** Weights to fetch. */
    fetches: number;
    /** Divergence now, and after the change, at the loads expected. */
    before: number;
    after: number;
}

/** A change with its gain after its price. */
interface RatedChange {
    change: ProposedChange;
    net: number;
}

/** Options of the rebalancer. */
export interface RebalancerOptions {
    size: GroupSize;
    experts: number;
    /** Weight of the newest period in the smoothed loads. */
    smoothing: number;
    /** Divergence below which nothing is changed. */
    tolerance: number;
    /** Gain in divergence that a fetched weight must bring over the horizon. */
    pricePerFetch: number;
    /** Moves in one change at most. */
    maxMoves: number;
}

const FLOOD_PRICE_FACTOR = 4;
/** Share of the load that changes its expert in a jump. */
const JUMP_SHIFT = 0.1;
const LEAST_GAIN = 1e-9;

/**
 * Creates a rebalancer with a placement for even loads.
 * @param options - Sizes and prices.
 */
export function createRebalancer(options: RebalancerOptions): Rebalancer {
    let loads = new Array<number>(options.experts).fill(1 / options.experts);
    let placement = computePlacement(loads, options.size);
    return { recordLoads, proposeChange, applyChange, getPlacement: () => placement };

    /** Follows a drift smoothly, and a jump at once. */
    function recordLoads(latest: readonly number[]): void {
        const total = latest.reduce((sum, load) => sum + load, 0) || 1;
        const shares = latest.map(load => load / total);
        const shift = shares.reduce((sum, share, expert) => sum + Math.abs(share - (loads[expert] ?? 0)), 0) / 2;
        const smoothing = shift > JUMP_SHIFT ? 1 : options.smoothing;
        loads = loads.map((load, expert) => load + smoothing * ((shares[expert] ?? 0) - load));
    }

    function proposeChange(isUrgentFlood: boolean): ProposedChange | undefined {
        const before = computeDivergence(placement, loads);
        if (before <= options.tolerance) {
            return undefined;
        }
        const price = options.pricePerFetch * (isUrgentFlood ? FLOOD_PRICE_FACTOR : 1);
        const moved = moveExperts(placement, loads, options.size, options.maxMoves, options.tolerance);
        const rebuilt = matchRanks(placement, computePlacement(loads, options.size));
        const changes = [moved, rebuilt].map(candidate => scoreChange(candidate, before, price));
        const best = changes.reduce((one, other) => (other.net > one.net ? other : one));
        return best.change.fetches > 0 && best.net > 0 ? best.change : undefined;
    }

    function scoreChange(candidate: Placement, before: number, price: number): RatedChange {
        const after = computeDivergence(candidate, loads);
        const fetches = countFetches(placement, candidate);
        return { change: { placement: candidate, fetches, before, after }, net: before - after - fetches * price };
    }

    function applyChange(change: ProposedChange): void {
        placement = change.placement;
    }
}

/**
 * Improves a placement by few moves: each replaces one expert in a slot of any rank by a replica of an expert
 * of the hottest rank, or exchanges two experts, whichever lowers the hottest rank most.
 * @param from - Placement in force.
 * @param loads - Load of each expert.
 * @param size - Size of the group.
 * @param maxMoves - Moves at most.
 * @param goal - Divergence that is good enough.
 */
export function moveExperts(
    from: Placement,
    loads: readonly number[],
    size: GroupSize,
    maxMoves: number,
    goal: number,
): Placement {
    const slots = from.map(experts => [...experts]);
    for (let move = 0; move < maxMoves && computeDivergence(slots, loads) > goal; move++) {
        if (!moveExpert(slots, loads)) {
            break;
        }
    }
    return slots;
}

interface Move {
    /** Slots to overwrite, with the new expert. */
    changes: { rank: number; slot: number; expert: number }[];
    cost: number;
}

const COLD_RANKS = 4;

/** Applies the best single move; false if none lowers the largest loads. */
function moveExpert(slots: number[][], loads: readonly number[]): boolean {
    const rankLoads = computeRankLoads(slots, loads);
    const hottest = rankLoads.indexOf(Math.max(...rankLoads));
    const coldest = rankLoads
        .map((load, rank) => ({ load, rank }))
        .sort((left, right) => left.load - right.load)
        .slice(0, COLD_RANKS)
        .map(entry => entry.rank);
    const start = computeCost(slots, loads);
    const moves = coldest.flatMap(rank => listMoves(slots, hottest, rank, loads));
    const best = moves.reduce<Move | undefined>(
        (least, move) => (least === undefined || move.cost < least.cost ? move : least),
        undefined,
    );
    if (best === undefined || best.cost >= start - LEAST_GAIN) {
        return false;
    }
    applyMove(slots, best.changes);
    return true;
}

function listMoves(slots: number[][], hot: number, cold: number, loads: readonly number[]): Move[] {
    const moves: Move[] = [];
    const counts = countReplicas(slots, loads.length);
    (slots[hot] ?? []).forEach((hotExpert, hotSlot) => {
        (slots[cold] ?? []).forEach((coldExpert, coldSlot) => {
            if (hotExpert === coldExpert) {
                return;
            }
            const replicate = { rank: cold, slot: coldSlot, expert: hotExpert };
            const exchange = { rank: hot, slot: hotSlot, expert: coldExpert };
            if ((counts[coldExpert] ?? 0) > 1 && !(slots[cold] ?? []).includes(hotExpert)) {
                moves.push(createMove(slots, [replicate], loads));
            }
            moves.push(createMove(slots, [replicate, exchange], loads));
        });
    });
    return moves;
}

function createMove(slots: number[][], changes: Move["changes"], loads: readonly number[]): Move {
    const undo = changes.map(({ rank, slot }) => ({ rank, slot, expert: slots[rank]?.[slot] ?? 0 }));
    applyMove(slots, changes);
    const cost = computeCost(slots, loads);
    applyMove(slots, undo);
    return { changes, cost };
}

function applyMove(slots: number[][], changes: Move["changes"]): void {
    for (const { rank, slot, expert } of changes) {
        const experts = slots[rank];
        if (experts !== undefined) {
            experts[slot] = expert;
        }
    }
}

const COST_POWER = 12;

/** A high power of the rank loads: the largest count most, and ties between them still count. */
function computeCost(slots: number[][], loads: readonly number[]): number {
    const rankLoads = computeRankLoads(slots, loads);
    const mean = rankLoads.reduce((sum, load) => sum + load, 0) / rankLoads.length || 1;
    return rankLoads.reduce((sum, load) => sum + (load / mean) ** COST_POWER, 0);
}

function countReplicas(slots: number[][], experts: number): number[] {
    const counts = new Array<number>(experts).fill(0);
    slots.forEach(held => held.forEach(expert => (counts[expert] = (counts[expert] ?? 0) + 1)));
    return counts;
}
