import { computeHash32, mixHash32 } from "../utils/digest.js";

/** An endpoint that a request may be sent to. */
export interface Candidate {
    host: string;
    zone: string;
    /** Requests that are queued or running at the endpoint. */
    load: number;
    concurrency: number;
    /** The endpoint failed recently; it is chosen only if no other one is left. */
    isAvoided: boolean;
    /** Share of its capacity that an endpoint accepts while it ramps up after a failure, from 0 to 1. */
    rampUpFactor: number;
}

/** Properties of a request that endpoint selection depends on. */
export interface SelectionRequest {
    /** Hash of the leading part of the prompt; undefined without affinity. */
    prefixHash: number | undefined;
    /** Availability zone of the router. */
    zone: string;
    /** Hosts to which earlier attempts of the request were sent. */
    triedHosts: ReadonlySet<string>;
}

/** Chooses an endpoint for a request. */
export abstract class EndpointSelector {
    /**
     * Chooses an endpoint.
     * @param candidates - Endpoints that accept new requests.
     * @param request - Request to place.
     * @returns Undefined if every candidate has been tried.
     */
    abstract chooseEndpoint<T extends Candidate>(candidates: readonly T[], request: SelectionRequest): T | undefined;
}

/** Options of the prefix-affinity selector. */
export interface AffinitySelectorOptions {
    /** Largest load of an endpoint, as a multiple of the mean. */
    maxLoadFactor: number;
    /** Relative load by which an endpoint of the router's zone may exceed one of any zone and still be preferred. */
    zoneTolerance: number;
    /** Returns a random number from 0 to 1. */
    random: () => number;
}

const LOAD_SLACK = 1;

/**
 * Creates a selector that uses rendezvous hashing of the prompt prefix with bounded load. Requests without a prefix
 * go to the less loaded of two random endpoints, with a preference for the router's zone.
 * @param options - Load bounds.
 */
export function createAffinitySelector(options: AffinitySelectorOptions): EndpointSelector {
    return new (class AffinitySelector extends EndpointSelector {
        override chooseEndpoint<T extends Candidate>(
            candidates: readonly T[],
            request: SelectionRequest,
        ): T | undefined {
            const untried = candidates.filter(candidate => !request.triedHosts.has(candidate.host));
            const healthy = untried.filter(candidate => !candidate.isAvoided);
            const eligible = healthy.length > 0 ? healthy : untried;
            if (eligible.length <= 1) {
                return eligible[0];
            }
            return request.prefixHash === undefined
                ? chooseLessLoaded(eligible, request.zone)
                : chooseByPrefix(eligible, request.prefixHash);
        }
    })();

    function chooseByPrefix<T extends Candidate>(eligible: readonly T[], prefixHash: number): T | undefined {
        const total = eligible.reduce((sum, candidate) => sum + candidate.load, 0);
        const capacity = eligible.reduce((sum, candidate) => sum + getCapacity(candidate), 0);
        let best: T | undefined;
        let bestScore = -1;
        for (const candidate of eligible) {
            const fairLoad = ((total + 1) * getCapacity(candidate)) / capacity;
            const isWithinBound = candidate.load < fairLoad * options.maxLoadFactor + LOAD_SLACK;
            const score = mixHash32(computeHash32(candidate.host) ^ prefixHash);
            if (isWithinBound && score > bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return best ?? findLeastLoaded(eligible);
    }

    function chooseLessLoaded<T extends Candidate>(eligible: readonly T[], zone: string): T | undefined {
        const local = eligible.filter(candidate => candidate.zone === zone);
        const localChoice = drawLessLoaded(local);
        const globalChoice = drawLessLoaded(eligible);
        if (localChoice === undefined || globalChoice === undefined) {
            return localChoice ?? globalChoice;
        }
        return computeRelativeLoad(localChoice) <= computeRelativeLoad(globalChoice) + options.zoneTolerance
            ? localChoice
            : globalChoice;
    }

    function drawLessLoaded<T extends Candidate>(candidates: readonly T[]): T | undefined {
        const first = candidates[Math.floor(options.random() * candidates.length)];
        const second = candidates[Math.floor(options.random() * candidates.length)];
        if (first === undefined || second === undefined) {
            return first;
        }
        return computeRelativeLoad(first) <= computeRelativeLoad(second) ? first : second;
    }
}

function findLeastLoaded<T extends Candidate>(candidates: readonly T[]): T | undefined {
    let least: T | undefined;
    for (const candidate of candidates) {
        if (least === undefined || computeRelativeLoad(candidate) < computeRelativeLoad(least)) {
            least = candidate;
        }
    }
    return least;
}

function computeRelativeLoad(candidate: Candidate): number {
    return (candidate.load + 1) / getCapacity(candidate);
}

function getCapacity(candidate: Candidate): number {
    return Math.max(0.1, candidate.concurrency * candidate.rampUpFactor);
}
