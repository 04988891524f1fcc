/** Number of endpoints that died under one and the same request. */
export interface Suspect {
    digest: string;
    losses: number;
    /** Grows each time that a run clears the request; the higher one goes first. */
    generation: number;
}

/** Requests under which endpoints died, shared between routers. */
export interface SuspectTable {
    recordLoss(digest: string, now: number): void;
    /** A run that completed clears a request. */
    recordCompletion(digest: string): void;
    getLosses(digest: string): number;
    isEmpty(): boolean;
    /** Takes in what another router knows. */
    mergeSuspects(suspects: readonly Suspect[], now: number): void;
    listSuspects(now: number): Suspect[];
}

/** Endpoints that may be lost under one request before it is refused. */
export const MAX_LOSSES = 2;
const KEEP_MS = 600_000;
const MAX_SUSPECTS = 1_000;

interface Entry extends Suspect {
    until: number;
}

/** Creates an empty table. */
export function createSuspectTable(): SuspectTable {
    const entries = new Map<string, Entry>();
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
            if (entry.until <= now) {
                entries.delete(digest);
            }
        }
        return [...entries.values()].map(({ digest, losses, generation }) => ({ digest, losses, generation }));
    }

    function setEntry(suspect: Suspect, now: number): void {
        entries.delete(suspect.digest);
        entries.set(suspect.digest, { ...suspect, until: now + KEEP_MS });
        const [oldest] = entries.keys();
        if (entries.size > MAX_SUSPECTS && oldest !== undefined) {
            entries.delete(oldest);
        }
    }
}
