import { ErrorCode, createError } from "../../src/errors/index.js";
import {
    type KeyValueEntry,
    KeyValueService,
    type Listing,
    type SwapAnswer,
    type SwapOptions,
    type WatchAnswer,
} from "../../src/platform/index.js";

/** Key-value service held in memory, which tests use directly and the HTTP stand-in serves. */
export interface KeyValueStore extends KeyValueService {
    /** Revision of the last write. */
    getRevision(): number;
    /** Ends a lease at once. */
    endLease(leaseId: string): void;
    /** Ends all leases, as time would without a renewal. */
    endLeases(): void;
    /** Changes an entry behind the back of its users, as an old copy of the platform would. */
    overwriteEntry(key: string, value: string): void;
    /** Gets the number of restores. */
    getEra(): number;
    /** Takes a backup. */
    takeBackup(): StoreBackup;
    /** Goes back to a backup: later writes and leases are gone, and their revisions and identifiers are given out again. */
    restoreBackup(backup: StoreBackup): void;
}

/** State of the service at one time. */
export interface StoreBackup {
    entries: Map<string, KeyValueEntry>;
    leases: Map<string, Lease>;
    changes: Change[];
    revision: number;
    leaseCount: number;
}

interface Lease {
    ttlMs: number;
    expiresAt: number;
    keys: Set<string>;
}

interface Change {
    revision: number;
    key: string;
    isDeletion: boolean;
}

const MAX_CHANGES = 100_000;

/** Creates a key-value service in memory, on the clock of the runtime. */
export function createKeyValueStore(): KeyValueStore {
    let entries = new Map<string, KeyValueEntry>();
    let leases = new Map<string, Lease>();
    let changes: Change[] = [];
    const waiting = new Set<() => void>();
    let revision = 0;
    let leaseCount = 0;
    let era = 0;

    return new (class MemoryKeyValueStore extends KeyValueService implements KeyValueStore {
        override async getEntry(key: string): Promise<KeyValueEntry | undefined> {
            expireLeases();
            return entries.get(key);
        }

        override async listEntries(prefix: string): Promise<KeyValueEntry[]> {
            expireLeases();
            return [...entries.values()].filter(entry => entry.key.startsWith(prefix));
        }

        override async listSnapshot(prefix: string): Promise<Listing> {
            return { entries: await this.listEntries(prefix), position: { era, revision } };
        }

        override async swapEntry(swap: SwapOptions): Promise<SwapAnswer> {
            expireLeases();
            const current = entries.get(swap.key);
            if ((current?.revision ?? 0) !== swap.expectedRevision) {
                return { applied: false, era, current };
            }
            if (swap.leaseId !== undefined && !leases.has(swap.leaseId)) {
                const expected = `lease ${swap.leaseId}`;
                throw createError({ code: ErrorCode.LeaseEnded, expected, got: "no such lease" });
            }
            if (swap.value === undefined) {
                deleteEntry(swap.key);
            } else {
                writeEntry(swap.key, swap.value);
                leases.forEach(lease => lease.keys.delete(swap.key));
                if (swap.leaseId !== undefined) {
                    leases.get(swap.leaseId)?.keys.add(swap.key);
                }
            }
            return { applied: true, era, current: entries.get(swap.key) };
        }

        override async grantLease(ttlMs: number): Promise<string> {
            leaseCount++;
            leases.set(String(leaseCount), { ttlMs, expiresAt: Date.now() + ttlMs, keys: new Set() });
            return String(leaseCount);
        }

        override async renewLease(leaseId: string): Promise<boolean> {
            expireLeases();
            const lease = leases.get(leaseId);
            if (lease === undefined) {
                return false;
            }
            lease.expiresAt = Date.now() + lease.ttlMs;
            return true;
        }

        override async watchEntries(
            prefix: string,
            afterRevision: number,
            timeoutMs: number,
            signal?: AbortSignal,
        ): Promise<WatchAnswer> {
            if (afterRevision > revision) {
                const expected = `changes after revision ${afterRevision}`;
                throw createError({ code: ErrorCode.HistoryLost, expected, got: `revision ${revision}` });
            }
            const found = collectChanges(prefix, afterRevision);
            if (found !== undefined) {
                return found;
            }
            return new Promise(resolve => {
                const timer = setTimeout(finish, timeoutMs);
                waiting.add(check);
                signal?.addEventListener("abort", finish, { once: true });
                function check(): void {
                    if (collectChanges(prefix, afterRevision) !== undefined) {
                        finish();
                    }
                }
                function finish(): void {
                    clearTimeout(timer);
                    waiting.delete(check);
                    signal?.removeEventListener("abort", finish);
                    const position = { era, revision };
                    resolve(collectChanges(prefix, afterRevision) ?? { position, changed: [], deleted: [] });
                }
            });
        }

        getRevision(): number {
            return revision;
        }

        endLease(leaseId: string): void {
            const lease = leases.get(leaseId);
            leases.delete(leaseId);
            lease?.keys.forEach(deleteEntry);
        }

        endLeases(): void {
            [...leases.keys()].forEach(leaseId => this.endLease(leaseId));
        }

        overwriteEntry(key: string, value: string): void {
            writeEntry(key, value);
        }

        getEra(): number {
            return era;
        }

        takeBackup(): StoreBackup {
            const kept = [...leases].map(([id, lease]) => [id, { ...lease, keys: new Set(lease.keys) }] as const);
            return { entries: new Map(entries), leases: new Map(kept), changes: [...changes], revision, leaseCount };
        }

        restoreBackup(backup: StoreBackup): void {
            entries = new Map(backup.entries);
            leases = new Map(backup.leases);
            changes = [...backup.changes];
            revision = backup.revision;
            leaseCount = backup.leaseCount;
            era++;
        }
    })();

    function writeEntry(key: string, value: string): void {
        revision++;
        entries.set(key, { key, value, revision });
        recordChange(key, false);
    }

    function deleteEntry(key: string): void {
        if (entries.delete(key)) {
            revision++;
            recordChange(key, true);
        }
    }

    function recordChange(key: string, isDeletion: boolean): void {
        changes.push({ revision, key, isDeletion });
        if (changes.length > MAX_CHANGES) {
            changes.splice(0, changes.length - MAX_CHANGES);
        }
        [...waiting].forEach(check => check());
    }

    function collectChanges(prefix: string, afterRevision: number): WatchAnswer | undefined {
        const since = changes.filter(change => change.revision > afterRevision && change.key.startsWith(prefix));
        if (since.length === 0) {
            return undefined;
        }
        const keys = [...new Set(since.map(change => change.key))];
        const present = keys.map(key => entries.get(key)).filter(entry => entry !== undefined);
        return { position: { era, revision }, changed: present, deleted: keys.filter(key => !entries.has(key)) };
    }

    function expireLeases(): void {
        for (const [leaseId, lease] of leases) {
            if (lease.expiresAt <= Date.now()) {
                leases.delete(leaseId);
                lease.keys.forEach(deleteEntry);
            }
        }
    }
}
