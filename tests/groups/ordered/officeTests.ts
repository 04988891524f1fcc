import t from "tap";
import { createMapOffice } from "../../../src/groups/ordered/MapOffice.js";
import type { RankReport } from "../../../src/groups/ordered/RankReport.js";
import { ErrorCode, createError } from "../../../src/errors/index.js";
import type { KeyValueService } from "../../../src/platform/index.js";
import { createKeyValueStore } from "../../../standins/platform/KeyValueStore.js";
import type { OwningTest } from "../../fixtures.js";

const SILENCE_OF_FIRST_MS = 801;
const SILENCE_OF_SECOND_MS = 1_051;

function startOffice(t: OwningTest, service: KeyValueService, rank: number) {
    const lost: number[] = [];
    const office = createMapOffice({ service, holder: `host-${rank}`, onLost: term => lost.push(term) });
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
    return { office, lost, hold: () => office.holdOffice(report) };
}

t.test("the office is sought after a silence only, and one agent wins it", async t => {
    t.clock.enter();
    const store = createKeyValueStore();
    const first = startOffice(t, store, 0);
    const second = startOffice(t, store, 1);
    t.notOk(first.office.isOwnTurn());
    t.clock.advance(SILENCE_OF_FIRST_MS);
    t.ok(first.office.isOwnTurn());
    const term = await first.hold();
    t.ok(term !== undefined && first.office.isInOffice());
    t.equal(await second.hold(), undefined);
    t.notOk(second.office.isInOffice());
    t.ok(second.office.acceptTerm(term ?? 0));
    t.notOk(second.office.acceptTerm((term ?? 0) - 1), "an earlier coordinator is turned away");
    t.clock.advance(SILENCE_OF_FIRST_MS);
    t.notOk(second.office.isOwnTurn(), "the second rank waits longer");
    t.clock.advance(SILENCE_OF_SECOND_MS - SILENCE_OF_FIRST_MS);
    t.ok(second.office.isOwnTurn());
});

t.test("an agent that stood still asks for its office again", async t => {
    t.clock.enter();
    const store = createKeyValueStore();
    const { office, lost, hold } = startOffice(t, store, 0);
    const term = await hold();
    t.clock.travel(Date.now() + 5_000);
    t.notOk(office.isInOffice(), "no order goes out on the old term");
    office.isOwnTurn();
    t.strictSame(lost, [term]);
    store.endLeases();
    const next = await hold();
    t.ok(next !== undefined && next > (term ?? 0), "the new term is a later one");
});

t.test("a coordinator goes on while the store is away, and nobody wins the office meanwhile", async t => {
    t.clock.enter();
    const store = createKeyValueStore();
    const away = createError({ code: ErrorCode.PlatformUnavailable, expected: "an answer", got: "nothing" });
    const first = startOffice(t, store, 0);
    const term = await first.hold();
    t.clock.advance(1_000);
    store.renewLease = () => Promise.reject(away);
    store.grantLease = () => Promise.reject(away);
    t.equal(await first.hold(), term);
    const second = startOffice(t, store, 1);
    await t.rejects(second.hold());
    t.equal(second.office.getTerm(), undefined);
});
