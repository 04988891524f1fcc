import { ErrorCode, createError, hasErrorCode } from "../errors/index.js";
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
    /** Time beyond its wait after which a call of a watch counts as hung and is made again, in milliseconds. */
    answerMs: number;
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
/** Most times that the time for an answer is doubled while calls hang: a slow service would never get to answer. */
const MAX_HUNG_DOUBLINGS = 3;

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
    /** Calls that hung in a row. */
    let hung = 0;
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
                const answer = await watchInTime(revision, signal);
                if (running.signal.aborted) {
                    return;
                }
                applyAnswer(answer);
            }
            hung = 0;
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
            if (hasErrorCode(error, ErrorCode.Timeout)) {
                return;
            }
            await waitFor(retryMs, signal);
            retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
            return;
        }
        await waitFor(Math.max(0, options.periodMs - (readMonotonicMs() - startedAt)), signal);
    }

    /** Gives a call up once it must have been answered: its connection may be dead, and a new call gets a new one. */
    async function watchInTime(fromRevision: number, signal: AbortSignal): Promise<WatchAnswer> {
        const limitMs = options.waitMs + options.answerMs * 2 ** Math.min(hung, MAX_HUNG_DOUBLINGS);
        const limit = new AbortController();
        const timer = setTimeout(() => limit.abort(), limitMs);
        try {
            const both = AbortSignal.any([signal, limit.signal]);
            const answer = await service.watchEntries(prefix, fromRevision, options.waitMs, both);
            if (!limit.signal.aborted) {
                return answer;
            }
        } catch (error) {
            if (!limit.signal.aborted) {
                throw error;
            }
        } finally {
            clearTimeout(timer);
        }
        hung++;
        const expected = `an answer to a watch below ${prefix} within ${limitMs} ms`;
        throw createError({ code: ErrorCode.Timeout, expected, got: "silence" });
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
