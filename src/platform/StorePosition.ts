/**
 * A place in the service's history. A service that is restored from a backup starts a new era, in which the revisions since the
 * backup are given out again, so that revisions of different eras say nothing of each other.
 */
export interface StorePosition {
    /** Number of the era, which rises with each restore; 0 for a service that doesn't tell it. */
    era: number;
    revision: number;
}

/** Position of a listing or a message that was never made. */
export const START_POSITION: StorePosition = { era: 0, revision: 0 };

/**
 * Compares two positions: by the era first, then by the revision.
 * @returns A negative number if the left one is earlier, a positive one if it is later, 0 if they are equal.
 */
export function comparePositions(left: StorePosition, right: StorePosition): number {
    return left.era - right.era || left.revision - right.revision;
}
