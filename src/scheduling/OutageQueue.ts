import type { OutageHistory } from "./OutageHistory.js";
import {
    type OutageOutlook,
    type OutageRequest,
    compareAfterOutage,
    computeLastStart,
    getMaxDelay,
    planOutageStep,
    planRefusal,
} from "./OutagePlan.js";

/** A request that the queue decides about. */
export interface QueuedOutageRequest {
    request: OutageRequest;
    /** Sends that are left to the request; one that has only its last may be sent as a probe in its place of a refusal. */
    sendsLeft: number;
}

/** What becomes of a queued request. */
export type OutageAction =
    /** The request is sent now; `isProbe` tells that the outage is still on. */
    | { isSent: true; isProbe: boolean }
    /** The request is refused; the caller doesn't come back if there is no delay. */
    | { isSent: false; delayMs: number | undefined };

/** A queued request and what becomes of it. */
export interface OutageDecision<Entry> {
    entry: Entry;
    action: OutageAction;
}

/** Holds the requests of one service during an outage, and lets them in when it has ended. */
export interface OutageQueue<Entry extends QueuedOutageRequest> {
    /** Decides about a request that arrives or comes back from a send; undefined if it waits from now on. */
    offerRequest(entry: Entry, now: number): OutageAction | undefined;
    /** Decides about a request like `offerRequest`, but leaves no trace of it. */
    previewRequest(entry: Entry, now: number): OutageAction | undefined;
    /** Refuses a request that can't be sent again, with the delay that suits best. */
    refuseRequest(entry: Entry, now: number): OutageAction;
    /** Removes a request whose caller has left. */
    removeRequest(entry: Entry): void;
    /** Decides about waiting requests; to be called again while any waits. */
    takeDecisions(now: number): OutageDecision<Entry>[];
    countWaiting(): number;
    /** Ends the wait of all requests at a time, as before a planned stop. */
    setLastStart(at: number): void;
}

/** Options of the queue. */
export interface OutageQueueOptions<Entry extends QueuedOutageRequest> {
    service: string;
    history: Pick<OutageHistory, "getBegan" | "getEnded" | "listDurations" | "isStalled">;
    /** Counts the slots of the candidates that are not in use, as far as known. */
    countFreeSlots: () => number;
    countSlots: () => number;
    /** Counts the routers among which the free slots are divided. */
    countRouters: () => number;
    /** Gets the time until the other routers know what this one has sent, in milliseconds. */
    getSpreadMs: () => number;
    /** Gets the expected durations of a stream, in milliseconds. */
    getDurations: () => Pick<OutageOutlook, "firstEventMs" | "runMs">;
    /** Compares requests; the one that goes first is less. By default those that came back or can be in time go first. */
    compare?: (left: Entry, right: Entry, firstByAt: number) => number;
    /** Plans what to do with a request during an outage; replaced to compare other plans. */
    plan?: typeof planOutageStep;
    maxWaiting: number;
    drawRandom: () => number;
}

/**
 * Time between the probes of all routers, in milliseconds. The first accepted one is announced to all, so that the sum over the
 * routers decides how soon the end is known; each rejected one takes a send from the retry budget.
 */
const FLEET_PROBE_INTERVAL_MS = 25;
/** Bounds of the time between the probes of one router, in milliseconds. */
const MIN_PROBE_INTERVAL_MS = 200;
const MAX_PROBE_INTERVAL_MS = 1_000;
/** Interval at which waiting requests are planned again, as the outage goes on or is confirmed, in milliseconds. */
const PLAN_INTERVAL_MS = 250;
/** Time before the end of its wait in which a request may be a probe with its last send, in milliseconds. */
const LAST_PROBE_MS = 250;
/**
 * Requests that are asked to come back, as a share of the slots; those that wait for the first time need the others. A play
 * of outages (npm run bench -- outage-return) lost worth with 0.25 and with 0.5.
 */
const RETURN_SHARE = 0.35;
/** Time after an outage in which requests are let in at the pace of the service, in milliseconds. */
const RETURN_MS = 1_500;
/**
 * Share of the slots that late requests leave free: routers don't know what the others send in the same moment, so that some
 * endpoints get more than others, and new requests that can be in time are worth more.
 */
const RESERVED_SHARE = 0.1;
/** Utilization below which a request that has waited is sent rather than refused; below a half, a refusal is a fault. */
const REFUSAL_MIN_UTILIZATION = 0.9;

/**
 * Creates an empty queue.
 * @param options - Service, knowledge of its outages, and its free slots.
 */
export function createOutageQueue<Entry extends QueuedOutageRequest>(
    options: OutageQueueOptions<Entry>,
): OutageQueue<Entry> {
    const { service, history } = options;
    const compare =
        options.compare ?? ((left, right, firstByAt) => compareAfterOutage(left.request, right.request, firstByAt));
    const plan = options.plan ?? planOutageStep;
    const waiting = new Set<Entry>();
    let probedAt = Number.NEGATIVE_INFINITY;
    let plannedAt = Number.NEGATIVE_INFINITY;
    let lastStartAt = Number.POSITIVE_INFINITY;
    /** Times at which requests that were refused with a delay come back. */
    let returnTimes: number[] = [];
    /** Requests that may still be sent in the window, which began at the time. */
    let credit = 0;
    let windowAt = Number.NEGATIVE_INFINITY;
    return {
        offerRequest: (entry, now) => applyAction(entry, chooseAction(entry, now, takeCredit), now),
        previewRequest: (entry, now) => chooseAction(entry, now, hasCredit),
        refuseRequest: (entry, now) => refuse(entry, history.getBegan(service, now) ?? now, now),
        removeRequest: entry => void waiting.delete(entry),
        takeDecisions,
        countWaiting: () => waiting.size,
        setLastStart(at) {
            lastStartAt = at;
        },
    };

    /** Decides about a request; undefined if it waits. */
    function chooseAction(entry: Entry, now: number, useCredit: (now: number) => boolean): OutageAction | undefined {
        const beganAt = history.getBegan(service, now);
        return beganAt === undefined ? chooseAfterOutage(entry, now, useCredit) : chooseInOutage(entry, beganAt, now);
    }

    function applyAction(entry: Entry, action: OutageAction | undefined, now: number): OutageAction | undefined {
        if (action === undefined) {
            waiting.add(entry);
        } else if (!action.isSent) {
            recordRefusal(action.delayMs, now);
        } else if (action.isProbe) {
            startProbe(now);
        }
        return action;
    }

    function chooseInOutage(entry: Entry, beganAt: number, now: number): OutageAction | undefined {
        // A suspicion alone refuses nobody.
        const isSuspected = history.isStalled(service) && computeWaitEnd(entry) > now;
        const step = isSuspected ? { isWaiting: true as const } : plan(entry.request, buildOutlook(beganAt, now));
        const waits = step.isWaiting && now < lastStartAt && waiting.size < options.maxWaiting;
        // A request that can't be served can still tell whether the outage has ended.
        if (isProbeDue(now) && (!waits || entry.sendsLeft > 1)) {
            return { isSent: true, isProbe: true };
        }
        if (waits) {
            return undefined;
        }
        const { delayMs } = step.isWaiting ? planRefusal(entry.request, buildOutlook(beganAt, now)) : step;
        return { isSent: false, delayMs };
    }

    function chooseAfterOutage(
        entry: Entry,
        now: number,
        useCredit: (now: number) => boolean,
    ): OutageAction | undefined {
        if (!isReturning(now) || canBeInTime(entry, now) || (waiting.size === 0 && useCredit(now))) {
            return { isSent: true, isProbe: false };
        }
        if (computeWaitEnd(entry) <= now || waiting.size >= options.maxWaiting) {
            return planAfterOutage(entry, now);
        }
        return undefined;
    }

    /** Such a request doesn't wait for a turn, as it would be late after it, and is worth more than those that are late. */
    function canBeInTime({ request }: Entry, now: number): boolean {
        return request.targetAt >= now + options.getDurations().firstEventMs;
    }

    /** Requests that wait go on being let in by turns, however long that takes. */
    function isReturning(now: number): boolean {
        const endedAt = history.getEnded(service) ?? Number.NEGATIVE_INFINITY;
        return waiting.size > 0 || now - endedAt < RETURN_MS;
    }

    function takeDecisions(now: number): OutageDecision<Entry>[] {
        const beganAt = history.getBegan(service, now);
        const decisions = beganAt === undefined ? takeAfterOutage(now) : takeInOutage(beganAt, now);
        decisions.forEach(({ entry }) => waiting.delete(entry));
        return decisions;
    }

    function takeInOutage(beganAt: number, now: number): OutageDecision<Entry>[] {
        const decisions: OutageDecision<Entry>[] = [];
        const isPlanDue = now - plannedAt >= PLAN_INTERVAL_MS && !history.isStalled(service);
        plannedAt = isPlanDue ? now : plannedAt;
        for (const entry of waiting) {
            const isHopeless = isPlanDue && !plan(entry.request, buildOutlook(beganAt, now)).isWaiting;
            if (isHopeless || computeWaitEnd(entry) <= now) {
                const action = isProbeDue(now) ? startProbe(now) : refuse(entry, beganAt, now);
                decisions.push({ entry, action });
            }
        }
        if (isProbeDue(now)) {
            const entry = findProbe(
                decisions.map(decision => decision.entry),
                now,
            );
            if (entry !== undefined) {
                decisions.push({ entry, action: startProbe(now) });
            }
        }
        return decisions;
    }

    /** A probe may be rejected, so it is a request that has another send left, or one that can't wait much longer. */
    function findProbe(taken: readonly Entry[], now: number): Entry | undefined {
        const entries = [...waiting].filter(entry => !taken.includes(entry));
        return (
            entries.find(({ sendsLeft }) => sendsLeft > 1) ??
            entries.find(entry => computeWaitEnd(entry) - now <= LAST_PROBE_MS)
        );
    }

    function takeAfterOutage(now: number): OutageDecision<Entry>[] {
        const { firstEventMs } = options.getDurations();
        const order = [...waiting].sort((left, right) => compare(left, right, now + firstEventMs));
        const decisions: OutageDecision<Entry>[] = [];
        for (const entry of order) {
            if (canBeInTime(entry, now) || takeCredit(now)) {
                decisions.push({ entry, action: { isSent: true, isProbe: false } });
            } else if (computeWaitEnd(entry) <= now) {
                const action = planAfterOutage(entry, now);
                decisions.push({ entry, action: action.isSent ? action : recordRefusal(action.delayMs, now) });
            }
        }
        return decisions;
    }

    function planAfterOutage(entry: Entry, now: number): OutageAction {
        const used = 1 - options.countFreeSlots() / Math.max(1, options.countSlots());
        const { request } = entry;
        if (used < REFUSAL_MIN_UTILIZATION && computeLastStart(request, options.getDurations()) >= now) {
            return { isSent: true, isProbe: false };
        }
        const canReturn = !request.hasReturned && !request.mayHaveRun && hasRoomForReturns(now);
        // Returns at random times meet the slots that are free by then, instead of each other.
        return { isSent: false, delayMs: canReturn ? options.drawRandom() * getMaxDelay(request, now) : undefined };
    }

    function refuse({ request }: Entry, beganAt: number, now: number): OutageAction {
        return recordRefusal(planRefusal(request, buildOutlook(beganAt, now)).delayMs, now);
    }

    function recordRefusal(delayMs: number | undefined, now: number): OutageAction {
        if (delayMs !== undefined) {
            returnTimes.push(now + delayMs);
        }
        return { isSent: false, delayMs };
    }

    /** Requests come back to other routers than they were refused by, and about as many come to this one. */
    function hasRoomForReturns(now: number): boolean {
        returnTimes = returnTimes.filter(at => at > now - RETURN_MS);
        return returnTimes.length < (RETURN_SHARE * options.countSlots()) / options.countRouters();
    }

    function computeWaitEnd({ request }: Entry): number {
        return Math.min(computeLastStart(request, options.getDurations()), lastStartAt);
    }

    function buildOutlook(beganAt: number, now: number): OutageOutlook {
        return {
            now,
            beganAt,
            durations: history.listDurations(service),
            ...options.getDurations(),
            hasRoomForReturns: hasRoomForReturns(now),
        };
    }

    function isProbeDue(now: number): boolean {
        if (history.isStalled(service)) {
            // A stalled group neither rejects nor serves a probe, but may run it.
            return false;
        }
        const intervalMs = options.countRouters() * FLEET_PROBE_INTERVAL_MS;
        const boundedMs = Math.min(MAX_PROBE_INTERVAL_MS, Math.max(MIN_PROBE_INTERVAL_MS, intervalMs));
        return now - probedAt >= boundedMs;
    }

    function startProbe(now: number): OutageAction {
        probedAt = now;
        return { isSent: true, isProbe: true };
    }

    /** In each window, in which the other routers don't know what this one sends, it may use its part of the free slots. */
    function takeCredit(now: number): boolean {
        if (isWindowOver(now)) {
            windowAt = now;
            credit = drawCredit();
        }
        if (credit < 1) {
            return false;
        }
        credit--;
        return true;
    }

    function hasCredit(now: number): boolean {
        return (isWindowOver(now) ? drawCredit() : credit) >= 1;
    }

    function isWindowOver(now: number): boolean {
        const endedAt = history.getEnded(service) ?? Number.NEGATIVE_INFINITY;
        return windowAt < endedAt || now - windowAt >= options.getSpreadMs();
    }

    function drawCredit(): number {
        const reserved = RESERVED_SHARE * options.countSlots();
        const free = Math.max(0, options.countFreeSlots() - reserved);
        return Math.floor(free / options.countRouters() + options.drawRandom());
    }
}
