import type { TokenCounts } from "../DirectCodec.js";
import type { RouteDefinition, TeamDefinition } from "../RoutingDocument.js";

/** What a request needs and what it is worth: a plain value, computed once after its route and team are known. */
export interface RequestDemand {
    /** Urgency of the team, or of the route if the team has none; 0 is the most urgent. */
    urgency: number;
    /** Prompt and maximum answer, in tokens; undefined if the request doesn't tell them. */
    tokens: TokenCounts | undefined;
    /** Lists of home regions that bind the request; an endpoint must be in each. */
    homes: readonly (readonly string[])[];
    /** Estimated time that the caller has waited in earlier attempts, in milliseconds; 0 for a first attempt. */
    waitedBeforeMs: number;
}

/** Demand of a request of which nothing is known. */
export const UNKNOWN_DEMAND: RequestDemand = { urgency: 0, tokens: undefined, homes: [], waitedBeforeMs: 0 };

/**
 * Builds the demand of a request.
 * @param route - Its route.
 * @param team - Its team; undefined if it has none.
 * @param tokens - Its token counts.
 * @param waitedBeforeMs - Time that its caller has waited in earlier attempts, in milliseconds.
 */
export function buildRequestDemand(
    route: RouteDefinition,
    team: TeamDefinition | undefined,
    tokens: TokenCounts | undefined,
    waitedBeforeMs: number,
): RequestDemand {
    const homes = [route.homeRegions ?? [], team?.homeRegions ?? []].filter(list => list.length > 0);
    return { urgency: team?.urgency ?? route.urgency, tokens, homes, waitedBeforeMs };
}
