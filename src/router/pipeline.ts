import type { Refusal } from "../protocol/index.js";
import type { Exchange } from "./Exchange.js";

/** Step of the pipeline: returns undefined to continue, or a refusal to end the exchange. */
export type Filter<E = Exchange> = (exchange: E) => Promise<Refusal | undefined> | Refusal | undefined;

/**
 * Runs the filters in order until one refuses the exchange.
 * @param filters - Filters in order.
 * @param exchange - Exchange.
 * @returns The refusal, or undefined if the last filter answered the caller.
 */
export async function runPipeline<E>(filters: readonly Filter<E>[], exchange: E): Promise<Refusal | undefined> {
    for (const filter of filters) {
        const refusal = await filter(exchange);
        if (refusal !== undefined) {
            return refusal;
        }
    }
    return undefined;
}
