import type { StorePosition } from "./StorePosition.js";

/** An entry of the platform's key-value service. */
export interface KeyValueEntry {
    key: string;
    value: string;
    /** Revision of the last write to the key; 0 stands for an absent key. */
    revision: number;
}

/** A compare-and-swap on one key. */
export interface SwapOptions {
    key: string;
    /** Revision that the key must have; 0 for an absent key. */
    expectedRevision: number;
    /** New value; undefined deletes the key. */
    value: string | undefined;
    /** Lease whose expiry deletes the key. */
    leaseId?: string;
}

/** Answer to a compare-and-swap. */
export interface SwapAnswer {
    applied: boolean;
    /** Era of the service's history in which the swap was decided. */
    era: number;
    /** Entry after the call; undefined if the key is absent. */
    current: KeyValueEntry | undefined;
}

/** Answer to a watch: entries changed after a revision. */
export interface WatchAnswer {
    /** Position up to which the changes are known. */
    position: StorePosition;
    changed: KeyValueEntry[];
    deleted: string[];
}

/** Entries below a prefix, and the position from which a watch continues. */
export interface Listing {
    entries: KeyValueEntry[];
    position: StorePosition;
}

/** Options of a listing. */
export interface ListingOptions {
    /** Allows a listing that is some seconds old, which costs the service less. */
    isStaleAllowed?: boolean;
}

/**
 * The platform's key-value service.
 *
 * A lease belongs to the era in which it was granted: its identifier may be given out again in the next one.
 * Every method rejects with `PlatformUnavailable` when the call had no effect,
 * and with `PlatformUncertain` when the response was lost and the call may have taken effect.
 */
export abstract class KeyValueService {
    /**
     * Gets an entry.
     * @param key - Key of the entry.
     */
    abstract getEntry(key: string): Promise<KeyValueEntry | undefined>;

    /**
     * Lists the entries whose key starts with a prefix.
     * @param prefix - Prefix of the keys.
     */
    abstract listEntries(prefix: string): Promise<KeyValueEntry[]>;

    /**
     * Lists the entries below a prefix together with the revision from which a watch continues.
     * @param prefix - Prefix of the keys.
     * @param options - Freshness.
     */
    abstract listSnapshot(prefix: string, options?: ListingOptions): Promise<Listing>;

    /**
     * Writes or deletes a key if its revision is the expected one.
     * @param options - Key, expected revision and new value.
     */
    abstract swapEntry(options: SwapOptions): Promise<SwapAnswer>;

    /**
     * Grants a lease.
     * @param ttlMs - Time to live in milliseconds.
     * @returns Identifier of the lease.
     */
    abstract grantLease(ttlMs: number): Promise<string>;

    /**
     * Renews a lease.
     * @param leaseId - Identifier of the lease.
     * @returns False if the lease has expired, or was granted in an earlier era.
     */
    abstract renewLease(leaseId: string): Promise<boolean>;

    /**
     * Waits for changes below a prefix. Rejects with `HistoryLost` if the service has compacted that part of its history.
     * @param prefix - Prefix of the keys.
     * @param afterRevision - Revision after which changes are returned.
     * @param timeoutMs - Maximum wait in milliseconds, after which the answer is empty.
     * @param signal - Ends the wait early.
     */
    abstract watchEntries(
        prefix: string,
        afterRevision: number,
        timeoutMs: number,
        signal?: AbortSignal,
    ): Promise<WatchAnswer>;
}
