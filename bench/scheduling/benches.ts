import { WORK_RANKS, WorkRank } from "../../src/config/WorkRank.js";
import type { BenchReport, BoundCheck } from "../Report.js";
import { BASELINES, FLOORS, OURS } from "./policies.js";
import {
    type SimulatedRequest,
    type SimulationOptions,
    type SimulationResult,
    type Tally,
    runSimulation,
} from "./Simulation.js";
import { type Stream, TODAY, buildMix, computeCapacityRate, drawRequests } from "./workloads.js";

const STEADY_LOAD = 0.7;
const P95 = 95;
const PERCENT_ON_TIME = 0.99;
const FIRST_TOKEN_MS = 1_900;

const COLUMNS = [
    "policy",
    "urgent on time",
    "standard",
    "deferrable",
    "urgent p95 ms",
    "good share",
    "worth",
    "tries/request",
];

/**
 * Floods of the least urgent rank (10 times) and of the most urgent one (3 times capacity), and steady load.
 * @param seed - Seed.
 */
export function runFlood(seed: number): BenchReport {
    const steady = runAll(seed, buildMix(STEADY_LOAD));
    const low = runAll(seed, buildMix(STEADY_LOAD, { [WorkRank.Deferrable]: 10 }));
    const urgentFactor = 3 / (STEADY_LOAD * 0.4);
    const high = runAll(seed, buildMix(STEADY_LOAD, { [WorkRank.Urgent]: urgentFactor }));
    const [oursLow, oursHigh] = [getOurs(low), getOurs(high)];
    const checks: BoundCheck[] = [
        buildLowerCheck("10x deferrable: urgent on time", getOnTime(oursLow.ranks[WorkRank.Urgent]), PERCENT_ON_TIME),
        buildUpperCheck("10x deferrable: urgent first token p95 ms", getP95(oursLow), FIRST_TOKEN_MS),
        buildLowerCheck("3x urgent: good share of capacity", computeGoodShare(oursHigh), 0.9),
        ...[WorkRank.Standard, WorkRank.Deferrable].map(rank =>
            buildLowerCheck(
                `3x urgent: ${rank} of its floor`,
                oursHigh.goodMs[rank] / oursHigh.capacityMs / FLOORS[rank],
                0.9,
            ),
        ),
        buildLowerCheck("10x deferrable: worth over best baseline", computeWorthRatio(low), 1.1),
        buildLowerCheck("3x urgent: worth over best baseline", computeWorthRatio(high), 1.1),
        buildLowerCheck("steady: worth over best baseline", computeWorthRatio(steady), 0.99),
    ];
    const rows = [
        ...formatRows("steady", steady),
        ...formatRows("10x deferrable", low),
        ...formatRows("3x urgent", high),
    ];
    return { name: "flood", seed, columns: ["case", ...COLUMNS], rows, checks };
}

/**
 * One team at 20 times its share beside small teams inside their shares.
 * @param seed - Seed.
 */
export function runFairness(seed: number): BenchReport {
    const small = buildMix(STEADY_LOAD);
    const flooding = small.map(stream => (stream.team === "team-9" ? { ...stream, rate: stream.rate * 20 } : stream));
    const results = runAll(seed, flooding);
    const ours = getOurs(results);
    const others = [...ours.teams].filter(([team]) => team !== "team-9");
    const worst = Math.min(...others.map(([, tally]) => getOnTime(tally)));
    const backlogged = runSimulation({ ...createOptions(seed, buildBacklog()), policy: OURS });
    const uneven = runSimulation({
        ...createOptions(seed, drawRequests(flooding, seed)),
        policy: OURS,
        routerWeights: [8, 4, 2, 1, 1, 1, 0, 0],
    });
    const worstUneven = Math.min(
        ...[...uneven.teams].filter(([team]) => team !== "team-9").map(([, tally]) => getOnTime(tally)),
    );
    const rows = results.map(result => [
        result.policy,
        Math.min(...[...result.teams].filter(([team]) => team !== "team-9").map(([, tally]) => getOnTime(tally))),
        getOnTime(result.teams.get("team-9") as Tally),
        getOnTime(result.ranks[WorkRank.Urgent]),
    ]);
    rows.push([
        "auburnpass, uneven routers",
        worstUneven,
        getOnTime(uneven.teams.get("team-9") as Tally),
        getOnTime(uneven.ranks[WorkRank.Urgent]),
    ]);
    return {
        name: "fairness",
        seed,
        columns: ["policy", "worst small team on time", "flooding team on time", "urgent on time"],
        rows,
        checks: [
            buildLowerCheck("worst small team on time", worst, 0.98),
            buildLowerCheck("worst small team on time, uneven routers and two gone", worstUneven, 0.98),
            buildLowerCheck("Jain index of backlogged teams", computeJain(backlogged), 0.95),
        ],
    };
}

/**
 * A flood whose callers ignore `Retry-After` and come again at once.
 * @param seed - Seed.
 */
export function runStorm(seed: number): BenchReport {
    const streams = buildMix(STEADY_LOAD, { [WorkRank.Urgent]: 5, [WorkRank.Deferrable]: 5 });
    const impatient = streams.map(stream => ({ ...stream, isPatient: stream.team === "team-0" }));
    const requests = drawRequests(impatient, seed);
    const results = [OURS, ...BASELINES].map(policy =>
        runSimulation({ ...createOptions(seed, requests), policy, impatientTries: 10 }),
    );
    const patient = runSimulation({ ...createOptions(seed, drawRequests(buildMix(1.2), seed)), policy: OURS });
    const ours = getOurs(results);
    const served = WORK_RANKS.map(rank => patient.ranks[rank]).reduce((sum, tally) => sum + tally.onTime, 0);
    const offered = WORK_RANKS.map(rank => patient.ranks[rank]).reduce((sum, tally) => sum + tally.offered, 0);
    return {
        name: "storm",
        seed,
        columns: COLUMNS,
        rows: results.map(formatRow),
        checks: [
            buildUpperCheck("attempts per arrival", ours.attempts / ours.arrivals, 1.1),
            buildLowerCheck("served at 1.2 times capacity by callers that obey Retry-After", served / offered, 0.75),
        ],
    };
}

/**
 * Two of sixteen endpoints become four times slower.
 * @param seed - Seed.
 */
export function runSlowEndpoint(seed: number): BenchReport {
    const requests = drawRequests(buildMix(0.6), seed);
    const slowness = (endpoint: number, now: number): number => (endpoint < 2 && now > TODAY.warmUpMs ? 4 : 1);
    const results = [OURS, ...BASELINES].map(policy =>
        runSimulation({ ...createOptions(seed, requests), policy, slowness }),
    );
    return {
        name: "slow-endpoint",
        seed,
        columns: COLUMNS,
        rows: results.map(formatRow),
        checks: [
            buildLowerCheck("urgent on time", getOnTime(getOurs(results).ranks[WorkRank.Urgent]), PERCENT_ON_TIME),
        ],
    };
}

function runAll(seed: number, streams: readonly Stream[]): SimulationResult[] {
    const requests = drawRequests(streams, seed);
    return [OURS, ...BASELINES].map(policy => runSimulation({ ...createOptions(seed, requests), policy }));
}

function createOptions(seed: number, requests: readonly SimulatedRequest[]): Omit<SimulationOptions, "policy"> {
    return { ...TODAY, seed, requests };
}

/** Ten teams of equal weight that each ask for a multiple of the capacity. */
function buildBacklog(): SimulatedRequest[] {
    const rate = computeCapacityRate();
    const streams = buildMix(1).filter(stream => stream.rank === WorkRank.Standard);
    const factors = [1, 1, 2, 2, 3, 3, 4, 4, 5, 5];
    const backlogged = streams.map((stream, place) => ({
        ...stream,
        weight: 1,
        rate: (rate * 0.3 * (factors[place] ?? 1)) / 2,
    }));
    return drawRequests(backlogged, 1);
}

function computeJain(result: SimulationResult): number {
    const shares = [...result.teams.values()].map(tally => tally.goodMs);
    const sum = shares.reduce((total, share) => total + share, 0);
    const squares = shares.reduce((total, share) => total + share * share, 0);
    return (sum * sum) / (shares.length * squares);
}

function getOurs(results: readonly SimulationResult[]): SimulationResult {
    return results[0] as SimulationResult;
}

function computeWorthRatio(results: readonly SimulationResult[]): number {
    const best = Math.max(...results.slice(1).map(result => result.worth));
    return getOurs(results).worth / best;
}

function computeGoodShare(result: SimulationResult): number {
    return WORK_RANKS.reduce((sum, rank) => sum + result.goodMs[rank], 0) / result.capacityMs;
}

function getOnTime(tally: Tally): number {
    return tally.offered === 0 ? 1 : tally.onTime / tally.offered;
}

function getP95(result: SimulationResult): number {
    return result.firstToken[WorkRank.Urgent].getValueAtPercentile(P95);
}

function formatRow(result: SimulationResult): (string | number)[] {
    const onTime = WORK_RANKS.map(rank => getOnTime(result.ranks[rank]));
    const tries = result.attempts / result.arrivals;
    return [result.policy, ...onTime, getP95(result), computeGoodShare(result), result.worth, tries];
}

function formatRows(title: string, results: readonly SimulationResult[]): (string | number)[][] {
    return results.map(result => [title, ...formatRow(result)]);
}

function buildLowerCheck(name: string, value: number, bound: number): BoundCheck {
    return { name, value, bound, isUpper: false };
}

function buildUpperCheck(name: string, value: number, bound: number): BoundCheck {
    return { name, value, bound, isUpper: true };
}
