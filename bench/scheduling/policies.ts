import { WorkRank } from "../../src/config/WorkRank.js";
import { type RankFloors, createAffinitySelector, createFairShareQueue } from "../../src/scheduling/index.js";
import {
    DEADLINE_ORDER,
    FIFO_ORDER,
    STRICT_ORDER,
    createBaselineQueue,
    createLeastLoadedChoice,
    createRoundRobinChoice,
} from "./baselines.js";
import type { Policy } from "./Simulation.js";

/** Floors of the simulated environment. */
export const FLOORS: RankFloors = { [WorkRank.Urgent]: 0.5, [WorkRank.Standard]: 0.2, [WorkRank.Deferrable]: 0.1 };

const MAX_WAITING = 2_000;
const INITIAL_MS_PER_COST = 20;
const MAX_LOAD_FACTOR = 1.25;
const ZONE_TOLERANCE = 0.25;

/** The decisions that ship. */
export const OURS: Policy = {
    name: "auburnpass",
    createQueue: concurrency =>
        createFairShareQueue({
            concurrency,
            floors: FLOORS,
            initialMsPerCost: INITIAL_MS_PER_COST,
            maxWaiting: MAX_WAITING,
        }),
    createChoice: random =>
        createAffinitySelector({ maxLoadFactor: MAX_LOAD_FACTOR, zoneTolerance: ZONE_TOLERANCE, random }),
};

/** Ways to schedule that ours is compared with. */
export const BASELINES: readonly Policy[] = [
    {
        name: "fifo + round robin",
        createQueue: () => createBaselineQueue(FIFO_ORDER, false),
        createChoice: () => createRoundRobinChoice(),
    },
    {
        name: "fifo + least loaded",
        createQueue: () => createBaselineQueue(FIFO_ORDER, false),
        createChoice: () => createLeastLoadedChoice(),
    },
    {
        name: "strict priority",
        createQueue: () => createBaselineQueue(STRICT_ORDER, true),
        createChoice: () => createLeastLoadedChoice(),
    },
    {
        name: "deadline order",
        createQueue: () => createBaselineQueue(DEADLINE_ORDER, true),
        createChoice: () => createLeastLoadedChoice(),
    },
];
