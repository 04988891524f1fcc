import t from "tap";
import { createEvacuations } from "../../../src/direct/evacuation/index.js";
import { createLogger } from "../../../src/telemetry/logger.js";

const EVACUATE_MS = 5_000;
const TURN_MS = 50;
const POSITION = { era: 0, revision: 4 };
const REPORT = { zones: ["a"], kept: [], era: 0, revision: 9, ageMs: 60, eraAgeMs: 0, isPartial: false };

/** Starts the evacuations of a router that has just read the store. */
function startEvacuations() {
    const logger = createLogger("r1", { writeLine: () => undefined, flush: () => Promise.resolve() });
    const settings = { evacuateMs: EVACUATE_MS };
    const evacuations = createEvacuations({ settings, hasEndpoint: () => true, announce: () => undefined, logger });
    evacuations.applyStoreZones([], POSITION, 5);
    return evacuations;
}

t.test(
    "after a standstill, requests wait until the store or a peer has been asked, and no longer than a second",
    async t => {
        t.clock.enter();
        const evacuations = startEvacuations();
        t.equal(evacuations.isReadNeeded(), false);
        t.clock.advance(8_000);
        t.equal(evacuations.isReadNeeded(), true);
        evacuations.recordFailedRead(8_100);
        t.equal(evacuations.isReadNeeded(), true, "a call from before the standstill tells nothing of the store");
        evacuations.mergeReport(REPORT, "10.1.0.2", Number.POSITIVE_INFINITY);
        t.equal(evacuations.isEvacuated("a"), true);
        t.equal(evacuations.isReadNeeded(), true, "the message may have waited as long as the process stood still");
        evacuations.applyStoreZones([], POSITION, 1_000);
        t.equal(evacuations.isEvacuated("a"), true, "an answer from before the standstill");
        evacuations.applyStoreZones(["a"], { era: 0, revision: 9 }, 30);
        t.equal(evacuations.isReadNeeded(), false);
        t.clock.advance(8_000);
        t.equal(evacuations.isReadNeeded(), true);
        t.clock.advance(1_000);
        t.equal(evacuations.isReadNeeded(), false, "nobody can be reached: what was known last counts");
    },
);

t.test("a router that has failed to reach the store, and no peer, holds no request", async t => {
    t.clock.enter();
    const evacuations = startEvacuations();
    for (let elapsedMs = 0; elapsedMs < 2 * EVACUATE_MS; elapsedMs += TURN_MS) {
        t.clock.advance(TURN_MS);
        evacuations.update();
        if (elapsedMs % 700 === 0) {
            evacuations.recordFailedRead(700);
        }
        t.equal(evacuations.isReadNeeded(), false, `${elapsedMs} ms`);
    }
});

t.test("a peer's message confirms the knowledge of a router that ran all the time", async t => {
    t.clock.enter();
    const evacuations = startEvacuations();
    for (let elapsedMs = 0; elapsedMs < EVACUATE_MS; elapsedMs += TURN_MS) {
        t.clock.advance(TURN_MS);
        evacuations.update();
    }
    evacuations.mergeReport(REPORT, "10.1.0.2", Number.POSITIVE_INFINITY);
    t.equal(evacuations.getAgeMs(), REPORT.ageMs);
});
