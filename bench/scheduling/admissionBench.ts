import type { BenchReport } from "../Report.js";
import { ADMISSION_POLICIES, type AdmissionPolicy } from "./admissionPolicies.js";
import { type AdmissionPlayResult, CallerEnd, type PlayedEnd, playAdmission } from "./admissionSimulation.js";
import { type AdmissionLoad, KINDS, drawPlayedRequests } from "./admissionWorkload.js";

/** Fleet of the play. */
export const ADMISSION_FLEET = { routers: 24, engines: 32, slots: 7 };
const TEAMS = 24;
const DURATION_MS = 45_000;

/** Loads of the play: bursts on a service that is well used, on a full one, and a lasting shortage. */
export const ADMISSION_CASES: Record<string, Omit<AdmissionLoad, "seed">> = {
    "bursts at 0.8": { load: 0.8, burstFactor: 2.5, durationMs: DURATION_MS, teams: TEAMS },
    "bursts at 0.95": { load: 0.95, burstFactor: 2.5, durationMs: DURATION_MS, teams: TEAMS },
    "steady at 1.3": { load: 1.3, burstFactor: 1, durationMs: DURATION_MS, teams: TEAMS },
    "steady at 2": { load: 2, burstFactor: 1, durationMs: DURATION_MS, teams: TEAMS },
};

/** What callers got. */
export interface CallerShares {
    worth: number;
    inTime: number;
    late: number;
    refused: number;
    /** Served, in time or late, by kind. */
    kinds: number[];
    /** Least served share of the largest tenth, and of the fifth below it, over that of their kind. */
    large: number;
    next: number;
    /** Least served team, over all. */
    team: number;
    /** Of the returned requests, the share that was served. */
    returned: number;
}

/**
 * Plays one case with one policy.
 * @param seed - Seed.
 * @param load - Offered load.
 * @param policy - Policy of the routers.
 */
export function playCase(
    seed: number,
    load: Omit<AdmissionLoad, "seed">,
    policy: AdmissionPolicy,
    silentFrom = Number.POSITIVE_INFINITY,
): AdmissionPlayResult {
    const requests = drawPlayedRequests({ ...load, seed }, ADMISSION_FLEET.engines * ADMISSION_FLEET.slots);
    return playAdmission({ ...ADMISSION_FLEET, seed, requests, policy, silentFrom });
}

/**
 * Sums up what callers got.
 * @param ends - How the requests ended.
 */
export function computeCallerShares(ends: readonly PlayedEnd[]): CallerShares {
    const worth = ends.reduce((sum, { request, end }) => sum + computeWorth(request.kind, end), 0);
    const offered = ends.reduce((sum, { request }) => sum + computeWorth(request.kind, CallerEnd.InTime), 0);
    const countEnd = (end: CallerEnd): number => ends.filter(other => other.end === end).length / ends.length;
    const ofKind = KINDS.map((unused, kind) => ends.filter(({ request }) => request.kind === kind));
    const kinds = ofKind.map(computeServed);
    const computeBand = (from: number, to: number): number =>
        Math.min(
            ...ofKind.map((list, kind) => {
                const band = list.filter(({ request }) => request.sizeQuantile >= from && request.sizeQuantile < to);
                return computeServed(band) / (kinds[kind] ?? 1);
            }),
        );
    const teams = new Set(ends.map(({ request }) => request.team));
    const served = [...teams].map(team => computeServed(ends.filter(({ request }) => request.team === team)));
    return {
        worth: worth / offered,
        inTime: countEnd(CallerEnd.InTime),
        late: countEnd(CallerEnd.Late),
        refused: countEnd(CallerEnd.Refused),
        kinds,
        large: computeBand(0.9, 1),
        next: computeBand(0.7, 0.9),
        team: Math.min(...served) / computeServed(ends),
        returned: computeServed(ends.filter(({ hasReturned }) => hasReturned)),
    };
}

function computeServed(ends: readonly PlayedEnd[]): number {
    return ends.length === 0 ? 1 : ends.filter(({ end }) => end !== CallerEnd.Refused).length / ends.length;
}

function computeWorth(kind: number, end: CallerEnd): number {
    const { worth = 0, lateShare = 0 } = KINDS[kind] ?? {};
    const share = end === CallerEnd.InTime ? 1 : lateShare;
    return end === CallerEnd.Refused ? 0 : worth * share;
}

/**
 * Compares ways to admit when there is too little room.
 * @param seed - Seed.
 */
export function runAdmission(seed: number): BenchReport {
    const rows = Object.entries(ADMISSION_CASES).flatMap(([name, load]) =>
        ADMISSION_POLICIES.filter(p => new RegExp(process.env.POL ?? ".").test(p.name)).map(policy => {
            const result = playCase(seed, load, policy);
            const shares = computeCallerShares(result.ends);
            return [
                name,
                policy.name,
                shares.worth,
                shares.inTime,
                shares.late,
                shares.refused,
                ...shares.kinds,
                shares.large,
                shares.next,
                shares.team,
                shares.returned,
                result.refusedWhileIdle,
                result.highestLevel,
                result.engineWaitMs / result.sent,
            ];
        }),
    );
    return {
        name: "admission",
        seed,
        columns: [
            "case",
            "policy",
            "worth",
            "in time",
            "late",
            "refused",
            ...KINDS.map(({ name }) => `${name} served`),
            "largest tenth / kind",
            "next fifth / kind",
            "worst team / all",
            "returned served",
            "refused while idle",
            "highest level",
            "wait in the engine ms",
        ],
        rows,
        checks: [],
    };
}
