import { readMonotonicMs } from "../utils/time.js";
import type { RoutingDocument } from "./RoutingDocument.js";
import { type DocumentPart, type DocumentParts, splitDocument } from "./documentParts.js";

/** Request of another router for what it lacks of the document. */
export interface DocumentRequest {
    /** Address of the other router. */
    address: string;
    /** Digests of the parts that it has. */
    digests: readonly string[];
}

/** What a router sends of its document. */
export interface DocumentReply {
    version: number;
    /** Digests of all parts of this version, in order. */
    digests: string[];
    /** Some of the parts that the other router lacks, by digest; the other router asks again for the rest. */
    parts: Record<string, DocumentPart>;
    /** Nothing was sent, as others are being sent large parts of the document; it may be asked for again, also elsewhere. */
    isBusy: boolean;
}

/** Sends the document to other routers. */
export interface DocumentServer {
    /** Answers a request; undefined without a document. */
    answerRequest(request: DocumentRequest): DocumentReply | undefined;
}

/** Maximum size of the parts in one reply, in bytes; it passes a link of 10 Mbit/s in 40 ms. */
const MAX_REPLY_BYTES = 48 * 1_024;
/**
 * Number of routers that are sent more than one reply at the same time. The fewer they are, the sooner one of them has all
 * parts and can send them too.
 */
const MAX_LARGE_TRANSFERS = 2;
/** Time without a request after which a transfer counts as given up, in milliseconds. */
const TRANSFER_EXPIRY_MS = 250;

/**
 * Creates the server of the active document.
 * @param getDocument - Gets the active document.
 */
export function createDocumentServer(getDocument: () => RoutingDocument | undefined): DocumentServer {
    /** Times of the last requests of the routers that lack more than one reply. */
    const transfers = new Map<string, number>();
    return { answerRequest };

    function answerRequest({ address, digests }: DocumentRequest): DocumentReply | undefined {
        const document = getDocument();
        if (document === undefined) {
            return undefined;
        }
        const parts = splitDocument(document);
        const known = new Set(digests);
        const missing = [...parts.keys()].filter(digest => !known.has(digest));
        const chosen = chooseParts(parts, missing);
        const isLarge = chosen.length < missing.length;
        const reply = { version: document.version, digests: [...parts.keys()] };
        if (isLarge && !canTransfer(address)) {
            return { ...reply, parts: {}, isBusy: true };
        }
        if (isLarge) {
            transfers.set(address, readMonotonicMs());
        } else {
            transfers.delete(address);
        }
        return { ...reply, parts: pickParts(parts, chosen), isBusy: false };
    }

    function canTransfer(address: string): boolean {
        const now = readMonotonicMs();
        for (const [other, requestedAt] of transfers) {
            if (now - requestedAt > TRANSFER_EXPIRY_MS) {
                transfers.delete(other);
            }
        }
        return transfers.has(address) || transfers.size < MAX_LARGE_TRANSFERS;
    }
}

/** Chooses as many of the missing parts as one reply may hold, and at least one. */
function chooseParts(parts: DocumentParts, missing: readonly string[]): string[] {
    let bytes = 0;
    const end = missing.findIndex((digest, index) => {
        bytes += parts.get(digest)?.bytes ?? 0;
        return index > 0 && bytes > MAX_REPLY_BYTES;
    });
    return end === -1 ? [...missing] : missing.slice(0, end);
}

function pickParts(parts: DocumentParts, digests: readonly string[]): Record<string, DocumentPart> {
    const picked: Record<string, DocumentPart> = {};
    for (const digest of digests) {
        const sized = parts.get(digest);
        if (sized !== undefined) {
            picked[digest] = sized.part;
        }
    }
    return picked;
}
