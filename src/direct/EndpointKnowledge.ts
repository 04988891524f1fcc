import { START_POSITION, type StorePosition, UNKNOWN_ERA, comparePositions } from "../platform/index.js";
import { readMonotonicMs } from "../utils/time.js";

/** How recent a router's list of endpoints is, whichever router read it from the store. */
export interface EndpointKnowledge {
    /**
     * Records that the list is complete up to a position; a position of an earlier era than the known one is ignored.
     * @param position - Position in the store's history.
     * @param ageMs - Time since the store gave that position, in milliseconds.
     */
    recordPosition(position: StorePosition, ageMs: number): void;
    /**
     * Records an era of the store's history. The list of an earlier era stays in use, but says nothing of the new one, and the
     * store counts as available since now.
     * @returns Whether the store was restored, as far as this router knows: an earlier era was known.
     */
    recordEra(era: number): boolean;
    /**
     * Gets the position that another router names. One that tells no era, as it is of an earlier version, is taken to be in the
     * first era that this router knew: until a restore, that is right.
     */
    locateRevision(era: number, revision: number): StorePosition;
    /** Records that a call of this router to the store has failed. */
    recordFailure(): void;
    /** Gets the position in the store's history up to which the list is complete. */
    getPosition(): StorePosition;
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
    let position = START_POSITION;
    let firstEra = UNKNOWN_ERA;
    let confirmedAt = Number.NEGATIVE_INFINITY;
    let upSince: number | undefined;
    return {
        recordPosition(next, ageMs) {
            recordEra(next.era);
            if (next.era < position.era) {
                return;
            }
            const at = readMonotonicMs() - ageMs;
            if (upSince === undefined || at - confirmedAt >= PLATFORM_SILENCE_MS) {
                upSince = at;
            }
            position = comparePositions(next, position) > 0 ? next : position;
            confirmedAt = Math.max(confirmedAt, at);
        },
        recordEra,
        locateRevision: (era, revision) => ({ era: era === UNKNOWN_ERA ? firstEra : era, revision }),
        recordFailure() {
            upSince = undefined;
        },
        getPosition: () => position,
        getAgeMs,
        getUptimeMs: () =>
            upSince === undefined || getAgeMs() >= PLATFORM_SILENCE_MS ? 0 : readMonotonicMs() - upSince,
    };

    function recordEra(era: number): boolean {
        if (era <= position.era) {
            return false;
        }
        const isRestored = position.era !== UNKNOWN_ERA;
        if (isRestored) {
            upSince = undefined;
        } else {
            firstEra = era;
        }
        position = { era, revision: 0 };
        return isRestored;
    }

    function getAgeMs(): number {
        return readMonotonicMs() - confirmedAt;
    }
}
