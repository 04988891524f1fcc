import {
    type KeyValueEntry,
    type KeyValueService,
    type PrefixWatcher,
    type StorePosition,
    type WatcherCall,
    startPrefixWatcher,
} from "../platform/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import { type Loop, readMonotonicMs, roundAge, startLoop } from "../utils/time.js";
import type { DirectCodec } from "./DirectCodec.js";
import type { DocumentKnowledge } from "./DocumentKnowledge.js";
import type { EndpointDirectory } from "./EndpointDirectory.js";
import type { EndpointKnowledge } from "./EndpointKnowledge.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { RouteIndexHolder } from "./RouteIndexHolder.js";
import { type Evacuations, createStoreEvacuations } from "./evacuation/index.js";
import { computeDocumentWatchTimes, computeWatchTimes } from "./computeWatchTimes.js";

/** Options of the synchronisation with the store. */
export interface StoreSyncOptions {
    service: KeyValueService;
    codec: DirectCodec;
    holder: RouteIndexHolder;
    directory: EndpointDirectory;
    /** Maximum time until a leaving endpoint is recognised, in milliseconds. */
    leavingMs: number;
    /** Maximum time until a change of the document is in force, in milliseconds. */
    applyMs: number;
    /** Tells whether this router is to read the store itself. */
    isOnDuty: () => boolean;
    /** Updated with each answer on endpoints, and with failures. */
    knowledge: EndpointKnowledge;
    /** Updated with each answer on the document. */
    documentKnowledge: DocumentKnowledge;
    /** Updated with each answer on the evacuated zones, whose keys have the prefix of the document. */
    evacuations: Evacuations;
    /** Maximum time until an evacuation is obeyed, in milliseconds; infinite if there are none. */
    evacuateMs: number;
    /** Age of the knowledge of evacuated zones from which the store is read at once, in milliseconds. */
    maxEvacuationAgeMs: number;
    logger: Logger;
}

/** Synchronises routes and endpoints with the platform's key-value service. */
export interface StoreSync {
    /** Time for which the service has not answered the calls on endpoints or those on the document, in milliseconds. */
    getAgeMs(): number;
    /** Whether this router reads the service itself. */
    isReading(): boolean;
    /** Records a position that another router told, which may be the first news of a restore. */
    recordEra(position: StorePosition): void;
    stop(): Promise<void>;
}

/** Interval at which a router checks whether it is to read the service, in milliseconds. */
const DUTY_CHECK_MS = 50;
/** Fraction of `leavingMs` without an answer from which the gap is logged. */
const LATE_ANSWER_FRACTION = 0.5;
/** Fractions of `applyMs` that the document is unconfirmed, or a higher version is known, from which this is logged. */
const LATE_CONFIRMATION_FRACTION = 0.75;
const LATE_DOCUMENT_FRACTION = 0.5;

/**
 * Starts the synchronisation.
 * @param options - Store, codec and the components that are updated.
 */
export function startStoreSync(options: StoreSyncOptions): StoreSync {
    const { service, codec, holder, directory, logger } = options;
    const storeEvacuations = createStoreEvacuations(codec, options.evacuations, logger);
    const documentTimes = computeDocumentWatchTimes(options.applyMs, options.evacuateMs);
    let answeredAt = Number.NEGATIVE_INFINITY;
    let documentAnsweredAt = Number.NEGATIVE_INFINITY;
    let endpointRevision = 0;
    /** Version of the document that the store holds; undefined before it was read. */
    let storedVersion: number | undefined;
    let isDown = false;
    /** The store's newest document can't be read, so the active one is not the newest. */
    let isDocumentRejected = false;
    let isDocumentNewsLate = false;
    let areZonesLate = false;
    let isReading = true;
    /** The service was not called for a time, and has not answered since. */
    let isResuming = false;
    const isPaused = (): boolean => !isReading;
    const documentWatcher: PrefixWatcher = startPrefixWatcher({
        service,
        prefix: codec.documentPrefix,
        ...documentTimes,
        isPaused,
        listener: {
            onEra: position => recordEra(position, [endpointWatcher]),
            onListing(entries) {
                entries.forEach(applyDocument);
                storeEvacuations.applyListing(entries);
            },
            onChanged(entry) {
                applyDocument(entry);
                storeEvacuations.applyEntry(entry);
            },
            onDeleted: storeEvacuations.removeKey,
            onAnswer(position, lastedMs) {
                confirmDocument();
                storeEvacuations.confirm(position, lastedMs);
            },
            onFailure: (error, call) => recordFailure(codec.documentPrefix, error, call),
        },
    });
    const endpointWatcher: PrefixWatcher = startPrefixWatcher({
        service,
        prefix: codec.endpointPrefix,
        ...computeWatchTimes(options.leavingMs),
        isPaused,
        listener: {
            onEra: position => recordEra(position, [documentWatcher]),
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
    const dutyLoop: Loop = startLoop(
        DUTY_CHECK_MS,
        async () => {
            options.evacuations.update();
            updateDuty();
            checkDocumentNews();
            checkZoneNews();
        },
        error => logger.logFailure(EventId.TaskFailed, error, { task: "store duty" }),
    );
    return {
        getAgeMs: readAgeMs,
        isReading: () => isReading,
        recordEra: position => recordEra(position, [documentWatcher, endpointWatcher]),
        async stop() {
            await Promise.all([dutyLoop.stop(), documentWatcher.stop(), endpointWatcher.stop()]);
        },
    };

    function checkDocumentNews(): void {
        const { documentKnowledge, applyMs } = options;
        const ageMs = documentKnowledge.getAgeMs();
        const behindMs = documentKnowledge.getBehindMs();
        const isLate = ageMs > LATE_CONFIRMATION_FRACTION * applyMs || behindMs > LATE_DOCUMENT_FRACTION * applyMs;
        if (isLate && !isDocumentNewsLate && holder.getVersion() > 0) {
            const heard = documentKnowledge.getHeardVersion();
            const facts = { version: holder.getVersion(), heard, isReading };
            const times = { ageMs: roundAge(ageMs), behindMs: Math.round(behindMs) };
            logger.logEvent(EventId.DocumentNewsLate, { ...facts, ...times });
        }
        isDocumentNewsLate = isLate;
    }

    /** Lists the zones at once when the knowledge of them is old: a watch may hang, or wait for a change. */
    function checkZoneNews(): void {
        const ageMs = options.evacuations.getAgeMs();
        const isLate = options.evacuations.isKnown() && ageMs >= options.maxEvacuationAgeMs;
        if (isLate && !areZonesLate) {
            documentWatcher.restart();
            logger.logEvent(EventId.EvacuationNewsLate, { ageMs: roundAge(ageMs), isReading });
        }
        areZonesLate = isLate;
    }

    /** The wait of a watch of the document is no silence. */
    function readAgeMs(): number {
        const now = readMonotonicMs();
        return Math.max(now - answeredAt, now - documentAnsweredAt - documentTimes.waitMs);
    }

    function updateDuty(): void {
        const isOnDuty = options.isOnDuty();
        if (isOnDuty === isReading) {
            return;
        }
        isReading = isOnDuty;
        const { knowledge, documentKnowledge } = options;
        logger.logEvent(EventId.StoreDutyChanged, {
            isOnDuty,
            ageMs: Math.round(readMonotonicMs() - answeredAt),
            endpointAgeMs: roundAge(knowledge.getAgeMs()),
            documentAgeMs: roundAge(documentKnowledge.getAgeMs()),
            behindMs: Math.round(documentKnowledge.getBehindMs()),
        });
        if (!isOnDuty) {
            isResuming = true;
            // An answer under way may be older than what a peer tells from now on.
            endpointWatcher.restart();
        }
    }

    function applyDocument(entry: KeyValueEntry): void {
        if (!codec.isDocumentKey(entry.key)) {
            return;
        }
        const decoded = codec.decodeDocument(entry.value);
        isDocumentRejected = "problem" in decoded;
        if ("problem" in decoded) {
            logger.logEvent(EventId.DocumentRejected, { revision: entry.revision, problem: decoded.problem });
            return;
        }
        const { version } = decoded.value;
        if (version < holder.getVersion() && version !== storedVersion) {
            const facts = { version, active: holder.getVersion(), revision: entry.revision };
            logger.logEvent(EventId.OlderDocumentRead, facts);
        }
        storedVersion = version;
        holder.applyDocument(decoded.value, "platform");
    }

    /** Reads a restored store anew: what a call under way will answer may be of the earlier era. */
    function recordEra(position: StorePosition, watchers: readonly PrefixWatcher[]): void {
        const { knowledge } = options;
        if (position.era <= knowledge.getPosition().era) {
            return;
        }
        // The directory first: what has been lapsed for too long goes by the time that the store was available before.
        directory.setEra(position.era);
        if (knowledge.recordEra(position.era)) {
            logger.logEvent(EventId.PlatformRolledBack, { ...position, active: holder.getVersion() });
            watchers.forEach(watcher => watcher.restart());
        }
    }

    function confirmDocument(): void {
        documentAnsweredAt = readMonotonicMs();
        if (!isDocumentRejected && holder.getVersion() > 0) {
            options.documentKnowledge.recordConfirmed(holder.getVersion(), 0);
        }
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

    function recordAnswer(position: StorePosition): void {
        endpointRevision = position.revision;
        if (!isResuming) {
            logLateAnswer(readMonotonicMs() - answeredAt);
        }
        answeredAt = readMonotonicMs();
        isResuming = false;
        options.knowledge.recordPosition(position, 0);
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
        options.knowledge.recordFailure();
        options.evacuations.recordFailedRead(call.lastedMs);
        isResuming = false;
        const { isListing, fromRevision } = call;
        const lastedMs = Math.round(call.lastedMs);
        logger.logFailure(EventId.PlatformCallFailed, error, { prefix, isListing, fromRevision, lastedMs });
        if (!isDown) {
            isDown = true;
            logger.logFailure(EventId.PlatformUnavailable, error);
        }
    }
}
