import t from "tap";
import { runGroupFaults } from "../../bench/groups/groupFaults.js";
import { runRebalance } from "../../bench/groups/rebalanceBench.js";
import { findFreePorts } from "../../bench/fleet/ports.js";
import { type BoundCheck, isMet } from "../../bench/Report.js";
import { startAgent } from "../../src/agent/startAgent.js";
import { EndpointKind } from "../../src/config/index.js";
import { buildList } from "../../src/utils/list.js";
import type { RunningProgram } from "../../src/utils/program.js";
import { waitFor } from "../../src/utils/time.js";
import { startGroupStandin } from "../../standins/group/groupStandin.js";
import { startPlatformStandin } from "../../standins/platform/platformStandin.js";
import { PROCESS_KEY } from "../fixtures.js";

t.test("100,000 steps under faults: no step with two maps", async t => {
    const report = await runGroupFaults({ seed: 1, steps: 100_000, ranks: 4, hasFaults: true });
    t.equal(report.mixedSteps, 0);
    t.ok(report.steps >= 100_000, `${report.steps} steps`);
    t.ok(report.changes > 1_000, `${report.changes} changes of the map`);
    t.ok(report.coordinators > 100, `${report.coordinators} coordinators`);
});

t.test("a healthy group never waits for a permit once it runs", async t => {
    const report = await runGroupFaults({ seed: 1, steps: 10_000, ranks: 4, hasFaults: false });
    t.equal(report.waitingRounds, 2, "only the rounds before the first grant");
});

for (const group of ["8 ranks x 9 slots", "32 ranks x 4 slots", "128 ranks x 2 slots"]) {
    t.test(`rebalancing keeps its bounds: ${group}`, async t => {
        const { checks } = await runRebalance(1);
        const isWanted = (check: BoundCheck): boolean => check.name.startsWith(group) && !check.name.includes("in ms");
        checks.filter(isWanted).forEach(check => t.ok(isMet(check), check.name));
    });
}

t.test("agents coordinate a group by themselves, also after their coordinator has stopped", async t => {
    const platform = await startPlatformStandin({ hostListLagMs: 0 });
    const group = await startGroupStandin({ ranks: 3, experts: 8, stepMs: 5 });
    group.engine.setLoads([8, 1, 1, 1, 1, 1, 1, 1]);
    const agents = await Promise.all(buildList(3, rank => startMember(rank)));
    await waitUntil(() => group.engine.getStep() > 300);
    const before = group.engine.getStep();
    await agents[0]?.stop();
    agents[0] = await startMember(0);
    await waitUntil(() => group.engine.getStep() > before + 500);
    t.equal(group.engine.countMixedSteps(), 0);
    const kept = await platform.store.getEntry("groups/g/schedule");
    t.match(kept?.value, /"version":2/, "the hot expert led to a new map");
    await Promise.all(agents.map(agent => agent.stop()));
    await group.close();
    await platform.close();

    async function startMember(rank: number): Promise<RunningProgram> {
        const [data] = await findFreePorts(1);
        return startAgent({
            host: `rank-${rank}`,
            zone: "zone-1",
            platform: { keyValue: platform.url, hostList: platform.url },
            processKeys: [PROCESS_KEY],
            routers: [],
            listen: { address: "127.0.0.1", data: data ?? 0, metrics: 0 },
            endpoint: { kind: EndpointKind.Engine, name: "assist-lm", url: group.url, concurrency: 8 },
            group: { name: "g", rank, ranks: 3, experts: 8, slotsPerRank: 4 },
            drainMs: 1_000,
            stallMs: 1_000,
        });
    }
});

async function waitUntil(isTrue: () => boolean): Promise<void> {
    const POLLS = 1_000;
    for (let poll = 0; poll < POLLS && !isTrue(); poll++) {
        await waitFor(20);
    }
}
