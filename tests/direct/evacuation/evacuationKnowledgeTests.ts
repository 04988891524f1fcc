import t from "tap";
import { createEvacuationKnowledge } from "../../../src/direct/evacuation/index.js";
import type { StorePosition } from "../../../src/platform/index.js";
import type { EvacuationReport } from "../../../src/peers/index.js";

const EVACUATE_MS = 5_000;
const PEER = "10.1.0.2";

/** Starts the knowledge of one router, with its changes as texts. */
function startKnowledge() {
    const changes: string[] = [];
    const knowledge = createEvacuationKnowledge({
        evacuateMs: EVACUATE_MS,
        onChange: ({ zone, isEvacuated, source }) => changes.push(`${isEvacuated ? "+" : "-"}${zone} ${source}`),
        onKept: zones => changes.push(`kept ${zones.join()}`),
    });
    return { knowledge, changes };
}

function buildPosition(era: number, revision: number): StorePosition {
    return { era, revision };
}

function buildReport(zones: readonly string[], position: StorePosition, change: Partial<EvacuationReport> = {}) {
    return { zones: [...zones], kept: [], ...position, ageMs: 0, eraAgeMs: 60_000, isPartial: false, ...change };
}

t.test("a set with a later position replaces an earlier one, whoever tells it and in whatever order", async t => {
    const { knowledge, changes } = startKnowledge();
    t.equal(knowledge.isKnown(), false, "a router that starts must not serve yet");
    knowledge.applyStoreZones([], buildPosition(0, 4), 0);
    t.equal(knowledge.isKnown(), true);
    knowledge.mergeReport(buildReport(["a"], buildPosition(0, 6)), PEER);
    t.equal(knowledge.isEvacuated("a"), true);
    knowledge.applyStoreZones([], buildPosition(0, 5), 0);
    knowledge.mergeReport(buildReport([], buildPosition(0, 4)), PEER);
    t.equal(knowledge.isEvacuated("a"), true, "an answer that was overtaken ends no evacuation");
    knowledge.applyStoreZones(["a", "b"], buildPosition(0, 8), 0);
    knowledge.mergeReport(buildReport(["b"], buildPosition(0, 9)), PEER);
    t.strictSame(knowledge.listZones(), ["b"]);
    t.strictSame(changes, [`+a ${PEER}`, "+b platform", `-a ${PEER}`]);
});

t.test("age counts from the store's confirmation, and ends no evacuation", async t => {
    t.clock.enter();
    const { knowledge } = startKnowledge();
    knowledge.mergeReport(buildReport(["a"], buildPosition(0, 6), { ageMs: 300 }), PEER);
    t.clock.advance(60_000);
    t.equal(knowledge.getAgeMs(), 60_300);
    t.equal(knowledge.isEvacuated("a"), true, "a router that reaches nobody keeps what it last knew");
    knowledge.mergeReport(buildReport(["a"], buildPosition(0, 5), { ageMs: 10 }), PEER);
    t.equal(knowledge.getAgeMs(), 60_300, "an earlier set confirms nothing");
    knowledge.mergeReport(buildReport(["a"], buildPosition(0, 6), { ageMs: 100 }), PEER);
    t.equal(knowledge.getAgeMs(), 100);
});

t.test("in a new era, zones stay evacuated until it has named them or the time is over", async t => {
    t.clock.enter();
    const { knowledge, changes } = startKnowledge();
    knowledge.applyStoreZones(["a", "b", "c"], buildPosition(0, 90), 0);
    knowledge.applyStoreZones(["c"], buildPosition(1, 40), 0);
    t.strictSame(knowledge.listZones().sort(), ["a", "b", "c"], "the copy is older than the evacuations");
    t.clock.advance(1_000);
    knowledge.applyStoreZones(["a", "c"], buildPosition(1, 41), 0);
    knowledge.applyStoreZones(["c"], buildPosition(1, 42), 0);
    t.equal(knowledge.isEvacuated("a"), false, "the new era has named it and ended it");
    t.equal(knowledge.isEvacuated("b"), true);
    knowledge.applyStoreZones([], buildPosition(0, 95), 0);
    t.equal(knowledge.isEvacuated("c"), true, "nothing of the earlier era counts as new");
    t.clock.advance(EVACUATE_MS - 1_001);
    t.equal(knowledge.isEvacuated("b"), true);
    t.clock.advance(2);
    t.equal(knowledge.isEvacuated("b"), false);
    t.strictSame(changes, ["+a platform", "+b platform", "+c platform", "kept a,b", "-a platform", "-b era"]);
});

t.test("a router that starts in a new era learns from another what the earlier era named", async t => {
    t.clock.enter();
    const { knowledge: other } = startKnowledge();
    other.applyStoreZones(["a"], buildPosition(0, 90), 0);
    other.applyStoreZones([], buildPosition(1, 40), 0);
    t.clock.advance(3_000);
    const { knowledge } = startKnowledge();
    knowledge.applyStoreZones([], buildPosition(1, 40), 0);
    t.equal(knowledge.isEvacuated("a"), false);
    const report = other.buildReport();
    t.ok(report);
    knowledge.mergeReport(report as EvacuationReport, PEER);
    t.equal(knowledge.isEvacuated("a"), true);
    t.clock.advance(EVACUATE_MS - 3_000);
    t.equal(knowledge.isEvacuated("a"), false, "its time counts from the first router that read the new era");
    knowledge.mergeReport({ ...(report as EvacuationReport), eraAgeMs: EVACUATE_MS }, PEER);
    t.equal(knowledge.isEvacuated("a"), false);
});

t.test("a report that leaves zones out ends no evacuation and confirms nothing", async t => {
    const { knowledge } = startKnowledge();
    const zones = Array.from({ length: 70 }, (unused, index) => `z-${index}`);
    knowledge.applyStoreZones(zones, buildPosition(0, 6), 0);
    const report = knowledge.buildReport() as EvacuationReport;
    t.equal(report.zones?.length, 64, "messages stay bounded");
    const { knowledge: other } = startKnowledge();
    other.applyStoreZones(["z-69"], buildPosition(0, 5), 0);
    other.mergeReport(report, PEER);
    t.equal(other.listZones().length, 65);
    t.equal(other.getPosition().revision, 5);
});
