import { computeHashFraction } from "../utils/digest.js";
import type { EndpointHealth } from "./EndpointHealth.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { LoadTracker } from "./LoadTracker.js";

/** What a choice between endpoints goes by. */
export interface ChoiceOptions {
    /** Name of this router's host, from which its own order of the endpoints comes. */
    host: string;
    zone: string;
    load: LoadTracker;
    health: EndpointHealth;
    now: number;
    /** Endpoints that this request has already been sent to. */
    tried: ReadonlySet<string>;
}

/** Load, in requests a slot, that a failure share of 1 counts as. */
const FAILURE_WEIGHT = 4;
/** Load, in requests a slot, that the way to another zone counts as: about one request (bench of placement). */
const ZONE_WEIGHT = 0.18;
/**
 * Load, in requests a slot, between the first and the last endpoint in a router's own order: about three requests
 * (bench of placement). Routers learn of each other's load with a delay, and without orders of their own they would
 * all send to the same endpoint at the same time.
 */
const PREFERENCE_WEIGHT = 0.4;

/**
 * Chooses the endpoint with the least load for its slots, counting failures and distance as load.
 * @param candidates - Endpoints that take new work.
 * @param options - Views that decide.
 * @returns Undefined if there is no endpoint that wasn't tried.
 */
export function chooseEndpoint(
    candidates: readonly EndpointRecord[],
    options: ChoiceOptions,
): EndpointRecord | undefined {
    const { health, now } = options;
    const untried = candidates.filter(endpoint => !options.tried.has(endpoint.id));
    const reachable = untried.filter(endpoint => !health.isBackingOff(endpoint.id, now));
    let best: EndpointRecord | undefined;
    let least = Number.POSITIVE_INFINITY;
    for (const endpoint of reachable.length > 0 ? reachable : untried) {
        const score = scoreEndpoint(endpoint, options);
        if (score < least) {
            best = endpoint;
            least = score;
        }
    }
    return best;
}

function scoreEndpoint(endpoint: EndpointRecord, options: ChoiceOptions): number {
    const load = (options.load.getLoad(endpoint.id, options.now) + 1) / Math.max(1, endpoint.slots);
    const failures = FAILURE_WEIGHT * options.health.getFailureRate(endpoint.id, options.now);
    const distance = endpoint.zone === options.zone ? 0 : ZONE_WEIGHT;
    return load + failures + distance + PREFERENCE_WEIGHT * computeHashFraction(`${options.host}/${endpoint.id}`);
}
