import { computeHash32, mixHash32 } from "../utils/digest.js";

/** What a service and the settings say of cold endpoints. */
export interface ColdRate {
    /** Requests per second that a cold endpoint handles. */
    perSecond: number;
    /** Factor on that rate that an endpoint tolerates in any one second. */
    overshoot: number;
    /** Requests that it tolerates beyond that. */
    slack: number;
}

/** Hashes of this router and of the others that it knows. */
export interface RouterHashes {
    own: number;
    others: readonly number[];
    /** Place of this router in the order of the addresses, which decides between equal hashes. */
    ownIndex: number;
}

/** Share of the bound that the routers divide; the rest covers short disagreement about which routers there are. */
const DIVIDED_SHARE = 0.95;
/** Share of the bound that is divided at least, where it is so small that rounding would take more. */
const MIN_DIVIDED_SHARE = 0.9;
/** Number of standard deviations by which more unknown routers than expected may rank before this one. */
const RANK_DEVIATIONS = 5;
const HASH_RANGE = 2 ** 32;

/**
 * Computes the number of requests that a cold endpoint may get from all routers together in any second.
 * @param rate - Rate of its service and the bound on exceeding it.
 */
export function computeColdBound(rate: ColdRate): number {
    return Math.floor(rate.perSecond * rate.overshoot + rate.slack);
}

/**
 * Computes the hashes of the routers, once for all endpoints.
 * @param own - Address of this router.
 * @param others - Addresses of the other known routers, in order.
 */
export function computeRouterHashes(own: string, others: readonly string[]): RouterHashes {
    return {
        own: computeHash32(own),
        others: others.map(computeHash32),
        ownIndex: others.filter(other => other < own).length,
    };
}

/**
 * Computes the number of requests that one router may send to a cold endpoint in any second. Each router ranks all routers by a hash
 * of router and endpoint: a router whose rank is below the number of requests that are left after an equal division gets one more.
 * Routers that know the same routers divide the bound exactly. One that may not know all of them ranks itself as low as the unknown
 * ones may put it, so that the sum stays within the bound whatever the others know.
 * @param endpoint - Identifier of the endpoint.
 * @param bound - Requests that the endpoint may get from all routers in any second.
 * @param hashes - Hashes of the known routers.
 * @param unknownCount - Number of routers that may exist beside the known ones.
 */
export function computeColdAllowance(
    endpoint: string,
    bound: number,
    hashes: RouterHashes,
    unknownCount: number,
): number {
    const { own, others, ownIndex } = hashes;
    const routers = others.length + 1 + unknownCount;
    const divided = Math.max(Math.ceil(bound * MIN_DIVIDED_SHARE), Math.floor(bound * DIVIDED_SHARE));
    const equal = Math.floor(divided / routers);
    const remainder = divided - equal * routers;
    if (remainder === 0) {
        return equal;
    }
    const endpointHash = computeHash32(endpoint);
    const ownPlace = computePlace(own, endpointHash);
    let rank = 0;
    for (const [index, other] of others.entries()) {
        const place = computePlace(other, endpointHash);
        rank += place < ownPlace || (place === ownPlace && index < ownIndex) ? 1 : 0;
    }
    return equal + (rank + estimateUnknownBefore(ownPlace / HASH_RANGE, unknownCount) < remainder ? 1 : 0);
}

/** The place of a router in the order for an endpoint; the mix is one-to-one, so only equal hashes of routers collide. */
function computePlace(routerHash: number, endpointHash: number): number {
    return mixHash32((routerHash ^ endpointHash) >>> 0);
}

/** Estimates how many of the unknown routers may come before a place, given as a fraction, but for a rare chance. */
function estimateUnknownBefore(place: number, unknownCount: number): number {
    const expected = unknownCount * place;
    const deviation = Math.sqrt(expected * (1 - place));
    return Math.min(unknownCount, Math.ceil(expected + RANK_DEVIATIONS * deviation));
}
