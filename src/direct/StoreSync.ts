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

/** Options of the synchronisation with the store. */
export interface StoreSyncOptions {
    service: KeyValueService;
    codec: DirectCodec;
    holder: RouteIndexHolder;
    directory: EndpointDirectory;
    /** Maximum time until a leaving endpoint is recognised, in milliseconds. */
    leavingMs: number;
    logger: Logger;
}

/** Synchronises routes and endpoints with the platform's key-value service. */
export interface StoreSync {
    /** Time since the service last answered an endpoint call, in milliseconds. */
    getAgeMs(): number;
    /** Time since the first endpoint answer after the last failed call, in milliseconds; 0 while calls fail. */
    getUptimeMs(): number;
    /** Revision of the service up to which the endpoints are known; 0 before the first listing. */
    getEndpointRevision(): number;
    stop(): Promise<void>;
}

/** Maximum wait of a document watch, in milliseconds; peers announce a version that this router has missed. */
const DOCUMENT_MAX_WAIT_MS = 2_500;
const DOCUMENT_PERIOD_MS = 50;
/** Answer timeout of a document watch after its wait, in milliseconds; equals the store client's timeout. */
const DOCUMENT_ANSWER_TIMEOUT_MS = 700;
/**
 * Fractions of `leavingMs` for the endpoint watch: the minimum period of its calls, the wait of a call, and the time
 * allowed for the answer. Their sum leaves a tenth for a second call after one that hung on a dead connection.
 */
const ENDPOINT_PERIOD_FRACTION = 0.4;
const ENDPOINT_WAIT_FRACTION = 0.2;
const ENDPOINT_ANSWER_FRACTION = 0.3;
/**
 * Upper bounds of that period and of the answer timeout, in milliseconds. With a long `leavingMs`, they keep the time
 * between two answers short, so that a slow answer does not make the store count as unreachable.
 */
const MAX_ENDPOINT_PERIOD_MS = 900;
const MAX_ENDPOINT_ANSWER_TIMEOUT_MS = 700;
/** Fraction of `leavingMs` without an answer from which the gap is logged. */
const LATE_ANSWER_FRACTION = 0.5;

/**
 * Starts the synchronisation.
 * @param options - Store, codec and the components that are updated.
 */
export function startStoreSync(options: StoreSyncOptions): StoreSync {
    const { service, codec, holder, directory, logger } = options;
    let answeredAt = Number.NEGATIVE_INFINITY;
    let endpointRevision = 0;
    /** Time of the first endpoint answer since the last failed call. */
    let availableSince: number | undefined;
    let isDown = false;
    const documentWatcher: PrefixWatcher = startPrefixWatcher({
        service,
        prefix: codec.documentPrefix,
        waitMs: DOCUMENT_MAX_WAIT_MS,
        periodMs: DOCUMENT_PERIOD_MS,
        answerTimeoutMs: DOCUMENT_ANSWER_TIMEOUT_MS,
        listener: {
            onListing: entries => entries.forEach(applyDocument),
            onChanged: applyDocument,
            onDeleted: () => undefined,
            onAnswer: () => undefined,
            onFailure: (error, call) => recordFailure(codec.documentPrefix, error, call),
        },
    });
    const endpointWatcher: PrefixWatcher = startPrefixWatcher({
        service,
        prefix: codec.endpointPrefix,
        waitMs: ENDPOINT_WAIT_FRACTION * options.leavingMs,
        periodMs: Math.min(MAX_ENDPOINT_PERIOD_MS, ENDPOINT_PERIOD_FRACTION * options.leavingMs),
        answerTimeoutMs: Math.min(MAX_ENDPOINT_ANSWER_TIMEOUT_MS, ENDPOINT_ANSWER_FRACTION * options.leavingMs),
        listener: {
            onListing(entries) {
                const records = entries.map(decodeEndpoint).filter(record => record !== undefined);
                directory.applyListing(records);
            },
            onChanged: applyEndpoint,
            onDeleted: key => directory.removeRecord(codec.getEndpointId(key)),
            onAnswer: recordAnswer,
            onFailure: (error, call) => recordFailure(codec.endpointPrefix, error, call),
        },
    });
    return {
        getAgeMs: () => readMonotonicMs() - answeredAt,
        getUptimeMs: () => (availableSince === undefined ? 0 : readMonotonicMs() - availableSince),
        getEndpointRevision: () => endpointRevision,
        async stop() {
            await Promise.all([documentWatcher.stop(), endpointWatcher.stop()]);
        },
    };

    function applyDocument(entry: KeyValueEntry): void {
        if (!codec.isDocumentKey(entry.key)) {
            return;
        }
        const decoded = codec.decodeDocument(entry.value);
        if ("problem" in decoded) {
            logger.logEvent(EventId.DocumentRejected, { revision: entry.revision, problem: decoded.problem });
            return;
        }
        holder.applyDocument(decoded.value, "platform");
    }

    function applyEndpoint(entry: KeyValueEntry): void {
        const record = decodeEndpoint(entry);
        if (record !== undefined) {
            directory.applyRecord(record);
        } else {
            directory.removeRecord(codec.getEndpointId(entry.key));
        }
    }

    function decodeEndpoint(entry: KeyValueEntry): EndpointRecord | undefined {
        const decoded = codec.decodeEndpoint(entry);
        if ("problem" in decoded) {
            logger.logEvent(EventId.EndpointRejected, { key: entry.key, problem: decoded.problem });
            return undefined;
        }
        return decoded.value;
    }

    function recordAnswer(revision: number): void {
        endpointRevision = revision;
        logLateAnswer(readMonotonicMs() - answeredAt);
        answeredAt = readMonotonicMs();
        availableSince ??= answeredAt;
        if (isDown) {
            isDown = false;
            // The document watch may be waiting on a connection that was broken by the outage.
            documentWatcher.restart();
            logger.logEvent(EventId.PlatformRestored);
        }
    }

    function logLateAnswer(gapMs: number): void {
        if (Number.isFinite(gapMs) && gapMs > LATE_ANSWER_FRACTION * options.leavingMs) {
            logger.logEvent(EventId.EndpointNewsLate, { gapMs: Math.round(gapMs), revision: endpointRevision });
        }
    }

    function recordFailure(prefix: string, error: unknown, call: WatcherCall): void {
        availableSince = undefined;
        const { isListing, fromRevision } = call;
        const lastedMs = Math.round(call.lastedMs);
        logger.logFailure(EventId.PlatformCallFailed, error, { prefix, isListing, fromRevision, lastedMs });
        if (!isDown) {
            isDown = true;
            logger.logFailure(EventId.PlatformUnavailable, error);
        }
    }
}
