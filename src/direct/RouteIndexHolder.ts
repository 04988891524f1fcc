import { type RouteIndex, createRouteIndex } from "./RouteIndex.js";
import type { RoutingDocument } from "./RoutingDocument.js";

/** Holds the active routes of a process; their version never decreases. */
export interface RouteIndexHolder {
    /**
     * Activates a document if its version is higher than the active one.
     * @returns True if the document was activated.
     */
    applyDocument(document: RoutingDocument, source: string): boolean;
    getIndex(): RouteIndex | undefined;
    /** Gets the active version; 0 before the first document. */
    getVersion(): number;
}

/**
 * Creates a holder without a document.
 * @param onApplied - Called with each document and its source just before it is activated.
 */
export function createRouteIndexHolder(
    onApplied: (document: RoutingDocument, source: string) => void,
): RouteIndexHolder {
    let index: RouteIndex | undefined;
    return { applyDocument, getIndex: () => index, getVersion };

    function getVersion(): number {
        return index?.document.version ?? 0;
    }

    function applyDocument(document: RoutingDocument, source: string): boolean {
        if (document.version <= getVersion()) {
            return false;
        }
        const next = createRouteIndex(document);
        onApplied(document, source);
        index = next;
        return true;
    }
}
