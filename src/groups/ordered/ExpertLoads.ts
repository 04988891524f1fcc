import { buildList } from "../../utils/list.js";
import type { RankCounts } from "./RankReport.js";

/** Estimates the current load of each expert from the counts of the ranks. */
export interface ExpertLoads {
    /** Adds the choices at a source, a rank or several, since its previous counts to the estimate. */
    recordCounts(source: number, counts: RankCounts, now: number): void;
    /** Gets the load of each expert by set of layers. */
    getLoads(now: number): number[][];
    /** Gets the decayed number of choices behind the loads, which covers about the last time constant. */
    getWeight(now: number): number;
    /** Discards the previous counts of the ranks, which restart with an epoch, and keeps the loads. */
    restartCounts(): void;
}

/** Options of the estimate. */
export interface ExpertLoadsOptions {
    layerSets: number;
    experts: number;
    /** Time constant of the exponential decay, in milliseconds. */
    timeConstantMs: number;
}

/**
 * Creates an estimate without observations.
 * @param options - Sizes and time constant.
 */
export function createExpertLoads(options: ExpertLoadsOptions): ExpertLoads {
    const { layerSets, experts } = options;
    const loads = buildList(layerSets, () => new Array<number>(experts).fill(0));
    const previousCounts = new Map<number, RankCounts>();
    let weight = 0;
    let decayedAt: number | undefined;
    return { recordCounts, getLoads, getWeight, restartCounts: () => previousCounts.clear() };

    function recordCounts(source: number, counts: RankCounts, now: number): void {
        const before = previousCounts.get(source);
        previousCounts.set(source, counts);
        const hasRestarted =
            before !== undefined && counts.counts.some((count, at) => count < (before.counts[at] ?? 0));
        if (before === undefined || before.epoch !== counts.epoch || hasRestarted) {
            return;
        }
        decay(now);
        loads.forEach((ofSet, set) => {
            for (let expert = 0; expert < experts; expert++) {
                const at = set * experts + expert;
                const added = (counts.counts[at] ?? 0) - (before.counts[at] ?? 0);
                ofSet[expert] = (ofSet[expert] ?? 0) + added;
                weight += added;
            }
        });
    }

    function decay(now: number): void {
        if (decayedAt !== undefined && now > decayedAt) {
            const factor = Math.exp(-(now - decayedAt) / options.timeConstantMs);
            loads.forEach(ofSet => ofSet.forEach((load, expert) => (ofSet[expert] = load * factor)));
            weight *= factor;
        }
        decayedAt = now;
    }

    function getLoads(now: number): number[][] {
        decay(now);
        return loads.map(ofSet => [...ofSet]);
    }

    function getWeight(now: number): number {
        decay(now);
        return weight;
    }
}
