import net from "node:net";
import t from "tap";
import { createRandom } from "../../../bench/scheduling/Random.js";
import { openControlPort } from "../../../src/control/index.js";
import { createDirectCalls } from "../../../src/groups/ordered/AgentCalls.js";
import { createAgentRankLink } from "../../../src/groups/ordered/AgentRankLink.js";
import { createBranchRelay } from "../../../src/groups/ordered/BranchRelay.js";
import { createMapEncoder } from "../../../src/groups/ordered/MapEncoder.js";
import {
    type ExpertMap,
    OrderAnswer,
    type RankOrder,
    RankLink,
    RankOrderKind,
    type RankReport,
} from "../../../src/groups/ordered/index.js";
import { buildRankControl } from "../../../src/groups/ordered/rankControl.js";
import { buildList } from "../../../src/utils/list.js";
import { waitFor } from "../../../src/utils/time.js";
import { findFreePorts } from "../../../bench/fleet/ports.js";
import type { OwningTest } from "../../fixtures.js";

const ADDRESS = "127.0.0.1";
const KEY = "key-of-the-tests";
const SIZE = { layerSets: 12, ranks: 72, experts: 144, placements: 3 };
/** Experts that a typical change copies, over all sets, as observed on deployments of 72 ranks. */
const COPIES = 240;
/**
 * Bytes for one rank's order: over the 5.6 Mbit/s of a host, the orders to all ranks take a tenth of the two seconds
 * after which demand changes again.
 */
const MAX_ORDER_BYTES = Math.floor((5_600_000 / 8) * (2 * 0.1)) / SIZE.ranks;
/** Attempts allowed while the connection to the restarted agent is opened. */
const MAX_TRIES = 20;
const RETRY_MS = 50;

const REPORT: RankReport = {
    group: "g0",
    epoch: 1,
    rank: 0,
    size: SIZE.ranks,
    isOpen: true,
    bornAt: 1,
    step: 1,
    mapVersion: 1,
    preparedVersion: undefined,
    armed: undefined,
    heldStep: undefined,
    queued: 0,
    running: 0,
    pace: 1,
};

function createRecordingRank() {
    const orders: RankOrder[] = [];
    const link = new (class RecordingLink extends RankLink {
        override readReport = () => Promise.resolve(REPORT);
        override readCounts = () => Promise.resolve({ epoch: 1, step: 1, counts: [] });
        override readExperts = () => Promise.resolve([]);
        override sendOrder(order: RankOrder) {
            orders.push(order);
            return Promise.resolve({ answer: OrderAnswer.Accepted, detail: "", report: REPORT });
        }
    })();
    return { link, orders };
}

/** Starts an agent behind a proxy that counts the bytes sent to it. */
async function startCountedAgent(t: OwningTest) {
    const { link: rank, orders } = createRecordingRank();
    const [port = 0, countedPort = 0] = await findFreePorts(2);
    const startAgent = () => {
        const router = buildRankControl({ link: rank, acceptTerm: () => true, relay: createBranchRelay(KEY) });
        return openControlPort({ address: ADDRESS, port, router, processKey: KEY });
    };
    let agent = await startAgent();
    let bytes = 0;
    const counter = net.createServer(near => {
        const far = net.connect(port, ADDRESS);
        near.on("data", chunk => (bytes += chunk.length));
        near.pipe(far).pipe(near);
        near.on("error", () => far.destroy());
        far.on("error", () => near.destroy());
    });
    await new Promise<void>(resolve => counter.listen(countedPort, ADDRESS, resolve));
    const address = `${ADDRESS}:${countedPort}`;
    const link = createAgentRankLink({
        calls: createDirectCalls({ address, processKey: KEY, getTerm: () => 1, timeoutMs: 2_000 }),
        address,
        onSuperseded: () => undefined,
        encoder: createMapEncoder(),
    });
    t.teardown(async () => {
        link.close();
        agent.close();
        counter.close();
    });
    return {
        link,
        orders,
        async countBytes(run: () => Promise<unknown>): Promise<number> {
            const before = bytes;
            await run();
            return bytes - before;
        },
        async restartAgent() {
            agent.close();
            agent = await startAgent();
        },
    };
}

function buildFirstMap(): ExpertMap {
    return buildList(SIZE.layerSets, () =>
        buildList(SIZE.ranks, rank => buildList(SIZE.placements, place => (rank * 2 + place) % SIZE.experts)),
    );
}

/** Replaces some experts of a map by others, at places drawn at random. */
function changeMap(map: ExpertMap, seed: number): ExpertMap {
    const random = createRandom(seed);
    const next = map.map(ofSet => ofSet.map(experts => [...experts]));
    for (let copy = 0; copy < COPIES; copy++) {
        const experts = next[Math.floor(random.draw() * SIZE.layerSets)]?.[Math.floor(random.draw() * SIZE.ranks)];
        const expert = Math.floor(random.draw() * SIZE.experts);
        if (experts?.includes(expert) === false) {
            experts[Math.floor(random.draw() * experts.length)] = expert;
        }
    }
    return next.map(ofSet => ofSet.map(experts => experts.sort((left, right) => left - right)));
}

function getMap(order: RankOrder | undefined): ExpertMap | undefined {
    return order?.kind === RankOrderKind.Prepare ? order.map : undefined;
}

t.test("the orders of a change of 72 ranks' map fit the link of the coordinator's host", async t => {
    const { link, orders, countBytes } = await startCountedAgent(t);
    let map = buildFirstMap();
    await link.sendOrder({ kind: RankOrderKind.Prepare, version: 1, map }, { epoch: 1 });
    for (let version = 2; version < 6; version++) {
        map = changeMap(map, version);
        const order: RankOrder = { kind: RankOrderKind.Prepare, version, map };
        const bytes = await countBytes(() => link.sendOrder(order, { epoch: 1 }));
        t.strictSame(getMap(orders.at(-1)), map);
        t.ok(bytes <= MAX_ORDER_BYTES, `version ${version}: ${bytes} bytes`);
    }
});

t.test("a restarted agent is sent the whole map", async t => {
    const { link, orders, restartAgent } = await startCountedAgent(t);
    const first = buildFirstMap();
    await link.sendOrder({ kind: RankOrderKind.Prepare, version: 1, map: first }, { epoch: 1 });
    await restartAgent();
    const map = changeMap(first, 1);
    const order: RankOrder = { kind: RankOrderKind.Prepare, version: 2, map };
    let { answer } = await link.sendOrder(order, { epoch: 1 });
    for (let tries = 0; answer === OrderAnswer.Unknown && tries < MAX_TRIES; tries++) {
        await waitFor(RETRY_MS);
        ({ answer } = await link.sendOrder(order, { epoch: 1 }));
    }
    t.equal(answer, OrderAnswer.Accepted);
    t.equal(orders.length, 2);
    t.strictSame(getMap(orders.at(-1)), map);
});
