import { computeLastStart, getMaxDelay } from "../../src/scheduling/index.js";
import type { BenchReport, BoundCheck } from "../Report.js";
import { type OutagePolicy, type OutageResult, playOutages } from "./outageSimulation.js";

/** What routers did before they held requests. */
export const REFUSE_ALL: OutagePolicy = { name: "refuse all", usesQueue: false };
/** Each first attempt waits as long as it can. */
export const WAIT_FIRST: OutagePolicy = {
    name: "wait first",
    usesQueue: true,
    plan(request, outlook) {
        const untilAt = computeLastStart(request, outlook);
        return untilAt > outlook.now ? { isWaiting: true, untilAt } : { isWaiting: false, delayMs: undefined };
    },
};
/** Each first attempt is refused at once, and waits when it has come back. */
export const REFUSE_FIRST: OutagePolicy = {
    name: "refuse first",
    usesQueue: true,
    plan(request, outlook) {
        const untilAt = computeLastStart(request, outlook);
        const waits = (request.hasReturned || request.mayHaveRun) && untilAt > outlook.now;
        return waits ? { isWaiting: true, untilAt } : { isWaiting: false, delayMs: getMaxDelay(request, outlook.now) };
    },
};
/** What the routers do. */
export const PLANNED: OutagePolicy = { name: "planned", usesQueue: true };

/** Two fleets, by their numbers of routers and endpoints. */
export const FLEETS = [
    { routers: 17, endpoints: 72 },
    { routers: 46, endpoints: 63 },
];
/** Durations of the outages of a play, in milliseconds; the last ones are crashes of a rank. */
export const OUTAGES: Record<string, readonly number[]> = {
    "3 s": [3_000, 3_000, 3_000],
    "5 s": [5_000, 5_000, 5_000],
    "6.5 s": [6_500, 6_500, 6_500],
    "crash 2 to 3 s": [2_000, 2_500, 3_000],
    mixed: [2_500, 6_500, 5_000, 2_500, 6_500],
};
const LOADS = [0.7, 0.95];
const SLOTS = 7;
const POLICIES = [REFUSE_ALL, WAIT_FIRST, REFUSE_FIRST, PLANNED];
const PLAYS = 2;

/**
 * Compares what callers get in outages of a group, on the same seeds.
 * @param seed - First seed.
 */
export function runOutageReturn(seed: number): BenchReport {
    const rows: (string | number)[][] = [];
    const checks: BoundCheck[] = [];
    for (const fleet of FLEETS) {
        for (const [name, outagesMs] of Object.entries(OUTAGES)) {
            for (const load of LOADS) {
                const scene = `${fleet.routers} routers, ${name}, ${load}`;
                const results = POLICIES.map(policy => playSeeds(seed, { ...fleet, load, outagesMs, policy }));
                results.forEach((result, index) => rows.push(formatRow(scene, POLICIES[index]?.name ?? "", result)));
                checks.push(buildCheck(scene, results));
            }
        }
    }
    const columns = [
        "scene",
        "policy",
        "in time",
        "late",
        "after refusal",
        "refused once",
        "refused again",
        "left",
        "worth",
        "budget",
    ];
    return { name: "outage-return", seed, columns, rows, checks };
}

type Scene = Omit<Parameters<typeof playOutages>[0], "seed" | "slots">;

/**
 * Plays one scene with some seeds.
 * @param first - First seed.
 * @param scene - Fleet, load, outages and policy.
 * @returns Means over the seeds.
 */
export function playSeeds(first: number, scene: Scene): OutageResult {
    const results: OutageResult[] = [];
    for (let seed = first; seed < first + PLAYS; seed++) {
        results.push(playOutages({ ...scene, slots: SLOTS, seed }));
    }
    const mean = (key: keyof OutageResult): number => results.reduce((sum, one) => sum + one[key], 0) / PLAYS;
    return {
        inTime: mean("inTime"),
        late: mean("late"),
        returned: mean("returned"),
        refusedOnce: mean("refusedOnce"),
        refusedAgain: mean("refusedAgain"),
        left: mean("left"),
        worth: mean("worth"),
        budgetUse: mean("budgetUse"),
    };
}

function formatRow(scene: string, policy: string, result: OutageResult): (string | number)[] {
    const { inTime, late, returned, refusedOnce, refusedAgain, left, worth, budgetUse } = result;
    return [scene, policy, inTime, late, returned, refusedOnce, refusedAgain, left, worth, budgetUse];
}

function buildCheck(scene: string, results: readonly OutageResult[]): BoundCheck {
    const [before] = results;
    const name = `${scene}: worth of the plan less that of refusing all`;
    return { name, value: (results.at(-1)?.worth ?? 0) - (before?.worth ?? 0), bound: 0, isUpper: false };
}
