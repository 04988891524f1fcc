import t from "tap";
import { ADMISSION_CASES, computeCallerShares, playCase } from "../../bench/scheduling/admissionBench.js";
import { ADMISSION_POLICIES, BY_COST } from "../../bench/scheduling/admissionPolicies.js";
import { CallerEnd, type PlayedEnd } from "../../bench/scheduling/admissionSimulation.js";
import { type AdmissionLoad, KINDS } from "../../bench/scheduling/admissionWorkload.js";

const LOAD = ADMISSION_CASES["steady at 2"] as Omit<AdmissionLoad, "seed">;
const SEED = 3;
/** Share by which two kinds that are served alike differ by chance in a play. */
const CHANCE = 0.02;
const [NONE] = ADMISSION_POLICIES;

for (const [name, load] of Object.entries(ADMISSION_CASES)) {
    t.test(`${name}: no kind, size or team is starved, and urgent kinds are not served less`, t => {
        const { ends, refusedWhileIdle } = playCase(SEED, load, BY_COST);
        const { kinds, large, next, team, refused } = computeCallerShares(ends);
        const [urgent = 0, standard = 0, low = 0] = kinds;
        t.ok(large >= 0.5, `largest tenth ${large.toFixed(2)} of its kind`);
        t.ok(next >= 0.5, `next fifth ${next.toFixed(2)} of its kind`);
        t.ok(Math.min(...kinds, team * (1 - refused)) >= 0.25 * (1 - refused), "kinds and teams");
        t.ok(urgent >= standard - CHANCE && standard >= low - CHANCE, kinds.map(share => share.toFixed(3)).join(", "));
        t.equal(refusedWhileIdle, 0, "nothing is refused while half of the slots are free");
        t.end();
    });

    t.test(`${name}: callers get more than with queues in the engines`, t => {
        const shares = computeCallerShares(playCase(SEED, load, BY_COST).ends);
        const without = computeCallerShares(playCase(SEED, load, NONE ?? BY_COST).ends);
        t.ok(shares.worth > 1.05 * without.worth, `${shares.worth.toFixed(3)}, ${without.worth.toFixed(3)} without`);
        t.ok(shares.refused < without.refused, `${shares.refused.toFixed(3)}, ${without.refused.toFixed(3)} without`);
        t.end();
    });
}

t.test("requests wait in the order of the routers and not in the engines, as routers share the free slots", t => {
    const load = ADMISSION_CASES["steady at 1.3"] ?? LOAD;
    const shared = playCase(SEED, load, BY_COST);
    const greedy = playCase(SEED, load, { ...BY_COST, drawsSlots: false });
    const [wait, greedyWait] = [shared, greedy].map(({ engineWaitMs, sent }) => engineWaitMs / sent);
    t.ok((wait ?? 0) < 0.25 * (greedyWait ?? 0), `${wait?.toFixed(0)} ms, ${greedyWait?.toFixed(0)} ms without`);
    t.end();
});

t.test(
    "returned requests, though they are late and mostly large, are served at least as often as new ones of their kind",
    t => {
        for (const load of [ADMISSION_CASES["bursts at 0.95"] ?? LOAD, LOAD]) {
            const { firstServed, returnedServed } = countFirstAttempts(playCase(SEED, load, BY_COST).ends);
            KINDS.forEach(({ name }, kind) =>
                t.ok(
                    (returnedServed[kind] ?? 0) >= (firstServed[kind] ?? 1),
                    `${name}: ${returnedServed[kind]?.toFixed(3)}, new ones ${firstServed[kind]?.toFixed(3)}`,
                ),
            );
        }
        t.end();
    },
);

t.test("routers that hear nothing of each other use their own view, and starve none", t => {
    const { ends, refusedWhileIdle } = playCase(SEED, LOAD, BY_COST, 0);
    const { kinds, large, next, refused } = computeCallerShares(ends);
    t.ok(Math.min(...kinds) >= 0.25 * (1 - refused) && Math.min(large, next) >= 0.5);
    const without = computeCallerShares(playCase(SEED, LOAD, NONE ?? BY_COST, 0).ends);
    t.ok(refused <= without.refused + CHANCE, `${refused.toFixed(3)}, ${without.refused.toFixed(3)} without`);
    t.equal(refusedWhileIdle, 0);
    t.end();
});

/** Shares of first attempts and of second ones that were served, by kind. */
function countFirstAttempts(ends: readonly PlayedEnd[]): { firstServed: number[]; returnedServed: number[] } {
    const shares = KINDS.map((unused, kind) => {
        const ofKind = ends.filter(({ request }) => request.kind === kind);
        const returned = ofKind.filter(({ hasReturned }) => hasReturned);
        const served = ofKind.filter(({ hasReturned, end }) => !hasReturned && end !== CallerEnd.Refused);
        const servedReturned = returned.filter(({ end }) => end !== CallerEnd.Refused);
        return { first: served.length / ofKind.length, returned: servedReturned.length / Math.max(1, returned.length) };
    });
    return { firstServed: shares.map(({ first }) => first), returnedServed: shares.map(({ returned }) => returned) };
}
