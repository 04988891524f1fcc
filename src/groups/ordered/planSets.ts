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

/** Sets times ranks from which agents share the work: below, a plan takes less time than a call. */
const LEAST_SHARED_CELLS = 300;

/**
 * Plans all sets of a group. Those of a large group are planned by as many agents at the same time: one host's share of
 * a processor would take so long that demand has changed by then.
 * @param options - Agents, map, loads and bounds.
 */
export async function planSets(options: PlanSetsOptions): Promise<SetPlan[]> {
    const { links, current } = options;
    if (current.length * links.length >= LEAST_SHARED_CELLS) {
        return Promise.all(current.map((unused, set) => planAtAgent(options, set)));
    }
    const plans: SetPlan[] = [];
    for (const set of current.keys()) {
        plans.push(planHere(options, set));
        // Looks and orders of other coordinators are answered between two sets.
        await waitFor(0);
    }
    return plans;
}

/** Agents that are far apart in the order of the ranks plan, and an agent that does not answer is spared the work. */
async function planAtAgent(options: PlanSetsOptions, set: number): Promise<SetPlan> {
    const { links, current, expertLoads, limits } = options;
    const link = links[Math.floor((set * links.length) / current.length)];
    try {
        return (await link?.planSet(current[set] ?? [], expertLoads[set] ?? [], limits)) ?? planHere(options, set);
    } catch {
        // The plan of an agent is the same as one made here, only sooner; a silent agent shows in the next look.
        return planHere(options, set);
    }
}

function planHere({ current, expertLoads, limits }: PlanSetsOptions, set: number): SetPlan {
    return planSet(current[set] ?? [], expertLoads[set] ?? [], limits);
}
