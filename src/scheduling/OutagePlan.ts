/** A request during an outage of its service. Times are monotonic, in milliseconds. */
export interface OutageRequest {
    arrivedAt: number;
    deadlineAt: number;
    /** Time by which the first event is in time; negative infinity if it is late already. */
    targetAt: number;
    /** Time without an event after which the caller leaves, in milliseconds. */
    gapMs: number;
    /** Time from which the gap counts: the arrival, or the last event that the caller got. */
    gapFrom: number;
    /** The caller has a part of the answer; holding the request for the rest costs nothing more than ending it. */
    hasBegun: boolean;
    /** The caller was refused before and doesn't come back another time. */
    hasReturned: boolean;
    /** An endpoint may have run the request, so that a refusal names no delay. */
    mayHaveRun: boolean;
}

/** What is known of an outage. */
export interface OutageOutlook {
    now: number;
    beganAt: number;
    /** Durations of earlier outages, in milliseconds. */
    durations: readonly number[];
    /** Time from the send to the first event after an outage, in milliseconds. */
    firstEventMs: number;
    /** Time from the send to the end of a stream, in milliseconds. */
    runMs: number;
    /** Whether more requests may be asked to come back: more than there are slots for would be refused again. */
    hasRoomForReturns: boolean;
}

/** What becomes of a request during an outage. */
export type OutageStep =
    | { isWaiting: true; untilAt: number }
    /** The request is refused; the caller doesn't come back if there is no delay. */
    | { isWaiting: false; delayMs: number | undefined };

/** Share of the remaining time up to which callers honour a delay. */
const MAX_DELAY_SHARE = 1 / 3;
/** Delays that are compared, as shares of the longest one that the caller honours. */
const DELAY_SHARES = [1, 0.75, 0.5, 0.25];
/** Worth of a late answer, in answers in time: callers give 0.3 to 0.5. */
export const LATE_WORTH = 0.4;
/** Cost of a request that comes back and is refused again, in answers in time: its caller has waited for a late answer in vain. */
export const SECOND_REFUSAL_COST = LATE_WORTH;
/** Time after which callers leave at the earliest when nothing comes, in milliseconds. */
const MIN_CALLER_GAP_MS = 2_000;
/**
 * Cost of holding a request that is not served in the end, in answers in time a millisecond. Callers give up a late answer for
 * the gap after which they leave, so a wait of that length in vain costs as much.
 */
const HELD_COST_PER_MS = LATE_WORTH / MIN_CALLER_GAP_MS;
const MAX_HELD_COST = LATE_WORTH;
/** Durations that are expected before any outage was seen, in milliseconds: of a crashed rank, and of a lost zone. */
const USUAL_DURATIONS_MS = [2_000, 2_500, 3_000, 5_000, 5_500, 6_000, 6_500];
/** Weight of each of these, in outages that were seen. */
const USUAL_WEIGHT = 0.15;
/** Variation of the end around an earlier duration, as shares of the duration: the endpoints' start differs each time. */
const END_SPREAD = [-0.15, 0, 0.15];
/** Remaining times that are expected once an outage has lasted longer than any expected one, in milliseconds. */
const TAIL_MS = [250, 1_000, 3_000, 9_000];

interface PossibleEnd {
    at: number;
    weight: number;
}

/**
 * Plans what to do with a request during an outage: the step with the greatest expected worth, over the times at which
 * the outage may end.
 * @param request - Request that arrives or waits.
 * @param outlook - Knowledge of the outage.
 */
export function planOutageStep(request: OutageRequest, outlook: OutageOutlook): OutageStep {
    const untilAt = computeLastStart(request, outlook);
    const refusal = planRefusal(request, outlook);
    if (untilAt <= outlook.now || scoreBestWait(request, outlook, untilAt) < refusal.worth) {
        return { isWaiting: false, delayMs: refusal.delayMs };
    }
    return { isWaiting: true, untilAt };
}

/**
 * Plans the refusal of a request, as when it has waited in vain.
 * @param request - Request.
 * @param outlook - Knowledge of the outage.
 * @returns Expected worth, and the delay in milliseconds; undefined if the caller should not come back.
 */
export function planRefusal(
    request: OutageRequest,
    outlook: OutageOutlook,
): { worth: number; delayMs: number | undefined } {
    const lastCost = request.hasReturned ? SECOND_REFUSAL_COST : 0;
    if (!canReturn(request, outlook)) {
        return { worth: -lastCost, delayMs: undefined };
    }
    const ends = listPossibleEnds(outlook);
    let best: { worth: number; delayMs: number | undefined } = { worth: 0, delayMs: undefined };
    for (const delayMs of listDelays(request, outlook.now)) {
        const worth = computeMean(ends, endAt => scoreReturn(request, outlook, outlook.now + delayMs, endAt));
        best = worth > best.worth ? { worth, delayMs } : best;
    }
    return best;
}

function canReturn(request: OutageRequest, { hasRoomForReturns }: OutageOutlook): boolean {
    return !request.hasReturned && !request.mayHaveRun && hasRoomForReturns;
}

/** Scores a wait up to a time, after which the request is refused with the delay that suits best. */
function scoreBestWait(request: OutageRequest, outlook: OutageOutlook, untilAt: number): number {
    const ends = listPossibleEnds(outlook);
    const delays = canReturn(request, outlook) ? listDelays(request, untilAt) : [];
    const scores = [undefined, ...delays].map(delayMs =>
        computeMean(ends, endAt => scoreWait(request, outlook, untilAt, delayMs, endAt)),
    );
    return Math.max(...scores);
}

/**
 * Computes the last time at which a request can be sent and still be served: the first event must come before the caller
 * leaves, and the stream must end before the deadline.
 * @param request - Request.
 * @param durations - Expected durations of a stream.
 */
export function computeLastStart(
    request: OutageRequest,
    { firstEventMs, runMs }: Pick<OutageOutlook, "firstEventMs" | "runMs">,
): number {
    return Math.min(request.gapFrom + request.gapMs - firstEventMs, request.deadlineAt - runMs);
}

/**
 * Gets the longest delay that a caller honours.
 * @param request - Request that is refused.
 * @param now - Monotonic time, in milliseconds.
 */
export function getMaxDelay(request: OutageRequest, now: number): number {
    return Math.max(0, request.deadlineAt - now) * MAX_DELAY_SHARE;
}

/**
 * Compares requests that wait at the end of an outage: those that came back, and those that can be in time, go first; then
 * those with the least time left.
 * @returns A negative number if the first of them goes first.
 */
export function compareAfterOutage(left: OutageRequest, right: OutageRequest, firstByAt: number): number {
    return (
        getReturnClass(left, firstByAt) - getReturnClass(right, firstByAt) ||
        computeLastStart(left, NO_DURATIONS) - computeLastStart(right, NO_DURATIONS)
    );
}

const NO_DURATIONS = { firstEventMs: 0, runMs: 0 };

function getReturnClass(request: OutageRequest, firstByAt: number): number {
    return request.hasReturned || request.targetAt >= firstByAt ? 0 : 1;
}

function listDelays(request: OutageRequest, now: number): number[] {
    return DELAY_SHARES.map(share => share * getMaxDelay(request, now));
}

function listPossibleEnds({ now, beganAt, durations }: OutageOutlook): PossibleEnd[] {
    const seen = durations.flatMap(ms => END_SPREAD.map(share => ({ at: beganAt + ms * (1 + share), weight: 1 / 3 })));
    const usual = USUAL_DURATIONS_MS.map(ms => ({ at: beganAt + ms, weight: USUAL_WEIGHT }));
    const ends = [...seen, ...usual].filter(({ at }) => at > now);
    return ends.length > 0 ? ends : TAIL_MS.map(ms => ({ at: now + ms, weight: 1 }));
}

function computeMean(ends: readonly PossibleEnd[], score: (endAt: number) => number): number {
    const total = ends.reduce((sum, { weight }) => sum + weight, 0);
    return ends.reduce((sum, { at, weight }) => sum + weight * score(at), 0) / total;
}

function scoreWait(
    request: OutageRequest,
    outlook: OutageOutlook,
    untilAt: number,
    delayMs: number | undefined,
    endAt: number,
): number {
    if (endAt <= untilAt) {
        return endAt + outlook.firstEventMs <= request.targetAt ? 1 : LATE_WORTH;
    }
    const heldCost = computeHeldCost(request.hasBegun, untilAt - outlook.now);
    if (delayMs === undefined) {
        return -heldCost - (request.hasReturned ? SECOND_REFUSAL_COST : 0);
    }
    const worth = scoreReturn(request, outlook, untilAt + delayMs, endAt);
    return worth > 0 ? worth : worth - heldCost;
}

/** Scores a request that comes back at a time and then waits for as long as it can. */
function scoreReturn(request: OutageRequest, outlook: OutageOutlook, returnsAt: number, endAt: number): number {
    const lastStart = computeLastStart({ ...request, gapFrom: returnsAt }, outlook);
    if (endAt > lastStart || returnsAt > lastStart) {
        return -SECOND_REFUSAL_COST - computeHeldCost(request.hasBegun, lastStart - returnsAt);
    }
    return Math.max(endAt, returnsAt) + outlook.firstEventMs <= request.targetAt ? 1 : LATE_WORTH;
}

/**
 * Computes the cost of holding a request that is not served in the end, in answers in time.
 * @param hasBegun - Whether the caller has a part of the answer; holding the rest costs nothing.
 * @param heldMs - Time for which it was held, in milliseconds.
 */
export function computeHeldCost(hasBegun: boolean, heldMs: number): number {
    if (hasBegun) {
        return 0;
    }
    return Math.min(MAX_HELD_COST, Math.max(0, heldMs) * HELD_COST_PER_MS);
}

/** Targets, and longest pauses between events, that callers wait for an event. */
const GAP_TARGETS = 4;
const GAP_PAUSES = 8;

/**
 * Computes the time without an event after which the caller of a stream leaves.
 * @param targetMs - Target of the first event, in milliseconds.
 * @param maxPauseMs - Longest pause between events, in milliseconds.
 */
export function computeCallerGap(targetMs: number, maxPauseMs: number): number {
    return Math.max(MIN_CALLER_GAP_MS, GAP_TARGETS * targetMs, GAP_PAUSES * maxPauseMs);
}
