import t from "tap";
import { AgentRankLink } from "../../../src/groups/ordered/AgentRankLink.js";
import { createDirectReader } from "../../../src/groups/ordered/GroupReader.js";
import { planSet } from "../../../src/groups/ordered/planMap.js";
import { createMapCoordinator } from "../../../src/groups/ordered/MapCoordinator.js";
import {
    type OrderResult,
    type RankCounts,
    type RankExperts,
    type RankOrder,
    RankOrderKind,
    type RankReport,
} from "../../../src/groups/ordered/index.js";
import { createLogger } from "../../../src/telemetry/logger.js";
import { createOrderedGroup } from "../../../standins/group/OrderedGroup.js";

const SIZE = { ranks: 2, layerSets: 1, experts: 4 };
/** Passes after a settlement during which no map is changed. */
const COOLDOWN_PASSES = 5;
const LAYOUT = { slots: 1, layerSets: SIZE.layerSets, experts: SIZE.experts, placements: 3, reserve: 2 };

/** A coordinator whose links reach the given ranks, in that order. */
function startCoordinator(reached: readonly number[]) {
    const group = createOrderedGroup({ ...SIZE, copyTicks: 0 });
    const orders: RankOrder[] = [];
    const demand = { counts: [0, 0, 0, 0] };
    const links = reached.map(
        rank =>
            new (class DirectLink extends AgentRankLink {
                override async readReportAndCounts(): Promise<{ report: RankReport; counts: RankCounts }> {
                    return { report: group.getReport(rank), counts: await this.readCounts() };
                }

                override planSet(...plan: Parameters<AgentRankLink["planSet"]>) {
                    return Promise.resolve(planSet(...plan));
                }

                override async readReport(): Promise<RankReport> {
                    return group.getReport(rank);
                }

                override async readCounts(): Promise<RankCounts> {
                    return { epoch: 1, step: group.getStep(), counts: [...demand.counts] };
                }

                override async readExperts(): Promise<RankExperts> {
                    return group.getExperts(rank);
                }

                override async sendOrder(order: RankOrder): Promise<OrderResult> {
                    orders.push(order);
                    const answer = group.applyOrder(rank, order, 1);
                    if (order.kind === RankOrderKind.Prepare) {
                        group.tick();
                    }
                    return { answer, detail: "", report: group.getReport(rank) };
                }

                override close(): void {
                    orders.length = 0;
                }
            })(),
    );
    const logger = createLogger("test", { writeLine: () => undefined, flush: () => Promise.resolve() });
    const coordinator = createMapCoordinator({
        group: "g0",
        layout: LAYOUT,
        links,
        reader: createDirectReader(links),
        maxConcurrentMaps: links.length,
        isLeader: () => true,
        metrics: { recordChange: () => undefined },
        logger,
    });
    return { coordinator, orders, group, demand };
}

t.test("a new coordinator settles its group before anything else", async t => {
    const { coordinator, orders } = startCoordinator([0, 1]);
    t.equal(await coordinator.runRound(), true);
    t.equal(orders.length, SIZE.ranks);
});

t.test("a group whose ranks have swapped positions gets no orders until its members are listed again", async t => {
    const { coordinator, orders } = startCoordinator([1, 0]);
    t.equal(await coordinator.runRound(), false);
    t.strictSame(orders, []);
});

t.test("a confirmed change that waits for its pass is not taken for the remains of an earlier coordinator", async t => {
    const { coordinator, orders, group, demand } = startCoordinator([0, 1]);
    await coordinator.runRound();
    for (let pass = 0; pass < COOLDOWN_PASSES; pass++) {
        group.tick();
    }
    await coordinator.runRound();
    demand.counts = [200_000, 1_000, 100_000, 1_000];
    await coordinator.runRound();
    t.equal(orders.at(-1)?.kind, RankOrderKind.Release, "the change is confirmed");
    const given = orders.length;
    await coordinator.runRound();
    await coordinator.runRound();
    t.equal(orders.length, given, "nothing is ordered while the ranks are armed");
    group.tick();
    group.tick();
    t.equal(group.countChanges(), 1);
    await coordinator.runRound();
    t.equal(orders.length, given, "nor once the map is in use");
});
