import {
    EngineRank,
    type EngineRankState,
    type Placement,
    type RankPermit,
    getMapVersion,
} from "../../src/groups/index.js";
import { buildList } from "../../src/utils/list.js";

/** A group of ranks that run in lock-step, with the record of their maps. */
export interface GroupEngine {
    ranks: EngineRank[];
    /** Runs a step if every rank may; false if one has to wait. */
    runStep(): boolean;
    /** Lets a single rank begin its next step without the others, as far as lock-step allows. */
    startStep(rank: number): void;
    /** Replaces a rank by a blank one, which joins where its group is. */
    replaceRank(rank: number): void;
    getStep(): number;
    /** Steps in which ranks used different maps. */
    countMixedSteps(): number;
    setLoads(loads: readonly number[]): void;
}

interface RankState {
    permit: RankPermit | undefined;
    staged: Set<number>;
    lastStep: number;
}

/**
 * Creates the engine of a group. It ignores fencing numbers: whatever order comes last is in force.
 * @param ranks - Number of ranks.
 * @param experts - Number of experts.
 */
export function createGroupEngine(ranks: number, experts: number): GroupEngine {
    const states = buildList(ranks, createBlank);
    const maps = new Map<number, Set<number>>();
    let step = 0;
    let loads: readonly number[] = new Array<number>(experts).fill(1);
    return {
        ranks: buildList(ranks, createRank),
        runStep,
        startStep,
        replaceRank(rank) {
            states[rank] = { ...createBlank(), lastStep: step - 1 };
        },
        getStep: () => step,
        countMixedSteps: () => [...maps.values()].filter(versions => versions.size > 1).length,
        setLoads(next) {
            loads = next;
        },
    };

    function createBlank(): RankState {
        return { permit: undefined, staged: new Set([1]), lastStep: -1 };
    }

    function createRank(rank: number): EngineRank {
        return new (class GroupEngineRank extends EngineRank {
            override async getState(): Promise<EngineRankState> {
                const state = getState(rank);
                return { lastStep: state.lastStep, staged: [...state.staged], expertLoads: [...loads] };
            }

            override async sendPermit(permit: RankPermit): Promise<void> {
                getState(rank).permit = permit;
            }

            override async stageMap(version: number, placement: Placement): Promise<void> {
                if (placement.length === ranks) {
                    getState(rank).staged.add(version);
                }
            }
        })();
    }

    function startStep(rank: number): void {
        const version = findVersion(rank);
        if (version === undefined || getState(rank).lastStep >= step) {
            return;
        }
        getState(rank).lastStep = step;
        const versions = maps.get(step) ?? new Set();
        versions.add(version);
        maps.set(step, versions);
    }

    function runStep(): boolean {
        states.forEach((state, rank) => startStep(rank));
        if (states.some(state => state.lastStep < step)) {
            return false;
        }
        step++;
        return true;
    }

    function findVersion(rank: number): number | undefined {
        const { permit } = getState(rank);
        return permit && getMapVersion(permit, step);
    }

    function getState(rank: number): RankState {
        return states[rank] as RankState;
    }
}
