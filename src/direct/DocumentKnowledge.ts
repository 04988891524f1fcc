import { readMonotonicMs } from "../utils/time.js";

/** How recent a router's routing document is, whichever router read it from the store. */
export interface DocumentKnowledge {
    /**
     * Records that a version is the newest one.
     * @param version - Version in the store or at a peer.
     * @param ageMs - Time since the store confirmed that it is the newest, in milliseconds.
     */
    recordConfirmed(version: number, ageMs: number): void;
    /** Records that a version exists, though perhaps not the newest. */
    recordHeard(version: number): void;
    /** Gets the time since the store confirmed that the active version is the newest, in milliseconds. */
    getAgeMs(): number;
    /** Gets the highest version that is known to exist; 0 if none is. */
    getHeardVersion(): number;
    /** Gets the time for which a higher version than the active one has been known, in milliseconds; 0 if none is. */
    getBehindMs(): number;
}

/**
 * Creates the knowledge of a router that knows nothing yet.
 * @param getVersion - Gets the active version.
 */
export function createDocumentKnowledge(getVersion: () => number): DocumentKnowledge {
    let confirmedVersion = 0;
    let confirmedAt = Number.NEGATIVE_INFINITY;
    /** Time of the last confirmation of the active version while `confirmedVersion` is higher. */
    let activeConfirmedAt = Number.NEGATIVE_INFINITY;
    let heardVersion = 0;
    let behindSince = 0;
    return {
        recordConfirmed(version, ageMs) {
            if (version >= confirmedVersion) {
                const at = readMonotonicMs() - ageMs;
                activeConfirmedAt = confirmedVersion <= getVersion() ? confirmedAt : activeConfirmedAt;
                confirmedAt = version > confirmedVersion ? at : Math.max(confirmedAt, at);
                confirmedVersion = version;
            }
            recordHeard(version);
        },
        recordHeard,
        getAgeMs: () => readMonotonicMs() - (confirmedVersion <= getVersion() ? confirmedAt : activeConfirmedAt),
        getHeardVersion: () => heardVersion,
        getBehindMs: () => (heardVersion > getVersion() ? readMonotonicMs() - behindSince : 0),
    };

    /** A router that is behind stays so since the first version that it missed. */
    function recordHeard(version: number): void {
        if (version > heardVersion) {
            behindSince = heardVersion > getVersion() ? behindSince : readMonotonicMs();
            heardVersion = version;
        }
    }
}
