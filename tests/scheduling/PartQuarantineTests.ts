import t from "tap";
import {
    PartDecision,
    type PartQuarantine,
    PartStatus,
    createPartQuarantine,
} from "../../src/scheduling/PartQuarantine.js";

/** Time from a crash to the first trial, in milliseconds. */
const FIRST_TRIAL_MS = 1_000;
const SECOND_MS = 1_000;
const HOUR_MS = 3_600_000;
/** Requests with a crashing part that may reach endpoints after the fifth crash. */
const MAX_AFTER_FIFTH = 3;

interface TestedQuarantine extends PartQuarantine {
    statuses: string[];
    announcements: number;
}

function createTested(): TestedQuarantine {
    const tested = { statuses: [] as string[], announcements: 0 };
    const quarantine = createPartQuarantine({
        onStatus: (part, status) => void tested.statuses.push(`${part} ${status}`),
        announce: () => void tested.announcements++,
    });
    return Object.assign(tested, quarantine);
}

t.test("a part that was never answered is tried alone after one crash and refused after two", t => {
    const quarantine = createTested();
    quarantine.recordAnswer(["team"], 0);
    t.equal(quarantine.checkParts(["team", "dead"], 0), PartDecision.Allowed);
    quarantine.recordCrash(["team", "dead"], "e1", false, 100);
    t.equal(quarantine.checkParts(["team", "dead"], 200), PartDecision.Wait);
    t.equal(quarantine.checkParts(["team"], 200), PartDecision.Allowed, "sound requests of the same team are served");
    const trialAt = 100 + FIRST_TRIAL_MS;
    t.equal(quarantine.checkParts(["team", "dead"], trialAt), PartDecision.Trial);
    quarantine.startTrial(["team", "dead"], trialAt);
    t.equal(quarantine.checkParts(["other", "dead"], trialAt), PartDecision.Wait, "one trial at a time");
    quarantine.recordCrash(["team", "dead"], "e2", false, trialAt + 200);
    t.equal(quarantine.checkParts(["other", "dead"], trialAt + 2 * SECOND_MS), PartDecision.Refused);
    t.equal(quarantine.checkParts(["team"], trialAt + 2 * SECOND_MS), PartDecision.Allowed);
    t.strictSame(quarantine.statuses, ["dead suspected", "dead refused"]);
    t.equal(quarantine.announcements, 3, "two crashes and a trial");
    t.end();
});

t.test("a part is refused at once if an endpoint crashed as it began to answer, and all other parts are proven", t => {
    const quarantine = createTested();
    quarantine.recordAnswer(["team"], 0);
    quarantine.recordCrash(["team", "dead"], "e1", true, 100);
    t.equal(quarantine.checkParts(["dead"], 5 * SECOND_MS), PartDecision.Refused);
    t.equal(quarantine.checkParts(["team"], 200), PartDecision.Allowed);
    quarantine.recordCrash(["new", "newer"], "e2", true, 200);
    t.equal(quarantine.checkParts(["new"], 300), PartDecision.Wait, "not if two parts may be the cause");
    quarantine.recordAnswer(["new"], 400);
    t.equal(quarantine.checkParts(["newer"], 200 + FIRST_TRIAL_MS), PartDecision.Trial);
    quarantine.recordCrash(["team"], "e3", true, 500);
    t.equal(quarantine.checkParts(["team"], 600), PartDecision.Allowed, "nor a proven part");
    quarantine.recordAnswer(["dead"], 31 * SECOND_MS);
    t.equal(quarantine.checkParts(["dead"], 31 * SECOND_MS), PartDecision.Allowed, "an answer clears it");
    t.end();
});

t.test("an unproven part under which several endpoints crash at the same moment is refused", t => {
    const quarantine = createTested();
    quarantine.recordCrash(["dead"], "e1", false, 0);
    quarantine.recordCrash(["dead"], "e2", false, 30);
    t.equal(quarantine.checkParts(["dead"], 5 * SECOND_MS), PartDecision.Refused);
    t.end();
});

t.test("a part that crashed once for another cause is clear as soon as one request with it is answered", t => {
    const quarantine = createTested();
    quarantine.recordCrash(["new"], "e1", false, 0);
    quarantine.startTrial(["new"], FIRST_TRIAL_MS);
    quarantine.recordAnswer(["new"], FIRST_TRIAL_MS + 100);
    t.equal(quarantine.checkParts(["new"], FIRST_TRIAL_MS + 100), PartDecision.Allowed);
    t.end();
});

t.test("a trial without a result makes place for the next one", t => {
    const quarantine = createTested();
    quarantine.recordCrash(["new"], "e1", false, 0);
    quarantine.startTrial(["new"], FIRST_TRIAL_MS);
    quarantine.endTrial(["new"]);
    t.equal(quarantine.checkParts(["new"], FIRST_TRIAL_MS + 10), PartDecision.Trial);
    quarantine.startTrial(["new"], FIRST_TRIAL_MS + 10);
    t.equal(quarantine.checkParts(["new"], FIRST_TRIAL_MS + 9_000), PartDecision.Trial, "nor does a lost one block it");
    t.end();
});

t.test(
    "crashes of many endpoints with other causes don't keep the shared parts of sound requests from being served",
    t => {
        const quarantine = createTested();
        const parts = ["team", "subject"];
        for (let round = 0; round < 10; round++) {
            const at = round * 5 * SECOND_MS;
            quarantine.recordAnswer(parts, at);
            ["e1", "e2", "e3"].forEach(endpoint =>
                quarantine.recordCrash(parts, `${endpoint}/${round}`, false, at + 100),
            );
            t.equal(quarantine.checkParts(parts, at + 200), PartDecision.Allowed);
        }
        t.end();
    },
);

t.test("a part that was answered before can be found to crash endpoints, too", t => {
    const quarantine = createTested();
    quarantine.recordAnswer(["turned"], 0);
    const decisions = [1, 2, 3].map(crash => {
        const at = crash * 10 * SECOND_MS;
        quarantine.recordCrash(["turned"], `e${crash}`, false, at);
        return quarantine.checkParts(["turned"], at + 2 * SECOND_MS);
    });
    t.strictSame(decisions, [PartDecision.Allowed, PartDecision.Trial, PartDecision.Refused]);
    t.end();
});

t.test("a crash is put down to the part that was suspected before, not to the others of the same request", t => {
    const quarantine = createTested();
    quarantine.recordCrash(["dead"], "e1", false, 0);
    quarantine.recordCrash(["new", "dead"], "e2", false, 5 * SECOND_MS);
    t.equal(quarantine.checkParts(["dead"], 7 * SECOND_MS), PartDecision.Refused);
    t.equal(quarantine.checkParts(["new"], 7 * SECOND_MS), PartDecision.Allowed);
    t.end();
});

t.test("a part that was refused wrongly is found sound again", t => {
    const quarantine = createTested();
    quarantine.recordCrash(["new"], "e1", false, 0);
    quarantine.recordCrash(["new"], "e2", false, 5 * SECOND_MS);
    t.equal(quarantine.checkParts(["new"], 30 * SECOND_MS), PartDecision.Refused);
    t.equal(quarantine.checkParts(["new"], 36 * SECOND_MS), PartDecision.Trial);
    quarantine.startTrial(["new"], 36 * SECOND_MS);
    quarantine.recordAnswer(["new"], 37 * SECOND_MS);
    t.equal(quarantine.checkParts(["new"], 37 * SECOND_MS), PartDecision.Allowed);
    t.strictSame(quarantine.statuses, ["new suspected", "new refused", `new ${PartStatus.Clear}`]);
    t.end();
});

for (const [isUnderAnswer, maxEarly] of [
    [false, 2],
    [true, 1],
] as const) {
    t.test(`few requests with a crashing part reach endpoints over the hours (conclusive: ${isUnderAnswer})`, t => {
        const quarantine = createTested();
        const crashTimes: number[] = [];
        for (let now = 0; now < 2 * HOUR_MS; now += SECOND_MS) {
            const decision = quarantine.checkParts(["dead"], now);
            if (decision === PartDecision.Allowed || decision === PartDecision.Trial) {
                quarantine.startTrial(["dead"], now);
                quarantine.recordCrash(["dead"], `e${crashTimes.length}`, isUnderAnswer, now);
                crashTimes.push(now);
            }
            quarantine.listReports(now);
        }
        t.ok(crashTimes.length <= 5 + MAX_AFTER_FIFTH, `${crashTimes.length} crashes, at ${crashTimes.join(", ")} ms`);
        t.equal(crashTimes.filter(at => at < 30 * SECOND_MS).length, maxEarly);
        t.end();
    });
}

t.test("routers tell each other of crashes, trials and answers", t => {
    const [first, second, third] = [createTested(), createTested(), createTested()];
    second.recordAnswer(["team"], 0);
    first.recordCrash(["team", "dead"], "e1", false, SECOND_MS);
    second.mergeReports(first.listReports(SECOND_MS), SECOND_MS);
    t.equal(second.checkParts(["team"], SECOND_MS), PartDecision.Allowed, "it knows the answers of the team");
    first.mergeReports(second.listReports(SECOND_MS), SECOND_MS);
    t.equal(first.checkParts(["team"], SECOND_MS), PartDecision.Allowed, "and tells of them");
    const trialAt = SECOND_MS + FIRST_TRIAL_MS;
    second.startTrial(["dead"], trialAt);
    first.mergeReports(second.listReports(trialAt), trialAt);
    t.equal(first.checkParts(["dead"], trialAt), PartDecision.Wait);
    second.recordCrash(["dead"], "e2", false, trialAt + 200);
    // Both routers had requests at the endpoint; it is one crash.
    first.recordCrash(["dead"], "e2", false, trialAt + 210);
    third.mergeReports(first.listReports(trialAt + 300), 77_000);
    third.mergeReports(second.listReports(trialAt + 300), 77_000);
    t.equal(third.checkParts(["dead"], 78_000), PartDecision.Refused, "a router with another clock, too");
    t.equal(third.listReports(78_000).find(({ part }) => part === "dead")?.crashes.length, 2);
    t.end();
});

t.test("an answer that one router saw clears the part at the others", t => {
    const [first, second] = [createTested(), createTested()];
    first.recordCrash(["new"], "e1", false, 0);
    first.recordCrash(["new"], "e2", false, 5 * SECOND_MS);
    second.mergeReports(first.listReports(6 * SECOND_MS), 6 * SECOND_MS);
    t.equal(second.checkParts(["new"], 6 * SECOND_MS), PartDecision.Refused);
    second.recordAnswer(["new"], 7 * SECOND_MS);
    first.mergeReports(second.listReports(7 * SECOND_MS), 7 * SECOND_MS);
    t.equal(first.checkParts(["new"], 7 * SECOND_MS), PartDecision.Allowed);
    second.mergeReports(first.listReports(8 * SECOND_MS), 8 * SECOND_MS);
    t.equal(second.checkParts(["new"], 8 * SECOND_MS), PartDecision.Allowed, "an older report does not bring it back");
    t.end();
});

t.test("routers that tell each other of a part forget it in the end", t => {
    const [first, second] = [createTested(), createTested()];
    const exchange = (now: number): number => {
        second.mergeReports(first.listReports(now), now);
        first.mergeReports(second.listReports(now), now);
        return first.listReports(now).length + second.listReports(now).length;
    };
    first.recordCrash(["new"], "e1", false, 0);
    first.recordCrash(["dead"], "e2", false, 0);
    exchange(100);
    second.recordAnswer(["new"], 2 * SECOND_MS);
    exchange(3 * SECOND_MS);
    const [report] = first.listReports(3 * SECOND_MS).filter(({ part }) => part === "new");
    t.match(report, { generation: 1, crashes: [] });
    let known = 0;
    for (let now = 4 * SECOND_MS; now < HOUR_MS / 60; now += SECOND_MS) {
        known = exchange(now);
    }
    t.equal(known, 2, "the part that crashed an endpoint, at both");
    for (let now = HOUR_MS; now < 7 * HOUR_MS; now += 60 * SECOND_MS) {
        known = exchange(now);
    }
    t.equal(known, 0);
    t.end();
});
