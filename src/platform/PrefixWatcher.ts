import { ErrorCode, createError, hasErrorCode } from "../errors/index.js";
import { type Loop, readMonotonicMs, startLoop, waitFor } from "../utils/time.js";
import type { KeyValueEntry, KeyValueService, Listing, WatchAnswer } from "./KeyValueService.js";
import { START_POSITION, type StorePosition } from "./StorePosition.js";

/** A call that a watcher has made. */
export interface WatcherCall {
    isListing: boolean;
    /** Revision from which the call continued; 0 for a listing. */
    fromRevision: number;
    lastedMs: number;
}

/** Receives the changes of the entries below a prefix. */
export interface PrefixListener {
    /** Called before the entries of an answer in another era than the last one are reported; such an answer is a listing. */
    onEra?: (position: StorePosition) => void;
    /** Called with all entries after the start, after a restart, and when the history was lost. */
    onListing(entries: readonly KeyValueEntry[]): void;
    onChanged(entry: KeyValueEntry): void;
    /** Also called for an entry that was written and deleted between two answers, as the listener may know it from elsewhere. */
    onDeleted(key: string): void;
    /** Called after each answer of the service, with or without changes. */
    onAnswer(position: StorePosition, lastedMs: number): void;
    /** Called when a call has failed; the watcher retries it. */
    onFailure(error: unknown, call: WatcherCall): void;
}

/** Options of a watcher. */
export interface PrefixWatcherOptions {
    service: KeyValueService;
    prefix: string;
    /** Maximum wait of one watch call, in milliseconds. */
    waitMs: number;
    /** Minimum time between two calls, in milliseconds; changes in between arrive in one answer. */
    periodMs: number;
    /** Time beyond `waitMs` after which a watch call times out and is retried, in milliseconds. */
    answerTimeoutMs: number;
    /** Tells whether no calls are to be made for now. */
    isPaused?: () => boolean;
    listener: PrefixListener;
}

/** Watches the entries below a prefix. */
export interface PrefixWatcher {
    /** Aborts the current call, whose connection may be dead, and reads a new listing immediately. */
    restart(): void;
    stop(): Promise<void>;
}

/** Interval at which a paused watcher checks whether to go on, in milliseconds. */
const PAUSE_CHECK_MS = 50;
/** Delay after a failed call, in milliseconds; doubles up to `MAX_RETRY_MS`. */
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 400;
/** Maximum number of times that the timeout is doubled after consecutive timeouts, so that a slow service can answer. */
const MAX_TIMEOUT_DOUBLINGS = 3;

/**
 * Starts to watch the entries below a prefix: one listing, followed by watches from its revision.
 * @param options - Service, prefix and listener.
 */
export function startPrefixWatcher(options: PrefixWatcherOptions): PrefixWatcher {
    const { service, prefix, listener } = options;
    let position: StorePosition | undefined;
    /** Era of the last listing. */
    let listedEra: number | undefined;
    /** Revisions of the entries, to ignore changes that an earlier answer already contained. */
    let revisions = new Map<string, number>();
    let retryDelayMs = FIRST_RETRY_MS;
    let currentCall = new AbortController();
    /** Watch calls that timed out in a row. */
    let consecutiveTimeouts = 0;
    const loop: Loop = startLoop(0, runCycle, () => undefined);
    return {
        restart() {
            position = undefined;
            currentCall.abort();
        },
        async stop() {
            currentCall.abort();
            await loop.stop();
        },
    };

    async function runCycle(stopping: AbortSignal): Promise<void> {
        if (options.isPaused?.() === true) {
            await waitFor(PAUSE_CHECK_MS, stopping);
            return;
        }
        const startedAt = readMonotonicMs();
        const fromRevision = position?.revision ?? 0;
        currentCall = new AbortController();
        const signal = AbortSignal.any([stopping, currentCall.signal]);
        try {
            if (position === undefined) {
                const listing = await service.listSnapshot(prefix);
                if (currentCall.signal.aborted) {
                    return;
                }
                applyListing(listing);
            } else {
                const answer = await watchWithTimeout(position.revision, signal);
                if (currentCall.signal.aborted) {
                    return;
                }
                if (answer.position.era !== position.era) {
                    // The answer lacks what the service's new history holds up to the revision that the watch went on from.
                    position = undefined;
                    return;
                }
                applyAnswer(answer);
            }
            consecutiveTimeouts = 0;
            retryDelayMs = FIRST_RETRY_MS;
            listener.onAnswer(position ?? START_POSITION, readMonotonicMs() - startedAt);
        } catch (error) {
            if (currentCall.signal.aborted) {
                return;
            }
            if (hasErrorCode(error, ErrorCode.HistoryLost)) {
                position = undefined;
                return;
            }
            const lastedMs = readMonotonicMs() - startedAt;
            listener.onFailure(error, { isListing: position === undefined, fromRevision, lastedMs });
            if (hasErrorCode(error, ErrorCode.Timeout)) {
                return;
            }
            await waitFor(retryDelayMs, signal);
            retryDelayMs = Math.min(MAX_RETRY_MS, retryDelayMs * 2);
            return;
        }
        const periodMs = fromRevision === 0 ? computePauseAfterListing() : options.periodMs;
        await waitFor(Math.max(0, periodMs - (readMonotonicMs() - startedAt)), signal);
    }

    /** Lets the first watch end no later after the listing than a period, as later ones do after one another. */
    function computePauseAfterListing(): number {
        return Math.min(options.periodMs, Math.max(FIRST_RETRY_MS, options.periodMs - options.waitMs));
    }

    /** Aborts a call that exceeds its timeout: its connection may be dead, and the next call opens a new one. */
    async function watchWithTimeout(fromRevision: number, signal: AbortSignal): Promise<WatchAnswer> {
        const limitMs =
            options.waitMs + options.answerTimeoutMs * 2 ** Math.min(consecutiveTimeouts, MAX_TIMEOUT_DOUBLINGS);
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
        consecutiveTimeouts++;
        const expected = `an answer to a watch below ${prefix} within ${limitMs} ms`;
        throw createError({ code: ErrorCode.Timeout, expected, got: "silence" });
    }

    function applyListing(listing: Listing): void {
        position = listing.position;
        if (position.era !== listedEra) {
            listedEra = position.era;
            listener.onEra?.(position);
        }
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
        const { era } = answer.position;
        position = { era, revision: Math.max(position?.revision ?? 0, answer.position.revision) };
    }
}
