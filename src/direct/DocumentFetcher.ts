import type { DocumentReply } from "./DocumentServer.js";
import type { RouteIndexHolder } from "./RouteIndexHolder.js";
import { type DocumentPart, joinParts, splitDocument } from "./documentParts.js";

/** Result of fetching the document from another router. */
export enum FetchResult {
    Applied = "applied",
    /** The other router has no higher version. */
    NotNewer = "not-newer",
    /** The other router is sending the document to others; what came so far is kept. */
    Busy = "busy",
}

/** Fetches what this router lacks of the document from another router. */
export interface DocumentFetcher {
    /**
     * Fetches the document and activates it. Parts that came before a failure are kept for the next call.
     * @param address - Address of the other router, for the log.
     * @param request - Sends one request with the digests of the parts that this router has.
     */
    fetchDocument(address: string, request: DocumentRequester): Promise<FetchResult>;
}

/** Sends the digests of known parts to another router, which answers with parts that are missing. */
export type DocumentRequester = (digests: string[]) => Promise<DocumentReply | undefined>;

/**
 * Creates the fetcher.
 * @param holder - Holds the active document.
 */
export function createDocumentFetcher(holder: RouteIndexHolder): DocumentFetcher {
    /** Parts of a document that has not arrived in full yet. */
    let received = new Map<string, DocumentPart>();
    return { fetchDocument };

    async function fetchDocument(address: string, request: DocumentRequester): Promise<FetchResult> {
        for (;;) {
            const known = listKnownParts();
            const reply = await request([...known.keys()]);
            if (reply === undefined || reply.version <= holder.getVersion()) {
                return FetchResult.NotNewer;
            }
            if (reply.isBusy) {
                return FetchResult.Busy;
            }
            Object.entries(reply.parts).forEach(([digest, part]) => known.set(digest, part));
            const parts = reply.digests.flatMap(digest => known.get(digest) ?? []);
            const document = parts.length === reply.digests.length ? joinParts(reply.version, parts) : undefined;
            if (document !== undefined) {
                received = new Map();
                holder.applyDocument(document, address);
                return FetchResult.Applied;
            }
            received = new Map([...known].filter(([digest]) => reply.digests.includes(digest)));
            if (Object.keys(reply.parts).length === 0) {
                return FetchResult.NotNewer;
            }
        }
    }

    function listKnownParts(): Map<string, DocumentPart> {
        const document = holder.getIndex()?.document;
        const own = document === undefined ? [] : [...splitDocument(document)];
        return new Map([...own.map(([digest, { part }]) => [digest, part] as const), ...received]);
    }
}
