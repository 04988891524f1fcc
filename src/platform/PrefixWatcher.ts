import { ErrorCode, hasErrorCode } from "../errors/index.js";
import { type Loop, readMonotonicMs, startLoop, waitFor } from "../utils/time.js";
import type { KeyValueEntry, KeyValueService, WatchAnswer } from "./KeyValueService.js";

/** A call that a watcher has made. */
export interface WatcherCall {
    isListing: boolean;
    /** Revision that the call asked to go on from; 0 for a listing. */
    fromRevision: number;
    lastedMs: number;
}

/** Receives what a watcher learns of the entries below a prefix. */
export interface PrefixListener {
    /** All entries, after a start or when the history was lost. */
    onListing(entries: readonly KeyValueEntry[]): void;
    onChanged(entry: KeyValueEntry): void;
    /** Also told of an entry that was written and removed between two answers: its listener may know it from elsewhere. */
    onDeleted(key: string): void;
    /** The service has answered, with or without changes, up to a revision. */
    onAnswer(revision: number): void;
    /** A call has failed; it will be made again. */
    onFailure(error: unknown, call: WatcherCall): void;
}

/** Options of a watcher. */
export interface PrefixWatcherOptions {
    service: KeyValueService;
    prefix: string;
    /** Longest wait of one watch call, in milliseconds. */
    waitMs: number;
    /** Least time between two calls, in milliseconds: changes in between come with one answer. */
    periodMs: number;
    listener: PrefixListener;
}

/** Follows the entries below a prefix. */
export interface PrefixWatcher {
    /** Gives up the call in progress, whose connection may be dead, and reads a new listing at once. */
    restart(): void;
    stop(): Promise<void>;
}

/** Pause after a failed call, in milliseconds; doubles up to the greatest. */
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 400;

/**
 * Starts to follow the entries below a prefix: one listing, then watches from its revision on.
 * @param options - Service, prefix and receiver.
 */
export function startPrefixWatcher(options: PrefixWatcherOptions): PrefixWatcher {
    const { service, prefix, listener } = options;
    let revision: number | undefined;
    /** Revisions of the entries, so that an answer that overlaps an earlier one changes nothing. */
    let revisions = new Map<string, number>();
    let retryMs = FIRST_RETRY_MS;
    let running = new AbortController();
    const loop: Loop = startLoop(0, follow, () => undefined);
    return {
        restart() {
            revision = undefined;
            running.abort();
        },
        async stop() {
            running.abort();
            await loop.stop();
        },
    };

    async function follow(stopping: AbortSignal): Promise<void> {
        const startedAt = readMonotonicMs();
        const fromRevision = revision ?? 0;
        running = new AbortController();
        const signal = AbortSignal.any([stopping, running.signal]);
        try {
            if (revision === undefined) {
                await readListing();
            } else {
                const answer = await service.watchEntries(prefix, revision, options.waitMs, signal);
                if (running.signal.aborted) {
                    return;
                }
                applyAnswer(answer);
            }
            retryMs = FIRST_RETRY_MS;
            listener.onAnswer(revision ?? 0);
        } catch (error) {
            if (running.signal.aborted) {
                return;
            }
            if (hasErrorCode(error, ErrorCode.HistoryLost)) {
                revision = undefined;
                return;
            }
            const lastedMs = readMonotonicMs() - startedAt;
            listener.onFailure(error, { isListing: revision === undefined, fromRevision, lastedMs });
            await waitFor(retryMs, signal);
            retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
            return;
        }
        await waitFor(Math.max(0, options.periodMs - (readMonotonicMs() - startedAt)), signal);
    }

    async function readListing(): Promise<void> {
        const listing = await service.listSnapshot(prefix);
        revision = listing.revision;
        revisions = new Map(listing.entries.map(entry => [entry.key, entry.revision]));
        listener.onListing(listing.entries);
    }

    function applyAnswer(answer: WatchAnswer): void {
        for (const entry of answer.changed) {
            if (entry.revision > (revisions.get(entry.key) ?? 0)) {
                revisions.set(entry.key, entry.revision);
                listener.onChanged(entry);
            }
        }
        for (const key of answer.deleted) {
            revisions.delete(key);
            listener.onDeleted(key);
        }
        revision = Math.max(revision ?? 0, answer.revision);
    }
}
