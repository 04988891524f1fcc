import { type WorkDistribution, createWorkDistribution } from "./WorkDistribution.js";

/** What the value of a request depends on. */
export interface ValuedRequest {
    /** Lower values are more urgent. */
    urgency: number;
    /** Work that it needs, in milliseconds of a slot. */
    workMs: number;
    /** It was refused before and has come back. */
    isReturned: boolean;
}

/** Place of a request among those of its service. */
export interface RequestValue {
    /** Work for each unit of worth; requests with less go first. */
    cost: number;
    /** Share of the service's requests that cost less, from 0 to 1. */
    position: number;
}

/** Values the requests of one service by what they cost for what they are worth. */
export interface RequestValuer {
    /** Computes the value of a request, and learns from it. */
    computeValue(request: ValuedRequest): RequestValue;
    /** Computes the value that a request would have, without learning from it. */
    previewValue(request: ValuedRequest): RequestValue;
}

/** Worth of a request over that of one of the next lower urgency. The configuration tells only the order. */
const WORTH_PER_URGENCY = 2;
/**
 * Share of the requests whose work counts as that of any request of their kind if that is less. They are served as often as
 * the kind, so that the largest are served at least half as often. All that returned are among them.
 */
const SIZE_BLIND_SHARE = 0.7;
/**
 * Share of the requests that count as of the most urgent kind. They are served as often as that one, so that each kind is
 * served at least a quarter as often.
 */
const URGENCY_BLIND_SHARE = 0.3;
/** Position of a request while too few are known. */
const UNKNOWN_POSITION = 0;

/**
 * Creates a valuer without data.
 * @param drawRandom - Draws a number from 0 to 1.
 */
export function createRequestValuer(drawRandom: () => number): RequestValuer {
    const works = new Map<number, WorkDistribution>();
    const costs = createWorkDistribution();
    let urgencies: number[] = [];
    return { computeValue, previewValue };

    function computeValue(request: ValuedRequest): RequestValue {
        const work = getWorks(request.urgency);
        const value = previewValue(request);
        if (!request.isReturned) {
            work.recordWork(request.workMs);
            costs.recordWork(value.cost);
        }
        return value;
    }

    function previewValue({ urgency, workMs, isReturned }: ValuedRequest): RequestValue {
        const work = works.get(urgency);
        const isUrgencyBlind = drawRandom() < URGENCY_BLIND_SHARE;
        const isSizeBlind = isReturned || drawRandom() < SIZE_BLIND_SHARE;
        const sampleMs = isSizeBlind ? (work?.estimateWork(drawRandom()) ?? workMs) : workMs;
        const rank = isUrgencyBlind ? 0 : urgencies.filter(other => other < urgency).length;
        const cost = Math.min(workMs, sampleMs) * WORTH_PER_URGENCY ** rank;
        const position = costs.estimateQuantile(cost, drawRandom()) ?? UNKNOWN_POSITION;
        return { cost, position };
    }

    function getWorks(urgency: number): WorkDistribution {
        const known = works.get(urgency);
        if (known !== undefined) {
            return known;
        }
        const created = createWorkDistribution();
        works.set(urgency, created);
        urgencies = [...works.keys()].sort((left, right) => left - right);
        return created;
    }
}

/** What the order of a queue depends on. */
export interface QueuedValue extends RequestValue {
    /** Lower values are more urgent. */
    urgency: number;
    isReturned: boolean;
    /** Monotonic time until which a start is in time, in milliseconds. */
    startBy: number;
}

/**
 * Chooses the waiting request that goes next: those that can be in time before late ones, then the one that costs least. A
 * request that returned after a refusal goes before the new ones of its kind, though it is late.
 * @param waiting - Waiting requests, the oldest first.
 * @param now - Monotonic time, in milliseconds.
 */
export function chooseNextRequest<T extends QueuedValue>(waiting: readonly T[], now: number): T | undefined {
    const best = findLeastCost(waiting, now);
    const returned = waiting.filter(({ urgency, isReturned }) => isReturned && urgency === best?.urgency);
    return findLeastCost(returned, now) ?? best;
}

/**
 * Tells whether a waiting request counts as late in the order of its queue.
 * @param request - Waiting request.
 * @param now - Monotonic time, in milliseconds.
 */
export function isBehindTarget({ isReturned, startBy }: QueuedValue, now: number): boolean {
    return !isReturned && now > startBy;
}

function findLeastCost<T extends QueuedValue>(waiting: readonly T[], now: number): T | undefined {
    let best: T | undefined;
    for (const request of waiting) {
        const isLess =
            best === undefined ||
            Number(isBehindTarget(request, now)) - Number(isBehindTarget(best, now)) < 0 ||
            (isBehindTarget(request, now) === isBehindTarget(best, now) && request.cost < best.cost);
        best = isLess ? request : best;
    }
    return best;
}
