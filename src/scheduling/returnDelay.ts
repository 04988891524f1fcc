/** Longest delay, as a share of the caller's remaining time; callers ignore delays over a third. */
const LONGEST_SHARE = 0.3;
/** Shortest delay over the longest one. Delays are drawn between, so that a burst does not return as a burst. */
const SHORTEST_OF_LONGEST = 0.5;
/** Shortest delay, in milliseconds: sooner, the same requests are still in the way. */
const MIN_DELAY_MS = 250;

/**
 * Computes the delay after which a request that was refused for want of room should return, in milliseconds. It is late in
 * any case, and the later it returns, the more likely the shortage is over.
 * @param leftMs - Time that its caller has left, in milliseconds.
 * @param draw - Random number from 0 to 1.
 * @returns Undefined if the caller would not honour any useful delay.
 */
export function computeReturnDelay(leftMs: number, draw: number): number | undefined {
    const longestMs = leftMs * LONGEST_SHARE;
    if (longestMs < MIN_DELAY_MS) {
        return undefined;
    }
    return Math.max(MIN_DELAY_MS, longestMs * (1 - (1 - SHORTEST_OF_LONGEST) * draw));
}
