import { buildRequestDemand } from "./candidates/index.js";
import type { DirectContext } from "./DirectContext.js";
import type { RoutedExchange } from "./DirectExchange.js";

/**
 * Reads from the headers of a request what its placement depends on.
 * @param exchange - Exchange whose route and team are known.
 * @param context - Shared parts of the router.
 */
export function prepareExchange(
    exchange: RoutedExchange,
    context: Pick<DirectContext, "getSharedParts" | "getTokenCounts">,
): void {
    const { headers } = exchange.request;
    exchange.sharedParts = context.getSharedParts(headers).map(part => `${exchange.service}/${part}`);
    const tokens = context.getTokenCounts(headers);
    exchange.demand = buildRequestDemand(exchange.route, exchange.team, tokens, exchange.waitedBeforeMs);
}
