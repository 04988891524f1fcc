import type { EngineCostModel } from "../RoutingDocument.js";

/** Mean size of the requests of each service, by which requests of other routers are estimated. */
export interface UsualSizes {
    /** Records a request of this router that has ended. */
    recordEnd(service: string, tokens: number, durationMs: number): void;
    /** Gets the mean size of a request in progress, in tokens. */
    getMeanTokens(service: string, engine: EngineCostModel): number;
}

interface WeightedSize {
    tokenMs: number;
    ms: number;
}

/** Weight that an earlier request keeps with each later one: the mean covers about the last 50 requests. */
const RETAINED_WEIGHT = 0.98;
/** Weight of the document's usual lengths, in milliseconds: about two requests. */
const INITIAL_WEIGHT_MS = 10_000;

/**
 * Creates the mean sizes of a router that has sent nothing.
 * @param isKnown - Tells whether the document has the service; sizes of others are dropped.
 */
export function createUsualSizes(isKnown: (service: string) => boolean): UsualSizes {
    const sizes = new Map<string, WeightedSize>();
    return { recordEnd, getMeanTokens };

    /** Long requests are in progress more often, so that each size counts by the duration of its request. */
    function recordEnd(service: string, tokens: number, durationMs: number): void {
        [...sizes.keys()].filter(other => !isKnown(other)).forEach(other => sizes.delete(other));
        const { tokenMs, ms } = sizes.get(service) ?? { tokenMs: 0, ms: 0 };
        sizes.set(service, {
            tokenMs: tokenMs * RETAINED_WEIGHT + tokens * durationMs,
            ms: ms * RETAINED_WEIGHT + durationMs,
        });
    }

    function getMeanTokens(service: string, engine: EngineCostModel): number {
        const { tokenMs, ms } = sizes.get(service) ?? { tokenMs: 0, ms: 0 };
        const initialTokens = engine.usualPromptTokens + engine.usualAnswerTokens;
        return (tokenMs + initialTokens * INITIAL_WEIGHT_MS) / (ms + INITIAL_WEIGHT_MS);
    }
}
