import t from "tap";
import { createCoordinatorElection } from "../../../src/groups/ordered/CoordinatorElection.js";
import type { RankReport } from "../../../src/groups/ordered/RankReport.js";
import { ErrorCode, createError } from "../../../src/errors/index.js";
import type { KeyValueService } from "../../../src/platform/index.js";
import { createKeyValueStore } from "../../../standins/platform/KeyValueStore.js";
import type { OwningTest } from "../../fixtures.js";

const FIRST_RANK_TIMEOUT_MS = 801;
const SECOND_RANK_TIMEOUT_MS = 1_051;

/** Runs pending microtasks. */
async function flushTasks(): Promise<void> {
    for (let turn = 0; turn < 12; turn++) {
        await Promise.resolve();
    }
}

function startElection(t: OwningTest, service: KeyValueService, rank: number) {
    const lost: number[] = [];
    const office = createCoordinatorElection({ service, holder: `host-${rank}`, onLost: term => lost.push(term) });
    t.teardown(async () => office.stop());
    const report: RankReport = {
        group: "g",
        rank,
        size: 2,
        epoch: 1,
        isOpen: true,
        bornAt: 0,
        step: 0,
        mapVersion: 0,
        preparedVersion: undefined,
        armed: undefined,
        heldStep: undefined,
        running: 0,
        queued: 0,
        pace: 1,
    };
    return { office, lost, hold: () => office.acquireLeadership(report) };
}

t.test("agents stand for election only after the election timeout, and one acquires the leadership", async t => {
    t.clock.enter();
    const store = createKeyValueStore();
    const first = startElection(t, store, 0);
    const second = startElection(t, store, 1);
    t.notOk(first.office.isLeaderOrCandidate());
    t.clock.advance(FIRST_RANK_TIMEOUT_MS);
    t.ok(first.office.isLeaderOrCandidate());
    const term = await first.hold();
    t.ok(term !== undefined && first.office.isLeader());
    t.equal(await second.hold(), undefined);
    t.notOk(second.office.isLeader());
    t.ok(second.office.acceptTerm(term ?? 0));
    t.notOk(second.office.acceptTerm((term ?? 0) - 1), "a coordinator with a lower term is rejected");
    t.clock.advance(FIRST_RANK_TIMEOUT_MS);
    t.notOk(second.office.isLeaderOrCandidate(), "the second rank waits longer");
    t.clock.advance(SECOND_RANK_TIMEOUT_MS - FIRST_RANK_TIMEOUT_MS);
    t.ok(second.office.isLeaderOrCandidate());
});

t.test("an agent that has just learned its rank leaves the leadership to the first ranks", t => {
    t.clock.enter();
    const { office } = startElection(t, createKeyValueStore(), 191);
    t.clock.advance(FIRST_RANK_TIMEOUT_MS);
    t.ok(office.isLeaderOrCandidate());
    office.recordRank(191);
    t.notOk(office.isLeaderOrCandidate());
    t.end();
});

t.test("an agent that was suspended acquires the leadership again", async t => {
    t.clock.enter();
    const store = createKeyValueStore();
    const { office, lost, hold } = startElection(t, store, 0);
    const term = await hold();
    t.clock.travel(Date.now() + 5_000);
    t.notOk(office.isLeader(), "no order goes out on the old term");
    office.isLeaderOrCandidate();
    t.strictSame(lost, [term]);
    store.endLeases();
    const next = await hold();
    t.ok(next !== undefined && next > (term ?? 0), "the new term is a later one");
});

t.test("a leadership outlives a round that takes longer than its lease", async t => {
    t.clock.enter();
    const store = createKeyValueStore();
    const { office, lost, hold } = startElection(t, store, 0);
    const term = await hold();
    let renewals = 0;
    store.renewLease = () => {
        renewals++;
        return Promise.resolve(true);
    };
    for (let passedMs = 0; passedMs < 4_500; passedMs += 50) {
        t.clock.advance(50);
        await flushTasks();
    }
    t.ok(renewals >= 4_500 / 1_500, `${renewals} renewals`);
    t.equal(office.getTerm(), term);
    store.renewLease = () => Promise.resolve(false);
    t.clock.advance(1_000);
    await flushTasks();
    t.strictSame([office.isLeader(), lost], [false, [term]], "a lease that ended is not acquired within the round");
});

t.test("a leader continues while the store is unavailable, and no other agent acquires the leadership", async t => {
    t.clock.enter();
    const store = createKeyValueStore();
    const away = createError({ code: ErrorCode.PlatformUnavailable, expected: "an answer", got: "nothing" });
    const first = startElection(t, store, 0);
    const term = await first.hold();
    t.clock.advance(1_000);
    store.renewLease = () => Promise.reject(away);
    store.grantLease = () => Promise.reject(away);
    t.equal(await first.hold(), term);
    const second = startElection(t, store, 1);
    await t.rejects(second.hold());
    t.equal(second.office.getTerm(), undefined);
});
