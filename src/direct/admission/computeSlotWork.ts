import type { TokenCounts } from "../DirectCodec.js";
import type { EngineCostModel } from "../RoutingDocument.js";

const MS_PER_SECOND = 1_000;

/**
 * Computes the time that an engine needs to read a prompt, in milliseconds.
 * @param engine - Published cost model.
 * @param tokens - Tokens of the request; the usual ones of the service if it tells none.
 */
export function computeReadMs(engine: EngineCostModel, tokens: TokenCounts | undefined): number {
    const promptTokens = tokens?.prompt ?? engine.usualPromptTokens;
    return (promptTokens * MS_PER_SECOND) / Math.max(1, engine.readTokensPerSecond);
}

/**
 * Computes the time that a request takes a slot of an engine whose slots are all in use, in milliseconds.
 * @param engine - Published cost model.
 * @param tokens - Tokens of the request; the usual ones of the service if it tells none.
 */
export function computeSlotWork(engine: EngineCostModel, tokens: TokenCounts | undefined): number {
    const answerTokens = tokens?.answer ?? engine.usualAnswerTokens;
    const tokenMs = engine.stepMs + engine.perSequenceMs * engine.slots;
    return computeReadMs(engine, tokens) + answerTokens * tokenMs;
}
