import t from "tap";
import type { AgentRankLink } from "../../../src/groups/ordered/AgentRankLink.js";
import type { PlanLimits } from "../../../src/groups/ordered/planMap.js";
import { planSet } from "../../../src/groups/ordered/planMap.js";
import { planSets } from "../../../src/groups/ordered/planSets.js";
import { buildList } from "../../../src/utils/list.js";

const SIZE = { layerSets: 12, ranks: 72, experts: 144 };
const LIMITS: PlanLimits = { placements: 3, reserve: 2, leastGainPerCopy: 0.24 };

/** Builds links to agents that plan, except those that do not answer. */
function buildLinks(ranks: number, isSilent: (rank: number) => boolean) {
    const planned: number[] = [];
    const links = buildList(ranks, rank => ({
        planSet(...plan: Parameters<AgentRankLink["planSet"]>) {
            planned.push(rank);
            return isSilent(rank) ? Promise.reject(new Error("silence")) : Promise.resolve(planSet(...plan));
        },
    }));
    return { links: links as unknown as AgentRankLink[], planned };
}

function buildGroup(layerSets: number, ranks: number) {
    const current = buildList(layerSets, () =>
        buildList(ranks, rank => [rank, rank + ranks].filter(expert => expert < SIZE.experts)),
    );
    const expertLoads = buildList(layerSets, set =>
        buildList(SIZE.experts, expert => 1_000 / (1 + ((expert * (set + 3)) % SIZE.experts))),
    );
    return { current, expertLoads, limits: LIMITS };
}

t.test("the sets of a large group are planned by separate agents, with the same result as by one", async t => {
    const group = buildGroup(SIZE.layerSets, SIZE.ranks);
    const { links, planned } = buildLinks(SIZE.ranks, rank => rank === 0);
    const plans = await planSets({ ...group, links });
    t.equal(new Set(planned).size, SIZE.layerSets);
    t.strictSame(
        plans,
        group.current.map((ofSet, set) => planSet(ofSet, group.expertLoads[set] ?? [], LIMITS)),
        "even where an agent does not answer",
    );
});

t.test("a small group's coordinator plans locally", async t => {
    const group = buildGroup(2, SIZE.ranks);
    const { links, planned } = buildLinks(SIZE.ranks, () => false);
    t.equal((await planSets({ ...group, links })).length, 2);
    t.strictSame(planned, []);
});
