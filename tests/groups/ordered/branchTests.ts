import t from "tap";
import { findFreePorts } from "../../../bench/fleet/ports.js";
import { type ControlPort, openControlPort } from "../../../src/control/index.js";
import { createBranchRelay } from "../../../src/groups/ordered/BranchRelay.js";
import { sumDeltas, createCountsDecoder, createCountsEncoder } from "../../../src/groups/ordered/CountsDelta.js";
import {
    OrderAnswer,
    type RankCounts,
    RankLink,
    type RankOrder,
    RankOrderKind,
    type RankReport,
} from "../../../src/groups/ordered/index.js";
import { encodeMap } from "../../../src/groups/ordered/PackedMap.js";
import { groupIntoBranches } from "../../../src/groups/ordered/groupIntoBranches.js";
import { openGroupLinks } from "../../../src/groups/ordered/openGroupLinks.js";
import { buildRankControl } from "../../../src/groups/ordered/rankControl.js";
import { buildList } from "../../../src/utils/list.js";
import type { OwningTest } from "../../fixtures.js";

const KEY = "key-of-the-tests";
const ZONES = ["a", "b", "c"];
const EXPERTS = [10, 20, 30];

/** Host of a rank on the loopback network, each with an address of its own, so that all agents use the same port. */
function buildHost(rank: number) {
    return { rank, host: `127.0.${1 + Math.floor(rank / 200)}.${2 + (rank % 200)}`, zone: ZONES[rank % 3] ?? "" };
}

function buildReport(rank: number, size: number): RankReport {
    return {
        group: "g0",
        epoch: 1,
        rank,
        size,
        isOpen: true,
        bornAt: 1,
        step: 7,
        mapVersion: 1,
        preparedVersion: undefined,
        armed: undefined,
        heldStep: undefined,
        queued: 0,
        running: 0,
        pace: 1,
    };
}

/** Starts the agents of a group, and opens a coordinator's links to them. */
async function startGroup(t: OwningTest, size: number) {
    const [controlPort = 0] = await findFreePorts(1);
    const orders: RankOrder[][] = buildList(size, () => []);
    const counts = buildList(size, () => EXPERTS.map(() => 0));
    let acceptedTerm = 1;
    const relays = buildList(size, () => createBranchRelay(KEY));
    const agents: (ControlPort | undefined)[] = await Promise.all(
        buildList(size, rank => {
            const report = buildReport(rank, size);
            const link = new (class RecordingLink extends RankLink {
                override readReport = () => Promise.resolve(report);
                override readCounts = (): Promise<RankCounts> =>
                    Promise.resolve({ epoch: 1, step: 7, counts: [...(counts[rank] ?? [])] });
                override readExperts = () => Promise.resolve([[rank]]);
                override sendOrder(order: RankOrder) {
                    orders[rank]?.push(order);
                    return Promise.resolve({ answer: OrderAnswer.Accepted, detail: "", report });
                }
            })();
            const relay = relays[rank] ?? createBranchRelay(KEY);
            const router = buildRankControl({ link, acceptTerm: term => term >= acceptedTerm, relay });
            return openControlPort({ address: buildHost(rank).host, port: controlPort, router, processKey: KEY });
        }),
    );
    let superseded = 0;
    const group = openGroupLinks({
        hosts: buildList(size, buildHost),
        controlPort,
        processKey: KEY,
        getTerm: () => 1,
        onSuperseded: () => superseded++,
    });
    t.teardown(async () => {
        group.close();
        relays.forEach(relay => relay.close());
        agents.forEach(agent => agent?.close());
    });
    return {
        group,
        orders,
        counts,
        stopAgent(rank: number) {
            agents[rank]?.close();
            agents[rank] = undefined;
        },
        raiseTerm: () => acceptedTerm++,
        countSuperseded: () => superseded,
    };
}

t.test("a small group is called directly, and a large one by branches within zones of about equal size", t => {
    const sizes = [16, 24, 25, 72, 192, 384].map(size => {
        const branches = groupIntoBranches(buildList(size, buildHost));
        const members = branches.map(branch => branch.length);
        return {
            ranks: branches.flat().length,
            branches: branches.length,
            largest: Math.max(...members),
            areWithinZones: branches.every(branch => new Set(branch.map(({ zone }) => zone)).size === 1),
        };
    });
    t.matchSnapshot(sizes);
    t.end();
});

t.test("a coordinator of 30 ranks reaches all of them by calling the heads of its branches", async t => {
    const { group, orders, counts } = await startGroup(t, 30);
    const first = await group.reader.readGroup();
    t.strictSame(
        first.reports.map(report => report?.rank),
        buildList(30, rank => rank),
    );
    counts.forEach(ofRank => EXPERTS.forEach((count, expert) => (ofRank[expert] = count)));
    const experts = await Promise.all(group.links.map(link => link.readExperts()));
    t.strictSame(
        experts,
        buildList(30, rank => [[rank]]),
    );
    const order: RankOrder = { kind: RankOrderKind.Arm, version: 5, step: 9 };
    const results = await Promise.all(group.links.map(link => link.sendOrder(order, { epoch: 1 })));
    t.ok(results.every(({ answer, report }, rank) => answer === OrderAnswer.Accepted && report?.rank === rank));
    t.strictSame(
        orders,
        buildList(30, () => [order]),
    );
    t.ok(group.calledAgents < 10, `${group.calledAgents} agents are called`);
});

t.test("a map is sent to each branch once, and the next one as a change", async t => {
    const { group, orders } = await startGroup(t, 30);
    const maps = [1, 2].map(version => [buildList(30, rank => [rank, 30 + ((rank * version) % 30)])]);
    for (const [index, map] of maps.entries()) {
        const order: RankOrder = { kind: RankOrderKind.Prepare, version: index + 1, map };
        await Promise.all(group.links.map(link => link.sendOrder(order, { epoch: 1 })));
    }
    t.strictSame(
        orders.map(ofRank => ofRank.map(order => order.kind === RankOrderKind.Prepare && order.map)),
        buildList(30, () => maps),
    );
});

t.test(
    "when the head of a branch is gone, another member relays, and only the rank that is gone is missing",
    async t => {
        const { group, stopAgent } = await startGroup(t, 30);
        await group.reader.readGroup();
        stopAgent(0);
        const missing: number[] = [];
        for (let reading = 0; reading < 4; reading++) {
            const { reports } = await group.reader.readGroup();
            missing.push(reports.filter(report => report === undefined).length);
        }
        t.equal(missing.at(-1), 1, `missing: ${missing.join(", ")}`);
        const order: RankOrder = { kind: RankOrderKind.Hold, step: 9 };
        const results = await Promise.all(group.links.map(link => link.sendOrder(order, { epoch: 1 })));
        t.strictSame(
            results.flatMap(({ answer }, rank) => (answer === OrderAnswer.Accepted ? [] : [rank])),
            [0],
        );
    },
);

t.test("a coordinator learns through a branch that it is superseded, and no rank gets its orders", async t => {
    const { group, orders, raiseTerm, countSuperseded } = await startGroup(t, 30);
    raiseTerm();
    const { reports } = await group.reader.readGroup();
    t.ok(reports.every(report => report === undefined));
    t.ok(countSuperseded() > 0);
    const order: RankOrder = { kind: RankOrderKind.Hold, step: 9 };
    await Promise.all(group.links.map(link => link.sendOrder(order, { epoch: 1 })));
    t.equal(orders.flat().length, 0);
});

t.test("the counts of a branch are the sum of its members' of the same epoch", t => {
    const deltas = [
        [1, 5, 100],
        [1, 7, 200],
        [2, 9, 50],
    ].map(([epoch = 0, step, count = 0]) => {
        const encoder = createCountsEncoder();
        encoder.encodeCounts({ epoch, step: 0, counts: [0, 0] });
        return encoder.encodeCounts({ epoch, step: step ?? 0, counts: [count, 2 * count] });
    });
    const sum = sumDeltas(deltas);
    t.match(sum, { epoch: 1, step: 7 });
    const decoded = sum && createCountsDecoder().decodeCounts(sum);
    const [first = 0, second = 0] = decoded?.counts ?? [];
    t.ok(Math.abs(first - 300) < 5 && Math.abs(second - 600) < 5, `${first} and ${second}`);
    t.equal(sumDeltas([]), undefined);
    t.end();
});

t.test("a whole map of 192 ranks reaches all of them over links of 4.2 Mbit/s within half of the time for it", t => {
    const LINK_BYTES_PER_S = 4_200_000 / 8;
    const HALF_OF_PREPARE_S = 1.5;
    const map = buildList(10, set => buildList(192, rank => [rank, rank + 192, (rank * 7 + set) % 384]));
    const bytes = JSON.stringify(encodeMap(map)).length;
    const branches = groupIntoBranches(buildList(192, buildHost));
    const largest = Math.max(...branches.map(branch => branch.length));
    // The coordinator sends to each head, and each head to its members.
    const seconds = ((branches.length + largest) * bytes) / LINK_BYTES_PER_S;
    t.ok(seconds < HALF_OF_PREPARE_S, `${seconds.toFixed(2)} s`);
    t.end();
});
