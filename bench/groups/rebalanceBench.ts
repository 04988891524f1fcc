import {
    type GroupSize,
    type Placement,
    computeDivergence,
    computeLowerBound,
    computePlacement,
    countFetches,
} from "../../src/groups/Placement.js";
import { createRebalancer } from "../../src/groups/Rebalancer.js";
import { buildList } from "../../src/utils/list.js";
import type { BenchReport, BoundCheck } from "../Report.js";
import { type Random, createRandom } from "../scheduling/Random.js";

const EXPERTS = 64;
const PERIODS = 240;
/** Tokens a second on each rank, from 4.1 M tokens/s on 24,000 accelerators. */
const TOKENS_PER_RANK = 171;
const EXPERTS_PER_TOKEN = 8;
const PERIOD_S = 10;
const ZIPF = 0.8;
const DRIFT_SWAPS = 2;
const JUMP_EVERY = 80;
const SMOOTHING = 0.3;
const SCRATCH_EVERY = 4;
const PLAN_MS = 50;
const MAX_DIVERGENCE = 1.1;
const BOUND_FACTOR = 1.05;
const TOLERANCE = 1.02;
const PRICE_PER_FETCH = 0.0004;
const MAX_MOVES = 16;
const QUARTER = 0.25;

const GROUPS: { name: string; size: GroupSize }[] = [
    { name: "8 ranks x 9 slots", size: { ranks: 8, slotsPerRank: 9 } },
    { name: "32 ranks x 4 slots", size: { ranks: 32, slotsPerRank: 4 } },
    { name: "128 ranks x 2 slots", size: { ranks: 128, slotsPerRank: 2 } },
];

/** What a way to rebalance reached. */
interface RebalanceOutcome {
    divergence: number;
    fetches: number;
    slowestPlanMs: number;
}

/** A way to rebalance. */
interface Way {
    name: string;
    /** Plans with the smoothed loads of the past, and those of the last period. */
    plan: (placement: Placement, loads: readonly number[], period: number, latest: readonly number[]) => Placement;
}

/**
 * Groups of three sizes under popularity that drifts and jumps.
 * @param seed - Seed.
 */
export function runRebalance(seed: number): BenchReport {
    const rows: (string | number)[][] = [];
    const checks: BoundCheck[] = [];
    for (const { name, size } of GROUPS) {
        const periods = drawPeriods(seed, size.ranks * TOKENS_PER_RANK * EXPERTS_PER_TOKEN * PERIOD_S);
        const bound = periods.reduce((sum, loads) => sum + computeLowerBound(loads, size), 0) / PERIODS;
        const outcomes = createWays(size).map(way => ({ way: way.name, ...runWay(way, periods, size) }));
        outcomes.forEach(({ way, divergence, fetches, slowestPlanMs }) => {
            rows.push([name, way, divergence, bound, fetches, slowestPlanMs]);
        });
        const [ours, scratch] = outcomes as unknown as [RebalanceOutcome, RebalanceOutcome];
        const allowed = Math.max(MAX_DIVERGENCE, bound * BOUND_FACTOR);
        checks.push(
            { name: `${name}: divergence`, value: ours.divergence, bound: allowed, isUpper: true },
            {
                name: `${name}: fetches over from scratch`,
                value: ours.fetches / scratch.fetches,
                bound: QUARTER,
                isUpper: true,
            },
            { name: `${name}: slowest plan in ms`, value: ours.slowestPlanMs, bound: PLAN_MS, isUpper: true },
        );
    }
    const columns = ["group", "way", "divergence", "least possible", "weights fetched", "slowest plan ms"];
    return { name: "rebalance", seed, columns, rows, checks };
}

function createWays(size: GroupSize): Way[] {
    return [
        createOurs(size),
        {
            name: "from scratch every 4 periods",
            plan: (placement, loads, period) =>
                period % SCRATCH_EVERY === 0 ? computePlacement(loads, size) : placement,
        },
        {
            name: "from scratch over a threshold",
            plan: (placement, loads) =>
                computeDivergence(placement, loads) > MAX_DIVERGENCE ? computePlacement(loads, size) : placement,
        },
        { name: "never", plan: placement => placement },
    ];
}

function createOurs(size: GroupSize): Way {
    const rebalancer = createRebalancer({
        size,
        experts: EXPERTS,
        smoothing: 0.7,
        tolerance: TOLERANCE,
        pricePerFetch: PRICE_PER_FETCH,
        maxMoves: MAX_MOVES,
    });
    return {
        name: "auburnpass",
        plan(...[, , , latest]) {
            rebalancer.recordLoads(latest);
            const change = rebalancer.proposeChange(false);
            if (change !== undefined) {
                rebalancer.applyChange(change);
            }
            return rebalancer.getPlacement();
        },
    };
}

/** Every way sees the smoothed loads of the past periods, and is judged by the next one. */
function runWay(way: Way, periods: readonly number[][], size: GroupSize): RebalanceOutcome {
    let placement = computePlacement(new Array<number>(EXPERTS).fill(1), size);
    let smoothed = new Array<number>(EXPERTS).fill(1 / EXPERTS);
    let sum = 0;
    let fetches = 0;
    let slowestPlanMs = 0;
    periods.forEach((loads, period) => {
        sum += computeDivergence(placement, loads);
        smoothed = smoothed.map((load, expert) => load + SMOOTHING * ((loads[expert] ?? 0) - load));
        const startedAt = performance.now();
        const next = way.plan(placement, smoothed, period, loads);
        slowestPlanMs = Math.max(slowestPlanMs, performance.now() - startedAt);
        fetches += countFetches(placement, next);
        placement = next;
    });
    return { divergence: sum / PERIODS, fetches, slowestPlanMs };
}

/** Draws the share of tokens of each expert, in each period. */
function drawPeriods(seed: number, samples: number): number[][] {
    const random = createRandom(seed);
    const order = buildList(EXPERTS, expert => expert);
    mixOrder(order, random);
    return buildList(PERIODS, period => {
        if (period % JUMP_EVERY === JUMP_EVERY - 1) {
            mixOrder(order, random);
        }
        buildList(DRIFT_SWAPS, () => swapNeighbours(order, random));
        return drawLoads(order, samples, random);
    });
}

function drawLoads(order: readonly number[], samples: number, random: Random): number[] {
    const weights = new Array<number>(EXPERTS).fill(0);
    order.forEach((expert, place) => {
        weights[expert] = (place + 1) ** -ZIPF;
    });
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    return weights.map(weight => {
        const mean = weight / total;
        const noise = Math.sqrt(mean / samples) * (random.draw() + random.draw() + random.draw() - 1.5) * 2;
        return Math.max(0, mean + noise);
    });
}

function mixOrder(order: number[], random: Random): void {
    for (let place = order.length - 1; place > 0; place--) {
        swapPlaces(order, place, Math.floor(random.draw() * (place + 1)));
    }
}

function swapNeighbours(order: number[], random: Random): void {
    const place = Math.floor(random.draw() * (order.length - 1));
    swapPlaces(order, place, place + 1);
}

function swapPlaces(order: number[], left: number, right: number): void {
    const kept = order[left] ?? 0;
    order[left] = order[right] ?? 0;
    order[right] = kept;
}
