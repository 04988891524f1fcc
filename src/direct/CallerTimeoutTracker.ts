/**
 * Learns the timeouts that callers of each route announce, to estimate how long a caller that retries with its remaining
 * time has waited already.
 */
export interface CallerTimeoutTracker {
    /**
     * Records the timeout that a caller announces.
     * @returns Lower estimate of the time that it waited before this attempt, in milliseconds.
     */
    recordTimeout(route: string, timeoutMs: number): number;
}

/** Quantile of the announced timeouts that is tracked: below it are first attempts with short timeouts, and retries. */
const SHORT_TIMEOUT_QUANTILE = 0.1;
/** Weight of one caller in the estimate; low, so that the many retries after an outage hardly change it. */
const LEARNING_RATE = 0.005;

/**
 * Creates a tracker without data. Callers of one route announce different timeouts, so only one that announces less than
 * nearly all others counts as a retry.
 */
export function createCallerTimeoutTracker(): CallerTimeoutTracker {
    const quantiles = new Map<string, number>();
    return {
        recordTimeout(route, timeoutMs) {
            const quantileMs = quantiles.get(route) ?? timeoutMs;
            const step = timeoutMs < quantileMs ? SHORT_TIMEOUT_QUANTILE - 1 : SHORT_TIMEOUT_QUANTILE;
            quantiles.set(route, quantileMs * (1 + LEARNING_RATE * step));
            return Math.max(0, quantileMs - timeoutMs);
        },
    };
}
