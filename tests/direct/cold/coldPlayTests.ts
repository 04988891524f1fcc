import t, { type Test } from "tap";
import { buildList } from "../../../src/utils/list.js";
import {
    BOUND,
    type PlayOptions,
    ROUTERS,
    SECOND_MS,
    buildEndpoint,
    countInWorstSecond,
    playColdEndpoints,
} from "./coldPlay.js";

const SEEDS = 6;
const LASTS_MS = 6_000;
/** Attempts per second with which a router uses all that it may, in requests. */
const FULL_DEMAND = 1_000;
const ENDPOINTS = buildList(6, index => buildEndpoint(`i-${index}`));

function playSeeds(t: Test, options: Partial<PlayOptions>): number[] {
    const worst: number[] = [];
    for (const seed of buildList(SEEDS, index => index + 1)) {
        const base = { endpoints: ENDPOINTS, lastsMs: LASTS_MS, starting: 0, deaf: 0, unknownShare: 0 };
        const sends = playColdEndpoints({ ...base, drawDemand: () => FULL_DEMAND, ...options, seed });
        worst.push(...ENDPOINTS.map(({ id }) => countInWorstSecond(sends, id)));
    }
    t.ok(Math.max(...worst) <= BOUND, `at most ${Math.max(...worst)} in any second`);
    return worst;
}

// The failure that these tests guard against: each router keeps to a rate of its own, but their sum exceeds what the endpoint tolerates.

t.test("with full demand the routers together use at least nine tenths of the bound and never exceed it", t => {
    const sends = playColdEndpoints({
        seed: 1,
        endpoints: ENDPOINTS,
        lastsMs: LASTS_MS,
        starting: 0,
        deaf: 0,
        unknownShare: 0,
        drawDemand: () => FULL_DEMAND,
    });
    for (const { id } of ENDPOINTS) {
        t.ok(countInWorstSecond(sends, id) <= BOUND);
        const perSecond = sends.filter(({ endpoint }) => endpoint === id).length / (LASTS_MS / SECOND_MS);
        t.ok(perSecond >= 0.9 * BOUND, `${perSecond.toFixed(1)} a second`);
    }
    t.end();
});

t.test("uneven demand stays within the bound", t => {
    playSeeds(t, { drawDemand: random => (random.draw() < 0.2 ? FULL_DEMAND : random.draw() * 5) });
    t.end();
});

t.test("routers that start stay within the bound, also if all start at once", t => {
    playSeeds(t, { starting: 1 });
    playSeeds(t, { starting: 12 });
    playSeeds(t, { starting: ROUTERS });
    t.end();
});

t.test("routers that know only part of the others stay within the bound", t => {
    playSeeds(t, { unknownShare: 0.1 });
    playSeeds(t, { unknownShare: 0.6 });
    t.end();
});

t.test("routers that hear nobody stay within the bound, some or all of them, also if they just started", t => {
    playSeeds(t, { deaf: 5 });
    playSeeds(t, { deaf: ROUTERS });
    const worst = playSeeds(t, { deaf: ROUTERS, starting: ROUTERS });
    t.ok(Math.min(...worst) > 0, "endpoints are not left without requests");
    playSeeds(t, { deaf: 10, starting: 10, unknownShare: 0.3 });
    t.end();
});
