import t from "tap";
import { type AdmissionLevels, createAdmissionLevels } from "../../src/scheduling/index.js";
import { buildList } from "../../src/utils/list.js";

const STEP_MS = 50;
const NEWS_MS = 200;
const MAX_WAIT_MS = 400;

/** Lets routers with uneven queues follow their levels; returns the spread of the levels at the end. */
function playLevels(hasNews: boolean): number {
    const routers = buildList(8, createAdmissionLevels);
    for (let now = 0; now < 6_000; now += STEP_MS) {
        routers.forEach((levels, index) => {
            levels.recordAdmission("llm", now);
            levels.updateLevel("llm", { waiting: index === 0 ? 40 : 0, maxWaitMs: MAX_WAIT_MS }, now);
        });
        if (hasNews && now % NEWS_MS === 0) {
            spreadReports(routers, now);
        }
    }
    const levels = routers.map(router => router.getLevel("llm"));
    return Math.max(...levels) - Math.min(...levels);
}

function spreadReports(routers: readonly AdmissionLevels[], now: number): void {
    const reports = routers.map(router => router.listReports(false, now));
    routers.forEach((router, own) =>
        reports.forEach((report, other) => own !== other && router.setReports(`${other}`, false, report, now)),
    );
}

t.test("routers with uneven queues refuse by the same level, as long as they hear of each other", t => {
    t.ok(playLevels(true) < 0.02);
    t.ok(playLevels(false) > 0.5);
    t.end();
});

t.test("the level falls to 0 after a shortage, and a router that was idle starts from there", t => {
    const levels = createAdmissionLevels();
    for (let now = 0; now < 4_000; now += STEP_MS) {
        levels.updateLevel("llm", { waiting: 50, maxWaitMs: MAX_WAIT_MS }, now);
    }
    t.ok(levels.getLevel("llm") > 0.9, "requests wait and none is admitted");
    t.equal(levels.updateLevel("llm", { waiting: 0, maxWaitMs: MAX_WAIT_MS }, 9_000), 0);
    t.end();
});

t.test("reports expire, and those of a zone count as many routers", t => {
    const levels = createAdmissionLevels();
    levels.updateLevel("llm", { waiting: 1, maxWaitMs: MAX_WAIT_MS }, 0);
    levels.setReports("a", false, { llm: [0.2, 3, 10, 1] }, 0);
    levels.setReports("zone-b", true, { llm: [0.4, 5, 20, 15] }, 0);
    t.match(levels.sumDemand("llm", 100), { waiting: 9, perSecond: 30 });
    t.strictSame(levels.listReports(true, 100), { llm: [0.1, 4, 10, 2] }, "the own zone only");
    t.equal(levels.hasNews("llm", 1_500), true);
    t.equal(levels.hasNews("llm", 1_501), false);
    t.match(levels.sumDemand("llm", 1_501), { waiting: 1, perSecond: 0 });
    t.end();
});
