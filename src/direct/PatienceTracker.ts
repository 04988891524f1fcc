/** Learns how long the callers of a route wait at first, and so how long one that comes back has waited already. */
export interface PatienceTracker {
    /**
     * Notes the patience that a caller announces.
     * @returns Time that it has waited before this attempt, in milliseconds.
     */
    recordPatience(route: string, patienceMs: number): number;
}

/** Factor by which the greatest patience seen fades with each request, so that a new, shorter one is learned. */
const FADE = 0.998;

/** Creates a tracker that knows no route. */
export function createPatienceTracker(): PatienceTracker {
    const greatest = new Map<string, number>();
    return {
        recordPatience(route, patienceMs) {
            const usual = Math.max(patienceMs, (greatest.get(route) ?? 0) * FADE);
            greatest.set(route, usual);
            return usual - patienceMs;
        },
    };
}
