import { waitFor } from "../../utils/time.js";
import type { AgentRankLink } from "./AgentRankLink.js";
import type { ExpertMap } from "./RankReport.js";
import { type PlanLimits, type SetPlan, planSet } from "./planMap.js";

/** Options of a plan for all sets of a group. */
export interface PlanSetsOptions {
    links: readonly AgentRankLink[];
    current: ExpertMap;
    /** Load of each expert, by set. */
    expertLoads: readonly (readonly number[])[];
    limits: PlanLimits;
}

/** Sets times ranks from which agents share the planning: below this, a plan takes less time than a call. */
const MIN_DISTRIBUTED_CELLS = 300;

/**
 * Plans all sets of a group. In a large group, each set is planned by another agent in parallel: on the CPU share of one
 * host, planning would take so long that demand has changed by the time it finishes.
 * @param options - Agents, map, loads and bounds.
 */
export async function planSets(options: PlanSetsOptions): Promise<SetPlan[]> {
    const { links, current } = options;
    if (current.length * links.length >= MIN_DISTRIBUTED_CELLS) {
        return Promise.all(current.map((unused, set) => planAtAgent(options, set)));
    }
    const plans: SetPlan[] = [];
    for (const set of current.keys()) {
        plans.push(planLocally(options, set));
        // Yields to the event loop between two sets, so that calls of other coordinators are answered.
        await waitFor(0);
    }
    return plans;
}

/** Plans a set at one of evenly spaced ranks' agents, or locally if that agent does not answer. */
async function planAtAgent(options: PlanSetsOptions, set: number): Promise<SetPlan> {
    const { links, current, expertLoads, limits } = options;
    const link = links[Math.floor((set * links.length) / current.length)];
    try {
        return (await link?.planSet(current[set] ?? [], expertLoads[set] ?? [], limits)) ?? planLocally(options, set);
    } catch {
        // Planning is deterministic, so the local plan equals the agent's; an unreachable agent shows in the next round.
        return planLocally(options, set);
    }
}

function planLocally({ current, expertLoads, limits }: PlanSetsOptions, set: number): SetPlan {
    return planSet(current[set] ?? [], expertLoads[set] ?? [], limits);
}
