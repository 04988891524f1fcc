/** A request during which endpoints crashed, identified by its digest. */
export interface Suspect {
    digest: string;
    losses: number;
    /** Incremented when a completed run clears the request; on a merge, the higher generation wins. */
    generation: number;
}

/** Requests that are suspected of crashing endpoints, replicated between routers. */
export interface SuspectTable {
    recordLoss(digest: string, now: number): void;
    /** Clears a request after a completed run. */
    recordCompletion(digest: string): void;
    getLosses(digest: string): number;
    isEmpty(): boolean;
    /** Merges the entries of another router. */
    mergeSuspects(suspects: readonly Suspect[], now: number): void;
    listSuspects(now: number): Suspect[];
}

/** Endpoint crashes during a request after which it is refused. */
export const MAX_LOSSES = 2;
const RETENTION_MS = 600_000;
const MAX_SUSPECTS = 1_000;

interface SuspectEntry extends Suspect {
    expiresAt: number;
}

/** Creates an empty table. */
export function createSuspectTable(): SuspectTable {
    const entries = new Map<string, SuspectEntry>();
    return {
        recordLoss,
        recordCompletion,
        getLosses: digest => entries.get(digest)?.losses ?? 0,
        isEmpty: () => entries.size === 0,
        mergeSuspects,
        listSuspects,
    };

    function recordLoss(digest: string, now: number): void {
        const known = entries.get(digest);
        setEntry({ digest, losses: (known?.losses ?? 0) + 1, generation: known?.generation ?? 0 }, now);
    }

    function recordCompletion(digest: string): void {
        const known = entries.get(digest);
        if (known !== undefined && known.losses > 0) {
            known.losses = 0;
            known.generation++;
        }
    }

    function mergeSuspects(suspects: readonly Suspect[], now: number): void {
        for (const suspect of suspects) {
            const known = entries.get(suspect.digest);
            const generation = known?.generation ?? 0;
            const isLater = suspect.generation > generation;
            const isWorse = suspect.generation === generation && suspect.losses > (known?.losses ?? 0);
            if (isLater || isWorse) {
                setEntry(suspect, now);
            }
        }
    }

    function listSuspects(now: number): Suspect[] {
        for (const [digest, entry] of entries) {
            if (entry.expiresAt <= now) {
                entries.delete(digest);
            }
        }
        return [...entries.values()].map(({ digest, losses, generation }) => ({ digest, losses, generation }));
    }

    function setEntry(suspect: Suspect, now: number): void {
        entries.delete(suspect.digest);
        entries.set(suspect.digest, { ...suspect, expiresAt: now + RETENTION_MS });
        const [oldest] = entries.keys();
        if (entries.size > MAX_SUSPECTS && oldest !== undefined) {
            entries.delete(oldest);
        }
    }
}
