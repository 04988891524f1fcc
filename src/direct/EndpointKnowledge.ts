import { readMonotonicMs } from "../utils/time.js";

/** How recent a router's list of endpoints is, whichever router read it from the store. */
export interface EndpointKnowledge {
    /**
     * Records that the list is complete up to a revision.
     * @param revision - Revision of the store.
     * @param ageMs - Time since the store gave that revision, in milliseconds.
     */
    recordRevision(revision: number, ageMs: number): void;
    /** Records that a call of this router to the store has failed. */
    recordFailure(): void;
    /** Gets the revision of the store up to which the list is complete; 0 if there is none. */
    getRevision(): number;
    /** Gets the time since the store confirmed the list, in milliseconds. */
    getAgeMs(): number;
    /**
     * Gets the time for which the store has confirmed the list again and again without a silence and without a failed call
     * of this router, in milliseconds.
     */
    getUptimeMs(): number;
}

/** Time without news of the store after which it counts as silent, in milliseconds. */
export const PLATFORM_SILENCE_MS = 1_500;

/** Creates the knowledge of a router that knows nothing yet. */
export function createEndpointKnowledge(): EndpointKnowledge {
    let revision = 0;
    let confirmedAt = Number.NEGATIVE_INFINITY;
    let upSince: number | undefined;
    return {
        recordRevision(next, ageMs) {
            const at = readMonotonicMs() - ageMs;
            if (upSince === undefined || at - confirmedAt >= PLATFORM_SILENCE_MS) {
                upSince = at;
            }
            revision = Math.max(revision, next);
            confirmedAt = Math.max(confirmedAt, at);
        },
        recordFailure() {
            upSince = undefined;
        },
        getRevision: () => revision,
        getAgeMs,
        getUptimeMs: () =>
            upSince === undefined || getAgeMs() >= PLATFORM_SILENCE_MS ? 0 : readMonotonicMs() - upSince,
    };

    function getAgeMs(): number {
        return readMonotonicMs() - confirmedAt;
    }
}
