/**
 * A place in the service's history. A service that is restored from a backup starts a new era, in which the revisions since the
 * backup are given out again, so that revisions of different eras say nothing of each other.
 */
export interface StorePosition {
    /** Number of the era, which rises with each restore. */
    era: number;
    revision: number;
}

/** Era of a service that doesn't tell it, and of the messages of routers of earlier versions: before all others. */
export const UNKNOWN_ERA = -1;

/** Position before the first answer of the service. */
export const START_POSITION: StorePosition = { era: UNKNOWN_ERA, revision: 0 };

/**
 * Compares two positions: by the era first, then by the revision.
 * @returns A negative number if the left one is earlier, a positive one if it is later, 0 if they are equal.
 */
export function comparePositions(left: StorePosition, right: StorePosition): number {
    return left.era - right.era || left.revision - right.revision;
}
