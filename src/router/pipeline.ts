import type { Refusal } from "../protocol/index.js";
import type { Exchange } from "./Exchange.js";

/** A step of the pipeline: passes the exchange on, or ends it with a refusal. */
export type Filter<E = Exchange> = (exchange: E) => Promise<Refusal | undefined> | Refusal | undefined;

/**
 * Sends an exchange through the filters until one refuses it.
 * @param filters - Filters in order.
 * @param exchange - Exchange.
 * @returns Refusal; undefined if the last filter has answered the caller.
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
