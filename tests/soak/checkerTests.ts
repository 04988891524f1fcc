import t from "tap";
import { createRunRecord } from "../../bench/soak/RunRecord.js";
import { type CallerAttempt, CallKind } from "../../bench/soak/SoakCallers.js";
import { type SoakSeen, checkSoak } from "../../bench/soak/SoakChecker.js";
import { buildPlainAnswer, buildStreamAnswer } from "../../bench/soak/SoakEndpoint.js";
import { FaultKind } from "../../bench/soak/SoakFaults.js";
import { LASTING_KEY, REVOKED_KEY } from "../../bench/soak/SoakPlatform.js";

function buildAttempt(change: Partial<CallerAttempt> = {}): CallerAttempt {
    const id = change.id ?? "a-1";
    return {
        id,
        router: "router-1",
        kind: CallKind.Stock,
        key: LASTING_KEY,
        sentAt: 10_000,
        endedAt: 10_100,
        patienceMs: 1_500,
        status: 200,
        stamp: `stamp-${id}`,
        body: buildPlainAnswer(id),
        isWhole: true,
        ...change,
    };
}

function buildSeen(attempts: CallerAttempt[], change: Partial<SoakSeen> = {}): SoakSeen {
    const record = createRunRecord();
    attempts.forEach(attempt =>
        record.addRun({ attempt: attempt.id, endpoint: "i-1", hasRun: true, team: "one", at: attempt.sentAt + 10 }),
    );
    return { attempts, record, faults: [], announcements: [], ownEnds: [], calmFrom: 1_000_000, ...change };
}

t.test("whole answers of the right run break nothing", t => {
    const stream = { id: "a-2", kind: CallKind.Advice, stamp: "stamp-a-2", body: buildStreamAnswer("a-2") };
    t.strictSame(checkSoak(buildSeen([buildAttempt(), buildAttempt(stream)])), []);
    t.end();
});

t.test("each broken promise is found", t => {
    const stream = { kind: CallKind.Advice, body: buildStreamAnswer("a-1") };
    const broken: Record<string, SoakSeen> = {
        "a booking that ran twice": buildSeen([
            buildAttempt({ kind: CallKind.Book }),
            buildAttempt({ kind: CallKind.Book }),
        ]),
        "a false promise": buildSeen([buildAttempt({ status: 503, stamp: undefined, body: "" })]),
        "a success without a signature": buildSeen([buildAttempt({ stamp: undefined })]),
        "the answer of another request": buildSeen([buildAttempt({ body: buildPlainAnswer("a-9") })]),
        "a cut answer that looks whole": buildSeen([buildAttempt({ body: buildPlainAnswer("a-1").slice(0, 50) })]),
        "a stream without its end that looks whole": buildSeen([
            buildAttempt({ ...stream, body: stream.body.slice(0, -20) }),
        ]),
        "a stream with a doubled event": buildSeen([
            buildAttempt({ ...stream, body: stream.body.slice(0, 40) + stream.body, isWhole: false }),
        ]),
        "a denied proper request": buildSeen([buildAttempt({ status: 401, stamp: undefined, body: "" })]),
        "a run with a key that was taken away": buildSeen([buildAttempt({ key: REVOKED_KEY })], {
            announcements: [{ kind: "revoked", subject: REVOKED_KEY, at: 7_900 }],
        }),
        "a denial with a key that was given back": buildSeen(
            [buildAttempt({ key: REVOKED_KEY, status: 401, stamp: undefined, body: "" })],
            { announcements: [{ kind: "restored", subject: REVOKED_KEY, at: 7_900 }] },
        ),
        "a run at an endpoint that has left": buildSeen([buildAttempt()], {
            announcements: [{ kind: "leaving", subject: "i-1", at: 7_900 }],
        }),
        "a request to a zone that was evacuated": buildSeen([buildAttempt()], {
            announcements: [{ kind: "evacuated", subject: "b", at: 6_500 }],
            faults: [{ kind: FaultKind.RouterFreeze, target: "router-1", from: 6_500, until: 9_500 }],
        }),
        "a request that planned work cut": buildSeen([buildAttempt({ status: undefined, body: "", isWhole: false })], {
            faults: [{ kind: FaultKind.RouterStop, target: "router-1", from: 9_000, until: 11_000 }],
        }),
        "callers without an answer at the end of their time": buildSeen(
            ["a-1", "a-2", "a-3"].map(id =>
                buildAttempt({ id, endedAt: 12_400, status: 504, stamp: undefined, body: "" }),
            ),
        ),
        "a system that doesn't recover": buildSeen([buildAttempt({ status: 502, stamp: undefined })], {
            calmFrom: -10_000,
        }),
        "a process that ends by itself": buildSeen([], { ownEnds: ["router-1 ended by itself with 1"] }),
    };
    t.matchSnapshot(Object.fromEntries(Object.entries(broken).map(([name, seen]) => [name, checkSoak(seen)])));
    for (const [name, seen] of Object.entries(broken)) {
        t.ok(checkSoak(seen).length > 0, name);
    }
    t.end();
});

t.test("bounds of time hold only for routers in touch", t => {
    const faults = [{ kind: FaultKind.RouterFreeze, target: "router-1", from: 6_500, until: 7_500 }];
    const leaving = [{ kind: "leaving" as const, subject: "i-1", at: 7_900 }];
    t.strictSame(checkSoak(buildSeen([buildAttempt()], { announcements: leaving, faults })), []);
    t.end();
});
