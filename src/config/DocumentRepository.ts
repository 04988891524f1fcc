import { z } from "zod";
import { type KeyValueEntry, type KeyValueService, swapSurely } from "../platform/index.js";
import type { StoredDocument } from "./DocumentHolder.js";

const storedSchema = z.object({
    version: z.number().int().min(1),
    text: z.string(),
    operator: z.string(),
    at: z.number(),
    /** Tells a writer that its own write took effect. */
    writeId: z.string(),
});

type StoredEntry = z.infer<typeof storedSchema>;

/** Answer to a write of a document. */
export interface WriteAnswer {
    isWritten: boolean;
    /** Document that stands now. */
    current: StoredDocument | undefined;
}

/** The documents in the platform's key-value service. */
export interface DocumentRepository {
    readDocument(environment: string): Promise<StoredDocument | undefined>;
    /**
     * Writes a new version if the one that the operator saw still stands.
     * @param environment - Environment.
     * @param baseVersion - Version that the operator saw; 0 for none.
     * @param text - New text.
     * @param operator - Operator who makes the change.
     * @param writeId - Identifies this write.
     */
    writeDocument(
        environment: string,
        baseVersion: number,
        text: string,
        operator: string,
        writeId: string,
    ): Promise<WriteAnswer>;
    /** Waits for a change of a document. */
    watchDocument(
        environment: string,
        afterRevision: number,
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<WatchedDocument>;
}

/** News of a document. */
export interface WatchedDocument {
    revision: number;
    stored: StoredDocument | undefined;
}

/**
 * Creates the repository.
 * @param service - Key-value service.
 */
export function createDocumentRepository(service: KeyValueService): DocumentRepository {
    return { readDocument, writeDocument, watchDocument };

    async function readDocument(environment: string): Promise<StoredDocument | undefined> {
        const entry = await service.getEntry(createKey(environment));
        return entry && readEntry(entry);
    }

    async function writeDocument(
        environment: string,
        baseVersion: number,
        text: string,
        operator: string,
        writeId: string,
    ): Promise<WriteAnswer> {
        const entry = await service.getEntry(createKey(environment));
        const known = entry && readEntry(entry);
        if ((known?.version ?? 0) !== baseVersion) {
            return { isWritten: false, current: known };
        }
        const next: StoredEntry = { version: baseVersion + 1, text, operator, at: Date.now(), writeId };
        const swap = {
            key: createKey(environment),
            expectedRevision: entry?.revision ?? 0,
            value: JSON.stringify(next),
        };
        const answer = await swapSurely(service, swap, current => readEntry(current).writeId === writeId);
        return { isWritten: answer.applied, current: answer.current && readEntry(answer.current) };
    }

    async function watchDocument(
        environment: string,
        afterRevision: number,
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<WatchedDocument> {
        const answer = await service.watchEntries(createKey(environment), afterRevision, timeoutMs, signal);
        const entry = answer.changed.at(-1);
        return { revision: answer.position.revision, stored: entry && readEntry(entry) };
    }
}

function createKey(environment: string): string {
    return `environments/${environment}/document`;
}

function readEntry(entry: KeyValueEntry): StoredEntry {
    return storedSchema.parse(JSON.parse(entry.value));
}
