import { computeHash32 } from "../utils/digest.js";
import { readMonotonicMs } from "../utils/time.js";
import { createDepartedEndpoints } from "./DepartedEndpoints.js";
import type { EndpointRecord } from "./EndpointRecord.js";

/** Kind of change to a directory entry. */
export enum DirectoryChange {
    Added = "added",
    Leaving = "leaving",
    Removed = "removed",
    /** An endpoint with the same identifier has a new start time. */
    Restarted = "restarted",
    /** The entry disappeared around a store outage; it is kept for a grace period because it may be restored. */
    Lapsed = "lapsed",
    Restored = "restored",
    /** The entry of an endpoint that departed before the store was restored from a copy; it is not used. */
    Distrusted = "distrusted",
}

/** Source name of updates that come from the platform's store. */
const PLATFORM_SOURCE = "platform";

/** Known endpoints, grouped by service. */
export interface EndpointDirectory {
    /**
     * Applies a complete listing; entries missing from it are removed, or kept as lapsed within the grace period.
     * @param source - Address of the peer that sent the listing, for the log; by default the platform.
     */
    applyListing(records: readonly EndpointRecord[], source?: string): void;
    /** Applies an entry that was written just now. */
    applyRecord(record: EndpointRecord): void;
    removeRecord(id: string): void;
    /** Records the era of the store's history that updates come from. */
    setEra(era: number): void;
    /** Lists the endpoints of a service that accept new requests, lapsed ones included. */
    listServing(service: string): readonly EndpointRecord[];
    /** Lists all endpoints, leaving ones included, whose entries have not lapsed. */
    listRecords(): EndpointRecord[];
    countRecords(): number;
    /** Tells whether an endpoint is known, lapsed ones included. */
    hasRecord(id: string): boolean;
    /** Gets a digest of the listed records, equal at routers that list the same ones. */
    getDigest(): number;
}

/** Options of the directory. */
export interface EndpointDirectoryOptions {
    /** Called on each change; the source is `platform` or a peer's address. */
    onChange: (change: DirectoryChange, record: EndpointRecord, source: string) => void;
    /**
     * Called with each entry that is taken in and the one that it replaces.
     * @param isWritten - Whether the entry was written just now, and not only listed.
     */
    onRecord?: (record: EndpointRecord, previous: EndpointRecord | undefined, isWritten: boolean) => void;
    /** Time after the store has recovered for which lapsed entries are kept, in milliseconds. */
    lapseGraceMs: number;
    /** Time after which the entry of a dead endpoint is gone from the store, in milliseconds. */
    entryLifetimeMs: number;
    /** Returns for how long the store has been available, in milliseconds; 0 during an outage. */
    getStoreUptimeMs: () => number;
}

interface DirectoryEntry {
    record: EndpointRecord;
    /** The entry disappeared around an outage of the store and may be restored. */
    hasLapsed: boolean;
    hash: number;
}

/** The digest is a sum of hashes below this number; the sum of two stays exact. */
const HASH_RANGE = 2 ** 48;
const LOW_HASH_RANGE = 2 ** 16;

/**
 * Creates an empty directory.
 * @param options - Change listener and grace period.
 */
export function createEndpointDirectory(options: EndpointDirectoryOptions): EndpointDirectory {
    const entries = new Map<string, DirectoryEntry>();
    const departed = createDepartedEndpoints(options.entryLifetimeMs);
    /** Cache of the serving endpoints by service; undefined after a change until it is next needed. */
    let servingByService: Map<string, EndpointRecord[]> | undefined;
    /** Whether an entry was left out of the cache because its endpoint departed in an earlier era. */
    let hasDistrusted = false;
    /** Upper bound on the number of lapsed entries; restored ones are still counted until the next expiry. */
    let maxLapsedCount = 0;
    let digest = 0;
    return {
        applyListing,
        applyRecord(record) {
            departed.recordWritten(record);
            applyRecord(record, PLATFORM_SOURCE, true);
        },
        removeRecord: id => removeRecord(id),
        setEra(era) {
            expireLapsed();
            if (departed.setEra(era, readMonotonicMs())) {
                servingByService = undefined;
            }
        },
        listServing,
        listRecords: () => [...entries.values()].filter(entry => !entry.hasLapsed).map(entry => entry.record),
        countRecords: () => entries.size,
        hasRecord: id => entries.has(id),
        getDigest: () => digest,
    };

    function applyListing(records: readonly EndpointRecord[], source = PLATFORM_SOURCE): void {
        const listed = new Set(records.map(record => record.id));
        for (const id of [...entries.keys()].filter(id => !listed.has(id))) {
            removeRecord(id, source);
        }
        records.forEach(record => applyRecord(record, source));
    }

    function applyRecord(record: EndpointRecord, source = PLATFORM_SOURCE, isWritten = false): void {
        departed.recordListed(record);
        const previous = entries.get(record.id);
        options.onRecord?.(record, previous?.record, isWritten);
        const hash = computeRecordHash(record);
        removeFromDigest(previous);
        digest = (digest + hash) % HASH_RANGE;
        entries.set(record.id, { record, hasLapsed: false, hash });
        servingByService = undefined;
        if (departed.isDeparted(record, readMonotonicMs())) {
            options.onChange(DirectoryChange.Distrusted, record, source);
        } else if (previous === undefined) {
            options.onChange(DirectoryChange.Added, record, source);
        } else if (previous.record.bornAt !== record.bornAt) {
            options.onChange(DirectoryChange.Restarted, record, source);
        } else if (previous.hasLapsed) {
            options.onChange(DirectoryChange.Restored, record, source);
        }
        if (record.isLeaving) {
            departed.recordDeparture(record, readMonotonicMs());
        }
        if (record.isLeaving && previous?.record.isLeaving !== true) {
            options.onChange(DirectoryChange.Leaving, record, source);
        }
    }

    function removeRecord(id: string, source = PLATFORM_SOURCE): void {
        const entry = entries.get(id);
        if (entry === undefined || entry.hasLapsed) {
            return;
        }
        removeFromDigest(entry);
        if (!entry.record.isLeaving && isInLapseGrace()) {
            entry.hasLapsed = true;
            maxLapsedCount++;
            options.onChange(DirectoryChange.Lapsed, entry.record, source);
            return;
        }
        deleteEntry(id, entry.record, source);
    }

    function deleteEntry(id: string, record: EndpointRecord, source: string): void {
        entries.delete(id);
        servingByService = undefined;
        departed.recordDeparture(record, readMonotonicMs());
        options.onChange(DirectoryChange.Removed, record, source);
    }

    function removeFromDigest(entry: DirectoryEntry | undefined): void {
        if (entry?.hasLapsed === false) {
            digest = (digest - entry.hash + HASH_RANGE) % HASH_RANGE;
        }
    }

    function isInLapseGrace(): boolean {
        return options.getStoreUptimeMs() < options.lapseGraceMs;
    }

    function expireLapsed(): void {
        if (maxLapsedCount === 0 || isInLapseGrace()) {
            return;
        }
        maxLapsedCount = 0;
        for (const [id, entry] of entries) {
            if (entry.hasLapsed) {
                deleteEntry(id, entry.record, PLATFORM_SOURCE);
            }
        }
    }

    function listServing(service: string): readonly EndpointRecord[] {
        expireLapsed();
        if (hasDistrusted && readMonotonicMs() >= departed.getTrustedAt()) {
            servingByService = undefined;
        }
        servingByService ??= groupServing();
        return servingByService.get(service) ?? [];
    }

    function groupServing(): Map<string, EndpointRecord[]> {
        const grouped = new Map<string, EndpointRecord[]>();
        const now = readMonotonicMs();
        hasDistrusted = false;
        for (const { record } of entries.values()) {
            const isDeparted = departed.isDeparted(record, now);
            hasDistrusted ||= isDeparted;
            if (!record.isLeaving && !isDeparted) {
                const list = grouped.get(record.service) ?? [];
                list.push(record);
                grouped.set(record.service, list);
            }
        }
        return grouped;
    }
}

function computeRecordHash(record: EndpointRecord): number {
    const { id, service, host, port, zone, slots, isLeaving, bornAt, group, coldLeftMs = 0 } = record;
    const fields = [id, service, host, port, zone, slots, isLeaving, bornAt, group?.name, group?.rank, group?.size];
    // Routers of earlier versions leave out coldness, so the digest of an entry that doesn't tell it stays the same.
    const text = JSON.stringify(coldLeftMs > 0 ? [...fields, coldLeftMs] : fields);
    return computeHash32(text) * LOW_HASH_RANGE + (computeHash32(`${text}#`) % LOW_HASH_RANGE);
}
