import t from "tap";
import { createRankClient } from "../../platform/RankClient.js";
import { OrderAnswer, RankOrderKind } from "../../src/groups/ordered/index.js";
import { type Standin, startStandin } from "../../standins/Standin.js";
import type { OwningTest } from "../fixtures.js";

const REPORT = {
    phase: "colocated",
    group: { name: "g0", epoch: 3, rank: 2, state: "open" },
    size: 16,
    busy: false,
    sequence: 0,
    queued: 1,
    active: 4,
    born: 17,
    pace: 1.5,
    step: 53,
    mapping: 0,
    preloaded: 7,
    enabled: { version: 7, step: 60 },
    held: 60,
};

interface RankStandin extends Standin {
    orders: unknown[];
    status: number;
    isSilent: boolean;
    /** Orders that come first and get no answer. */
    unanswered: number;
}

async function startRank(t: OwningTest): Promise<RankStandin> {
    const orders: unknown[] = [];
    const state = { status: 202, isSilent: false, unanswered: 0 };
    const standin = await startStandin(0, (request, response, body) => {
        if (request.url === "/order") {
            orders.push(body);
            if (!state.isSilent && orders.length > state.unanswered) {
                response.writeHead(state.status).end();
            }
            return;
        }
        const answers: Record<string, unknown> = {
            "/report": REPORT,
            "/picked": { step: 55, epoch: 3, counts: [5, 6, 7] },
            "/picked?collections=1": { epoch: 3, mapping: { version: 0, experts: [[2, 18]] }, preloaded: null }, // eslint-disable-line no-restricted-syntax
        };
        response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(answers[request.url ?? ""]));
    });
    t.teardown(() => standin.close());
    return Object.assign(state, { ...standin, orders });
}

t.test("reports, counts and experts of a rank are decoded", async t => {
    const rank = await startRank(t);
    const client = createRankClient({ address: `127.0.0.1:${rank.port}`, timeoutMs: 300, orderTimeoutMs: 20 });
    t.matchSnapshot(await client.readReport());
    t.strictSame((await client.readCounts()).counts, [5, 6, 7]);
    t.strictSame(await client.readExperts(), [[2, 18]]);
});

t.test("orders are sent as the engine takes them, for one epoch", async t => {
    const rank = await startRank(t);
    const client = createRankClient({ address: `127.0.0.1:${rank.port}`, timeoutMs: 300, orderTimeoutMs: 20 });
    await client.sendOrder({ kind: RankOrderKind.Prepare, version: 7, map: [[[0, 2], [1]]] }, { epoch: 3 });
    await client.sendOrder({ kind: RankOrderKind.Hold, step: 60 }, { epoch: 3 });
    await client.sendOrder({ kind: RankOrderKind.Arm, version: 7, step: 60 }, { epoch: 3 });
    await client.sendOrder({ kind: RankOrderKind.Release, step: 60 }, { epoch: 3 });
    await client.sendOrder({ kind: RankOrderKind.Disarm, version: 7 }, { epoch: 3 });
    t.matchSnapshot(rank.orders);
});

t.test("an order is accepted, refused, or unknown without an answer; the report follows in each case", async t => {
    const rank = await startRank(t);
    const client = createRankClient({ address: `127.0.0.1:${rank.port}`, timeoutMs: 300, orderTimeoutMs: 20 });
    const send = () => client.sendOrder({ kind: RankOrderKind.Hold, step: 60 }, { epoch: 3 });
    t.match(await send(), { answer: OrderAnswer.Accepted, report: { heldStep: 60 } });
    rank.status = 409;
    t.match(await send(), { answer: OrderAnswer.Refused, report: { heldStep: 60 } });
    rank.isSilent = true;
    t.match(await send(), { answer: OrderAnswer.Unknown, report: { heldStep: 60 } });
});

t.test("an order left unanswered is given again at once, while the group may be held", async t => {
    const rank = await startRank(t);
    rank.unanswered = 3;
    const client = createRankClient({ address: `127.0.0.1:${rank.port}`, timeoutMs: 300, orderTimeoutMs: 20 });
    const startedAt = performance.now();
    const result = await client.sendOrder({ kind: RankOrderKind.Release, step: 60 }, { epoch: 3 });
    t.equal(result.answer, OrderAnswer.Accepted);
    t.equal(rank.orders.length, 4);
    t.ok(performance.now() - startedAt < 250, "within the time that a coordinator allows for the call");
});
