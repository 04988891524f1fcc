import { compareByHash } from "../utils/digest.js";

/** A router, as far as the choice of the store's readers depends on it. */
export interface DutyRouter {
    address: string;
    zone: string;
    isLeaving: boolean;
    /** Time for which the store has not answered the router itself, in milliseconds; -1 if it never did. */
    platformAgeMs: number;
}

/** Options of the choice. */
export interface DutyOptions {
    own: Pick<DutyRouter, "address" | "zone">;
    /** Age of this router's list of endpoints, in milliseconds. */
    knowledgeAgeMs: number;
    /** Age from which a router reads the store itself, whoever else does, in milliseconds. */
    maxKnowledgeAgeMs: number;
    /** Age of this router's document, and age from which a router reads the store itself, in milliseconds. */
    documentAgeMs: number;
    maxDocumentAgeMs: number;
    /** Time for which this router has known of a higher version, and maximum of it, in milliseconds. */
    documentBehindMs: number;
    maxDocumentBehindMs: number;
    /** Age of what this router knows of evacuated zones, and age from which it reads the store itself, in milliseconds. */
    evacuationAgeMs: number;
    maxEvacuationAgeMs: number;
    /** Time without an answer of the store after which the next router of the zone takes over, in milliseconds. */
    maxSilenceMs: number;
    /** Routers that were heard from lately. */
    peers: readonly DutyRouter[];
}

/**
 * Tells whether a router reads the store itself instead of learning from its peers. In each zone, the first router in a
 * fixed order that has recent answers of the store does, so that the load of the store does not grow with the number of
 * routers. Any router whose list, document or knowledge of evacuated zones is too old does too: no failure of others makes it miss a change for longer.
 * @param options - This router and its peers.
 */
export function isOnStoreDuty(options: DutyOptions): boolean {
    const { own, peers, maxSilenceMs } = options;
    const isOutdated =
        options.knowledgeAgeMs >= options.maxKnowledgeAgeMs ||
        options.documentAgeMs >= options.maxDocumentAgeMs ||
        options.documentBehindMs >= options.maxDocumentBehindMs ||
        options.evacuationAgeMs >= options.maxEvacuationAgeMs;
    if (isOutdated) {
        return true;
    }
    const hasRecentAnswer = ({ platformAgeMs }: DutyRouter): boolean =>
        platformAgeMs >= 0 && platformAgeMs < maxSilenceMs;
    return !peers.some(
        peer =>
            peer.zone === own.zone &&
            !peer.isLeaving &&
            hasRecentAnswer(peer) &&
            compareByHash(peer.address, own.address) < 0,
    );
}
