import {
    type KeyValueEntry,
    type KeyValueService,
    type PrefixWatcher,
    type WatcherCall,
    startPrefixWatcher,
} from "../platform/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import { readMonotonicMs } from "../utils/time.js";
import type { DirectCodec } from "./DirectCodec.js";
import type { EndpointDirectory } from "./EndpointDirectory.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { RouteIndexHolder } from "./RouteIndexHolder.js";

/** Options of the synchronisation with the platform. */
export interface StoreSyncOptions {
    service: KeyValueService;
    codec: DirectCodec;
    holder: RouteIndexHolder;
    directory: EndpointDirectory;
    /** Time in which a leaving endpoint is to be known, in milliseconds. */
    leavingMs: number;
    logger: Logger;
}

/** Keeps routes and endpoints up to date with the platform's key-value service. */
export interface StoreSync {
    /** Time since the service last answered a call about the endpoints, in milliseconds. */
    getAgeMs(): number;
    /** Time since the first answer after the last failed call, in milliseconds; 0 while calls fail. */
    getUpMs(): number;
    /** Revision of the service up to which the endpoints are known; 0 before the first listing. */
    getEndpointRevision(): number;
    stop(): Promise<void>;
}

/** Longest wait for a new document; peers tell of one that this router misses. */
const DOCUMENT_WAIT_MS = 2_500;
const DOCUMENT_PERIOD_MS = 50;
/** Time beyond its wait in which a watch for documents is answered, in milliseconds; that of the store's client. */
const DOCUMENT_ANSWER_MS = 700;
/**
 * Parts of the time in which a leaving endpoint is to be known: the least time between two calls of the watch, its wait,
 * and the time for its answer. Together they leave a tenth for a second call, after one that hung on a dead connection.
 */
const ENDPOINT_PERIOD_PART = 0.4;
const ENDPOINT_WAIT_PART = 0.2;
const ENDPOINT_ANSWER_PART = 0.3;
/** Longest such period and time for an answer, in milliseconds; together below the silence of a store out of reach. */
const MAX_ENDPOINT_PERIOD_MS = 900;
const MAX_ENDPOINT_ANSWER_MS = 700;
/** Part of the time in which a leaving endpoint is to be known after which a missing answer is worth a line in the log. */
const LATE_PART = 0.5;

/**
 * Starts the synchronisation.
 * @param options - Service, codec and receivers.
 */
export function startStoreSync(options: StoreSyncOptions): StoreSync {
    const { service, codec, holder, directory, logger } = options;
    let answeredAt = Number.NEGATIVE_INFINITY;
    let endpointRevision = 0;
    /** First answer about endpoints since the last failed call. */
    let upSince: number | undefined;
    let isDown = false;
    const documentWatcher: PrefixWatcher = startPrefixWatcher({
        service,
        prefix: codec.documentPrefix,
        waitMs: DOCUMENT_WAIT_MS,
        periodMs: DOCUMENT_PERIOD_MS,
        answerTimeoutMs: DOCUMENT_ANSWER_MS,
        listener: {
            onListing: entries => entries.forEach(takeDocument),
            onChanged: takeDocument,
            onDeleted: () => undefined,
            onAnswer: () => undefined,
            onFailure: (error, call) => recordFailure(codec.documentPrefix, error, call),
        },
    });
    const endpointWatcher: PrefixWatcher = startPrefixWatcher({
        service,
        prefix: codec.endpointPrefix,
        waitMs: ENDPOINT_WAIT_PART * options.leavingMs,
        periodMs: Math.min(MAX_ENDPOINT_PERIOD_MS, ENDPOINT_PERIOD_PART * options.leavingMs),
        answerTimeoutMs: Math.min(MAX_ENDPOINT_ANSWER_MS, ENDPOINT_ANSWER_PART * options.leavingMs),
        listener: {
            onListing(entries) {
                const records = entries.map(readEndpoint).filter(record => record !== undefined);
                directory.applyListing(records);
            },
            onChanged: takeEndpoint,
            onDeleted: key => directory.removeRecord(codec.getEndpointId(key)),
            onAnswer: recordAnswer,
            onFailure: (error, call) => recordFailure(codec.endpointPrefix, error, call),
        },
    });
    return {
        getAgeMs: () => readMonotonicMs() - answeredAt,
        getUpMs: () => (upSince === undefined ? 0 : readMonotonicMs() - upSince),
        getEndpointRevision: () => endpointRevision,
        async stop() {
            await Promise.all([documentWatcher.stop(), endpointWatcher.stop()]);
        },
    };

    function takeDocument(entry: KeyValueEntry): void {
        if (!codec.isDocumentKey(entry.key)) {
            return;
        }
        const decoded = codec.decodeDocument(entry.value);
        if ("problem" in decoded) {
            logger.logEvent(EventId.DocumentRejected, { revision: entry.revision, problem: decoded.problem });
            return;
        }
        holder.offerDocument(decoded.value, "platform");
    }

    function takeEndpoint(entry: KeyValueEntry): void {
        const record = readEndpoint(entry);
        if (record !== undefined) {
            directory.applyRecord(record);
        } else {
            directory.removeRecord(codec.getEndpointId(entry.key));
        }
    }

    function readEndpoint(entry: KeyValueEntry): EndpointRecord | undefined {
        const decoded = codec.decodeEndpoint(entry);
        if ("problem" in decoded) {
            logger.logEvent(EventId.EndpointRejected, { key: entry.key, problem: decoded.problem });
            return undefined;
        }
        return decoded.value;
    }

    function recordAnswer(revision: number): void {
        endpointRevision = revision;
        logGap(readMonotonicMs() - answeredAt);
        answeredAt = readMonotonicMs();
        upSince ??= answeredAt;
        if (isDown) {
            isDown = false;
            // The watch for documents may hang on a connection that the outage has killed.
            documentWatcher.restart();
            logger.logEvent(EventId.PlatformRestored);
        }
    }

    function logGap(gapMs: number): void {
        if (Number.isFinite(gapMs) && gapMs > LATE_PART * options.leavingMs) {
            logger.logEvent(EventId.EndpointNewsLate, { gapMs: Math.round(gapMs), revision: endpointRevision });
        }
    }

    function recordFailure(prefix: string, error: unknown, call: WatcherCall): void {
        upSince = undefined;
        const { isListing, fromRevision } = call;
        const lastedMs = Math.round(call.lastedMs);
        logger.logFailure(EventId.PlatformCallFailed, error, { prefix, isListing, fromRevision, lastedMs });
        if (!isDown) {
            isDown = true;
            logger.logFailure(EventId.PlatformUnavailable, error);
        }
    }
}
