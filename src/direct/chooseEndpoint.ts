import type { SharedRateLimiter } from "../scheduling/index.js";
import { computeHashFraction } from "../utils/digest.js";
import type { EndpointHealth } from "./EndpointHealth.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { LoadTracker } from "./LoadTracker.js";

/** Inputs to the choice of an endpoint. */
export interface ChoiceOptions {
    /** Name of this router's host, from which its order of preference among endpoints is derived. */
    host: string;
    zone: string;
    load: LoadTracker;
    health: EndpointHealth;
    limiter: Pick<SharedRateLimiter, "getUsedShare">;
    /** Tells whether an endpoint is likely to turn the request away. */
    isDoubtful: (endpoint: string) => boolean;
    /** Monotonic time, in milliseconds. */
    now: number;
    /** Endpoints that this request has already been sent to. */
    tried: ReadonlySet<string>;
}

/** Load, in requests per slot, that a failure share of 1 counts as. */
const FAILURE_WEIGHT = 4;
/** Load, in requests per slot, that an endpoint in another zone counts as: about one request (placement bench). */
const OTHER_ZONE_WEIGHT = 0.18;
/** Load, in requests per slot, that an endpoint counts as which is likely to turn the request away. */
const DOUBT_WEIGHT = 2;
/** Load, in requests per slot, that an endpoint counts as whose limit is used up. */
const LIMIT_WEIGHT = 0.5;
/**
 * Load, in requests per slot, between the first and the last endpoint in a router's order of preference: about three
 * requests (placement bench). Routers learn of each other's load with a delay; if all had the same order, they would send
 * to the same endpoint at the same time.
 */
const PREFERENCE_WEIGHT = 0.4;

/**
 * Chooses the endpoint with the least load per slot, where failures and another zone count as additional load.
 * @param candidates - Endpoints that accept new requests.
 * @param options - Load and health of the endpoints, and those already tried.
 * @returns Undefined if every endpoint has been tried.
 */
export function chooseEndpoint(
    candidates: readonly EndpointRecord[],
    options: ChoiceOptions,
): EndpointRecord | undefined {
    const { health, now } = options;
    const untried = candidates.filter(endpoint => !options.tried.has(endpoint.id));
    const healthy = untried.filter(endpoint => !health.isBackingOff(endpoint.id, now));
    let best: EndpointRecord | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const endpoint of healthy.length > 0 ? healthy : untried) {
        const score = scoreEndpoint(endpoint, options);
        if (score < bestScore) {
            best = endpoint;
            bestScore = score;
        }
    }
    return best;
}

/**
 * Computes the score of an endpoint, of which the lowest is chosen.
 * @param endpoint - Candidate.
 * @param options - Load and health of the endpoints.
 */
export function scoreEndpoint(endpoint: EndpointRecord, options: ChoiceOptions): number {
    const load = (options.load.getLoad(endpoint.id, options.now) + 1) / Math.max(1, endpoint.slots);
    const failures = FAILURE_WEIGHT * options.health.getFailureRate(endpoint.id, options.now);
    const limit = LIMIT_WEIGHT * options.limiter.getUsedShare(endpoint.id, options.now);
    const doubt = options.isDoubtful(endpoint.id) ? DOUBT_WEIGHT : 0;
    const distance = endpoint.zone === options.zone ? 0 : OTHER_ZONE_WEIGHT;
    return (
        load +
        failures +
        limit +
        doubt +
        distance +
        PREFERENCE_WEIGHT * computeHashFraction(`${options.host}/${endpoint.id}`)
    );
}
