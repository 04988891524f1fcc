import t from "tap";
import { PLANNED, REFUSE_ALL } from "../../bench/scheduling/outageBench.js";
import { type OutageResult, playOutages } from "../../bench/scheduling/outageSimulation.js";
import {
    type OutageChange,
    type OutageRequest,
    type QueuedOutageRequest,
    compareAfterOutage,
    createOutageHistory,
    createOutageQueue,
    planOutageStep,
    planRefusal,
} from "../../src/scheduling/index.js";
import { buildList } from "../../src/utils/list.js";

const SERVICE = "lm";
const FIRST_EVENT_MS = 200;
const OUTLOOK = { now: 0, beganAt: 0, firstEventMs: FIRST_EVENT_MS, runMs: 2_000, hasRoomForReturns: true };

function buildRequest(change: Partial<OutageRequest> = {}): OutageRequest {
    return {
        arrivedAt: 0,
        deadlineAt: 8_000,
        targetAt: 403,
        gapMs: 2_000,
        gapFrom: 0,
        hasBegun: false,
        hasReturned: false,
        mayHaveRun: false,
        ...change,
    };
}

function startHistory() {
    const changes: OutageChange[] = [];
    let now = 0;
    const history = createOutageHistory({ readNow: () => now, onChange: change => changes.push(change) });
    return {
        history,
        changes,
        setNow(time: number) {
            now = time;
        },
    };
}

/** Creates a queue for a service that has been out since a time. */
function startQueue(maxWaiting = 100) {
    const state = {
        beganAt: 0 as number | undefined,
        endedAt: undefined as number | undefined,
        durations: [1_000],
        isStalled: false,
        freeSlots: 40,
    };
    const queue = createOutageQueue<QueuedOutageRequest>({
        service: SERVICE,
        history: {
            getBegan: () => state.beganAt,
            getEnded: () => state.endedAt,
            listDurations: () => state.durations,
            isStalled: () => state.isStalled,
        },
        countFreeSlots: () => state.freeSlots,
        countSlots: () => 40,
        countRouters: () => 4,
        getSpreadMs: () => 100,
        getDurations: () => ({ firstEventMs: FIRST_EVENT_MS, runMs: 2_000 }),
        maxWaiting,
        drawRandom: () => 0,
    });
    return { queue, state };
}

t.test("callers get more of their requests during outages than when all are refused", t => {
    const fleets = [
        { routers: 17, endpoints: 72, load: 0.95, outagesMs: [5_000, 5_000] },
        { routers: 46, endpoints: 63, load: 0.7, outagesMs: [2_500, 6_500] },
    ];
    for (const fleet of fleets) {
        const [before, planned] = [REFUSE_ALL, PLANNED].map(policy =>
            playOutages({ ...fleet, seed: 1, slots: 7, policy }),
        ) as [OutageResult, OutageResult];
        t.ok(planned.worth > before.worth, `${planned.worth} over ${before.worth}`);
        t.ok(planned.refusedAgain < before.refusedAgain, `${planned.refusedAgain} under ${before.refusedAgain}`);
        t.ok(planned.budgetUse <= 0.5, "the half of the retry budget that a router may use is kept");
    }
    t.end();
});

t.test("a request waits if the outage is likely to end in its time, and is sent away at once if it can't", t => {
    const returned = buildRequest({ hasReturned: true, deadlineAt: 4_000, targetAt: Number.NEGATIVE_INFINITY });
    t.match(planOutageStep(returned, { ...OUTLOOK, durations: [1_000] }), { isWaiting: true, untilAt: 1_800 });
    const tooLate = { ...returned, deadlineAt: 2_400 };
    t.strictSame(planOutageStep(tooLate, { ...OUTLOOK, durations: [6_000] }), { isWaiting: false, delayMs: undefined });
    const long = { ...OUTLOOK, durations: [6_000, 6_000, 6_000], hasRoomForReturns: false };
    t.strictSame(planOutageStep(buildRequest(), long), { isWaiting: false, delayMs: undefined }, "not held in vain");
    const waited = planRefusal(buildRequest(), { ...OUTLOOK, durations: [3_000] });
    t.ok((waited.delayMs ?? 0) > 1_000, "comes back for the end");
    t.end();
});

t.test("a stream that may have run is never asked to come back", t => {
    const broken = buildRequest({ mayHaveRun: true, gapFrom: -1_900 });
    t.strictSame(planOutageStep(broken, { ...OUTLOOK, durations: [3_000] }), { isWaiting: false, delayMs: undefined });
    t.end();
});

t.test("requests that came back, or can be in time, go before late ones", t => {
    const late = buildRequest({ targetAt: 100 });
    const inTime = buildRequest({ targetAt: 900 });
    const returned = buildRequest({ hasReturned: true, gapFrom: -500 });
    const order = [late, inTime, returned].sort((left, right) => compareAfterOutage(left, right, 500));
    t.strictSame(order, [returned, inTime, late]);
    t.end();
});

t.test("the end lets each router use its part of the slots at first, so that the surge finds a slot", t => {
    const { queue, state } = startQueue();
    const entries = buildList(30, () => ({ request: buildRequest(), sendsLeft: 1 }));
    const waiting = entries.filter(entry => queue.offerRequest(entry, 10) === undefined);
    t.equal(waiting.length, 30, "none is a probe, which may be its last send");
    state.beganAt = undefined;
    state.endedAt = 900;
    t.equal(queue.takeDecisions(900).length, 9, "nine tenths of 40 slots among 4 routers");
    t.equal(queue.takeDecisions(950).length, 0, "the others' sends are not known yet");
    state.freeSlots = 12;
    t.equal(queue.takeDecisions(1_000).length, 2);
    t.equal(queue.countWaiting(), 19);
    t.end();
});

t.test("a suspicion refuses nobody, and requests that can't be served are refused once it is confirmed", t => {
    const { queue, state } = startQueue();
    state.isStalled = true;
    state.durations = [6_000, 6_000, 6_000];
    const entry = { request: buildRequest(), sendsLeft: 2 };
    t.equal(queue.offerRequest(entry, 400), undefined);
    t.equal(queue.takeDecisions(1_400).length, 0);
    state.isStalled = false;
    queue.takeDecisions(1_500);
    t.equal(queue.countWaiting(), 0, "not held until its caller would leave");
    t.end();
});

t.test("no more requests wait than the bound, and all have an answer by the time of a planned stop", t => {
    const { queue } = startQueue(5);
    const entries = buildList(8, () => ({ request: buildRequest(), sendsLeft: 2 }));
    const actions = entries.map(entry => queue.offerRequest(entry, 10));
    t.equal(queue.countWaiting(), 5);
    t.equal(actions.filter(action => action?.isSent === false).length, 2, "one of the others is a probe");
    queue.setLastStart(300);
    t.equal(queue.takeDecisions(300).length, 5);
    t.equal(queue.countWaiting(), 0);
    t.end();
});

t.test("routers learn the beginning and the end of an outage from each other", t => {
    const one = startHistory();
    const other = startHistory();
    buildList(6, index => one.history.detector.recordRejection(SERVICE, `i-${index}`, 100));
    other.history.detector.recordRejection(SERVICE, "i-1", 150);
    other.history.mergeReports("a", one.history.listReports(200), 200);
    t.equal(other.history.getBegan(SERVICE, 200), -1_400, "a report and a rejection of its own");
    one.setNow(3_000);
    one.history.detector.recordAcceptance(SERVICE);
    other.history.mergeReports("a", one.history.listReports(3_010), 3_010);
    t.equal(other.history.getBegan(SERVICE, 3_010), undefined);
    t.strictSame(other.history.listDurations(SERVICE), [4_400]);
    t.strictSame(
        other.changes.map(({ isOut, source }) => [isOut, source]),
        [
            [true, "peer"],
            [false, "peer"],
        ],
    );
    const started = startHistory();
    started.history.mergeReports("a", one.history.listReports(3_020), 3_020);
    t.strictSame(started.history.listDurations(SERVICE), [4_400], "a router that starts learns of earlier outages");
    t.end();
});

t.test("one other router's report alone, or a late one, is no outage", t => {
    const { history, setNow } = startHistory();
    history.mergeReports("a", [[SERVICE, 500, -1]], 1_000);
    t.equal(history.getBegan(SERVICE, 1_000), undefined);
    setNow(1_010);
    history.detector.recordRejection(SERVICE, "i-1", 1_000);
    history.detector.recordAcceptance(SERVICE);
    history.mergeReports("a", [[SERVICE, 500, -1]], 1_020);
    history.mergeReports("b", [[SERVICE, 520, -1]], 1_020);
    t.equal(history.getBegan(SERVICE, 1_020), undefined, "an endpoint has accepted a request since");
    t.end();
});

t.test("an outage that nothing shows any more is forgotten, and routers don't keep it up among themselves", t => {
    const { history, changes } = startHistory();
    history.mergeReports("a", [[SERVICE, 500, -1]], 1_000);
    history.mergeReports("b", [[SERVICE, 500, -1]], 1_000);
    t.equal(history.getBegan(SERVICE, 1_000), 500);
    t.strictSame(history.listReports(1_000), []);
    t.equal(history.getBegan(SERVICE, 4_100), undefined);
    t.match(changes.at(-1), { isOut: false, hasLapsed: true });
    t.strictSame(history.listDurations(SERVICE), []);
    t.end();
});
