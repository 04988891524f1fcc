/** Estimated service rate of an endpoint. */
export interface ServiceRate {
    /** Updates the estimate from a finished item. */
    recordRun(cost: number, durationMs: number, firstByteMs: number): void;
    /** Gets the mean time that a slot needs per unit of cost, in milliseconds. */
    getMsPerCost(): number;
    /** Gets the mean time from the start in a slot to the first byte, in milliseconds. */
    getFirstByteMs(): number;
    /** Gets the mean duration of a run, in milliseconds. */
    getRunMs(): number;
}

const SMOOTHING = 0.1;
const WARM_UP_RUNS = 10;

/**
 * Creates an exponentially smoothed estimate.
 * @param initialMsPerCost - Estimate before the first run, in milliseconds.
 */
export function createServiceRate(initialMsPerCost: number): ServiceRate {
    let runs = 0;
    let meanCost = 1;
    let meanFirstByteMs = 0;
    let meanRunMs = initialMsPerCost;
    return {
        recordRun(cost, durationMs, firstByteMs) {
            runs++;
            const share = Math.max(SMOOTHING, 1 / Math.min(runs, WARM_UP_RUNS));
            meanCost += share * (Math.max(1, cost) - meanCost);
            meanFirstByteMs += share * (firstByteMs - meanFirstByteMs);
            meanRunMs += share * (durationMs - meanRunMs);
        },
        getMsPerCost: () => meanRunMs / meanCost,
        getFirstByteMs: () => meanFirstByteMs,
        getRunMs: () => meanRunMs,
    };
}
