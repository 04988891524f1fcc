/** Observed speed of an endpoint. */
export interface ServiceRate {
    /** Learns from a finished item. */
    recordRun(cost: number, durationMs: number, firstByteMs: number): void;
    /** Time that a slot needs for a unit of cost, in milliseconds. */
    getMsPerCost(): number;
    /** Time from the slot to the first byte, in milliseconds. */
    getFirstByteMs(): number;
    /** Time of a run, in milliseconds. */
    getRunMs(): number;
}

const SMOOTHING = 0.1;
const WARM_UP_RUNS = 10;

/**
 * Creates a smoothed estimate of an endpoint's speed.
 * @param initialMsPerCost - Estimate before the first run, in milliseconds.
 */
export function createServiceRate(initialMsPerCost: number): ServiceRate {
    let runs = 0;
    let meanCost = 1;
    let firstByte = 0;
    let run = initialMsPerCost;
    return {
        recordRun(cost, durationMs, firstByteMs) {
            runs++;
            const share = Math.max(SMOOTHING, 1 / Math.min(runs, WARM_UP_RUNS));
            meanCost += share * (Math.max(1, cost) - meanCost);
            firstByte += share * (firstByteMs - firstByte);
            run += share * (durationMs - run);
        },
        getMsPerCost: () => run / meanCost,
        getFirstByteMs: () => firstByte,
        getRunMs: () => run,
    };
}
