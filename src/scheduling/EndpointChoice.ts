import { computeHash32, mixHash32 } from "../utils/digest.js";

/** An endpoint as the choice sees it. */
export interface Candidate {
    host: string;
    zone: string;
    /** Requests that wait or run there. */
    load: number;
    concurrency: number;
    /** The endpoint failed a moment ago. */
    isAvoided: boolean;
    /** Share of its capacity that a returning endpoint takes, from 0 to 1. */
    warmth: number;
}

/** What the choice knows of a request. */
export interface ChoiceStructure {
    /** Hash of the leading part of the prompt; undefined without affinity. */
    prefixHash: number | undefined;
    /** Availability zone of the router. */
    zone: string;
    /** Hosts that were tried already. */
    triedHosts: ReadonlySet<string>;
}

/** Chooses an endpoint for a request. */
export abstract class EndpointChoice {
    /**
     * Chooses an endpoint.
     * @param candidates - Endpoints that take new work.
     * @param structure - Request.
     * @returns Undefined if none is left.
     */
    abstract chooseEndpoint<T extends Candidate>(candidates: readonly T[], structure: ChoiceStructure): T | undefined;
}

/** Options of the choice by prefix. */
export interface AffinityChoiceOptions {
    /** Largest load of an endpoint, as a multiple of the mean. */
    maxLoadFactor: number;
    /** Load by which a choice in the own zone may exceed the best elsewhere, in slots. */
    zoneTolerance: number;
    /** Draws a number from 0 to 1. */
    random: () => number;
}

const LOAD_SLACK = 1;

/**
 * Creates the choice by rendezvous hash of the prefix with bounded load; without a prefix,
 * the less loaded of two random endpoints, in the own zone first.
 * @param options - Bounds.
 */
export function createAffinityChoice(options: AffinityChoiceOptions): EndpointChoice {
    return new (class AffinityChoice extends EndpointChoice {
        override chooseEndpoint<T extends Candidate>(
            candidates: readonly T[],
            structure: ChoiceStructure,
        ): T | undefined {
            const untried = candidates.filter(candidate => !structure.triedHosts.has(candidate.host));
            const healthy = untried.filter(candidate => !candidate.isAvoided);
            const eligible = healthy.length > 0 ? healthy : untried;
            if (eligible.length <= 1) {
                return eligible[0];
            }
            return structure.prefixHash === undefined
                ? chooseLessLoaded(eligible, structure.zone)
                : chooseByPrefix(eligible, structure.prefixHash);
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
        const near = drawLessLoaded(local);
        const any = drawLessLoaded(eligible);
        if (near === undefined || any === undefined) {
            return near ?? any;
        }
        return computeRelativeLoad(near) <= computeRelativeLoad(any) + options.zoneTolerance ? near : any;
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
    return Math.max(0.1, candidate.concurrency * candidate.warmth);
}
