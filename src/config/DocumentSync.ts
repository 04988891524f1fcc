import { EventId, type Logger } from "../telemetry/index.js";
import { type Loop, startLoop, waitFor } from "../utils/time.js";
import { type DocumentHolder, OfferResult, type StoredDocument } from "./DocumentHolder.js";
import type { DocumentRepository } from "./DocumentRepository.js";

/** Options of the synchronisation with the platform. */
export interface DocumentSyncOptions {
    environment: string;
    holder: DocumentHolder;
    repository: DocumentRepository;
    /** Tells whether this router is one of the few of its zone that hold a watch. */
    isWatcher: () => boolean;
    logger: Logger;
}

/** Keeps the document in force up to date with the platform. */
export interface DocumentSync {
    /** Takes in a document, whatever its source. */
    takeDocument(stored: StoredDocument, source: string): void;
    stop(): Promise<void>;
}

const WATCH_MS = 20_000;
const PAUSE_MS = 500;
/** Routers without a watch read now and then, in case that no peer has told them. */
const READ_PAUSE_MS = 15_000;

/**
 * Starts the synchronisation.
 * @param options - Holder and repository.
 */
export function startDocumentSync(options: DocumentSyncOptions): DocumentSync {
    const { environment, holder, repository, logger } = options;
    let revision = 0;
    let isPlatformDown = false;
    const loop: Loop = startLoop(PAUSE_MS, synchronize, recordOutage);
    return { takeDocument, stop: () => loop.stop() };

    async function synchronize(signal: AbortSignal): Promise<void> {
        if (options.isWatcher() && holder.getVersion() > 0) {
            const news = await repository.watchDocument(environment, revision, WATCH_MS, signal);
            revision = news.revision;
            takeRead(news.stored);
        } else {
            takeRead(await repository.readDocument(environment));
            await waitFor(holder.getVersion() > 0 && !options.isWatcher() ? READ_PAUSE_MS : 0, signal);
        }
        recordRestoration();
    }

    function takeRead(stored: StoredDocument | undefined): void {
        if (stored !== undefined) {
            takeDocument(stored, "platform");
        }
    }

    function takeDocument(stored: StoredDocument, source: string): void {
        const result = holder.offerDocument(stored);
        const facts = { version: stored.version, source, operator: stored.operator };
        if (result === OfferResult.Applied) {
            logger.logEvent(EventId.DocumentApplied, facts);
        } else if (result === OfferResult.Invalid) {
            logger.logEvent(EventId.DocumentRejected, { ...facts, findings: holder.getFindings().join("; ") });
        }
    }

    function recordOutage(error: unknown): void {
        if (!isPlatformDown) {
            isPlatformDown = true;
            logger.logFailure(EventId.PlatformUnavailable, error);
        }
    }

    function recordRestoration(): void {
        if (isPlatformDown) {
            isPlatformDown = false;
            logger.logEvent(EventId.PlatformRestored);
        }
    }
}
