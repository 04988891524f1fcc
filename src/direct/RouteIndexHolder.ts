import { type RouteIndex, createRouteIndex } from "./RouteIndex.js";
import type { RoutingDocument } from "./RoutingDocument.js";

/** Holds the routes in force in a process, which never go back to a lower version. */
export interface RouteIndexHolder {
    /**
     * Brings a document into force if its version is higher than the one in force.
     * @returns True if it is in force now.
     */
    offerDocument(document: RoutingDocument, source: string): boolean;
    getIndex(): RouteIndex | undefined;
    /** Version in force; 0 before the first. */
    getVersion(): number;
}

/**
 * Creates a holder without a document.
 * @param onApplied - Receives each document that comes into force, and where it came from.
 */
export function createRouteIndexHolder(
    onApplied: (document: RoutingDocument, source: string) => void,
): RouteIndexHolder {
    let index: RouteIndex | undefined;
    return { offerDocument, getIndex: () => index, getVersion };

    function getVersion(): number {
        return index?.document.version ?? 0;
    }

    function offerDocument(document: RoutingDocument, source: string): boolean {
        if (document.version <= getVersion()) {
            return false;
        }
        index = createRouteIndex(document);
        onApplied(document, source);
        return true;
    }
}
