/** Learns how long the callers of a route wait at first, and so how long one that comes back has waited already. */
export interface PatienceTracker {
    /**
     * Notes the patience that a caller announces.
     * @returns Time that it has surely waited before this attempt, in milliseconds.
     */
    recordPatience(route: string, patienceMs: number): number;
}

/** Part of the callers that announce less than the usual patience: some are in a hurry, and some come back. */
const IMPATIENT_PART = 0.1;
/** Weight of one caller in the usual patience; low, so that the many who come back after an outage hardly count. */
const WEIGHT = 0.005;

/**
 * Creates a tracker that knows no route. Callers of one route differ in patience, so only one that announces less than
 * nearly all others counts as come back.
 */
export function createPatienceTracker(): PatienceTracker {
    const usual = new Map<string, number>();
    return {
        recordPatience(route, patienceMs) {
            const known = usual.get(route) ?? patienceMs;
            const step = patienceMs < known ? IMPATIENT_PART - 1 : IMPATIENT_PART;
            usual.set(route, known * (1 + WEIGHT * step));
            return Math.max(0, known - patienceMs);
        },
    };
}
