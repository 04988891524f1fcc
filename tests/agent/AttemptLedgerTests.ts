import t from "tap";
import { AttemptState, createAttemptLedger } from "../../src/agent/AttemptLedger.js";
import { createAttemptId } from "../../src/protocol/index.js";

const OPTIONS = { retentionMs: 1_000, idempotentRetentionMs: 100, maxAnswerBytes: 100, maxRecords: 3 };

t.test("an attempt that was asked for before it came is refused", async t => {
    const ledger = createAttemptLedger(OPTIONS);
    const id = createAttemptId();
    t.equal(ledger.settleState(id, 0), AttemptState.NeverSeen);
    t.equal(ledger.openAttempt({ id, isIdempotent: false, keyDigest: "k" }, 1), undefined);
    t.equal(ledger.settleState(id, 2), AttemptState.Tombstoned);
});

t.test("of an attempt that may have been forgotten nothing is claimed", async t => {
    t.clock.enter();
    const ledger = createAttemptLedger(OPTIONS);
    const old = createAttemptId();
    const older = createAttemptId();
    ledger.openAttempt({ id: old, isIdempotent: false, keyDigest: "k" }, 0);
    ledger.finishAttempt(old, 0);
    ledger.forgetExpired(5_000);
    t.equal(ledger.settleState(older, 5_000), AttemptState.Forgotten, "it can't be told from one that has run");
    t.clock.advance(1);
    t.equal(ledger.settleState(createAttemptId(), 5_000), AttemptState.NeverSeen);
});

t.test("a key that is barred is refused, and one that was run can't be barred", async t => {
    const ledger = createAttemptLedger(OPTIONS);
    t.equal(ledger.barKey("one", 0, 50), true);
    t.equal(ledger.openAttempt({ id: createAttemptId(), isIdempotent: false, keyDigest: "one" }, 10), undefined);
    t.ok(ledger.openAttempt({ id: createAttemptId(), isIdempotent: false, keyDigest: "one" }, 60));
    t.equal(ledger.barKey("one", 70, 50), false);
});

t.test("a full ledger takes no more work that may not be repeated", async t => {
    const ledger = createAttemptLedger(OPTIONS);
    for (let count = 0; count < OPTIONS.maxRecords; count++) {
        t.ok(ledger.openAttempt({ id: createAttemptId(), isIdempotent: false, keyDigest: `${count}` }, 0));
    }
    t.equal(ledger.openAttempt({ id: createAttemptId(), isIdempotent: false, keyDigest: "more" }, 0), undefined);
    t.ok(ledger.openAttempt({ id: createAttemptId(), isIdempotent: true, keyDigest: "" }, 0));
});
