import {
    type OutageAction,
    type OutageHistory,
    type OutageQueue,
    type OutageQueueOptions,
    type OutageRequest,
    type QueuedOutageRequest,
    LATE_WORTH,
    OutageSource,
    SECOND_REFUSAL_COST,
    computeCallerGap,
    computeHeldCost,
    createOutageHistory,
    createOutageQueue,
} from "../../src/scheduling/index.js";
import { buildList } from "../../src/utils/list.js";
import { type EventQueue, createEventQueue } from "./EventQueue.js";
import { type Random, createRandom } from "./Random.js";

/** How routers treat requests during an outage. */
export interface OutagePolicy {
    name: string;
    /** Whether requests may wait at a router; otherwise all but probes are refused, as by earlier versions. */
    usesQueue: boolean;
    plan?: OutageQueueOptions<QueuedOutageRequest>["plan"];
}

/** Fleet, load and outages of a play. */
export interface OutageLoad {
    seed: number;
    routers: number;
    endpoints: number;
    slots: number;
    /** Requests as a share of what the endpoints can serve. */
    load: number;
    /** Durations of the outages, which come one after the other, in milliseconds. */
    outagesMs: readonly number[];
    policy: OutagePolicy;
}

/** What callers get of the requests whose time overlaps with an outage, as shares of these. */
export interface OutageResult {
    inTime: number;
    late: number;
    /** Part of both that was refused once before. */
    returned: number;
    /** Refused without a delay that the caller honours. */
    refusedOnce: number;
    refusedAgain: number;
    /** The caller left since nothing came, or the stream broke off. */
    left: number;
    /** Worth of the answers less the cost of second refusals and of holding in vain, per request. */
    worth: number;
    /** Highest number of sends beyond the first of each request in 10 s, as a share of what all routers may make. */
    budgetUse: number;
}

const CALLER_DEADLINE_MS = 8_000;
const TARGETS_MS = [403, 803];
const TARGET_WEIGHTS = [0.8, 0.2];
const MAX_PAUSE_MS = 120;
const MAX_DELAY_SHARE = 1 / 3;
const MEAN_RUN_MS = 1_800;
const LEAST_RUN_MS = 200;
const FIRST_EVENT_MS = 120;
/** Additional time to the first event for each other request that starts on the same endpoint at about the same time. */
const CROWD_MS = 30;
const CROWD_WINDOW_MS = 250;
const STALL_MS = 1_500;
const HOP_MS = 1;
const MAX_ATTEMPTS = 2;
const QUIET_MS = 22_000;
const WARM_UP_MS = 8_000;
/** Requests that arrive in this time before an outage run into it; those after it meet those that return, and their queue. */
const BEFORE_MS = 2_000;
const AFTER_MS = 12_000;
const CHECK_MS = 25;
const MAX_WAITING = 1_024;
const RETRY_RATIO = 0.2;
const RETRY_BURST = 92;
const RETRY_WINDOW_MS = 10_000;
const RETRY_SAFETY = 0.5;
const LOSS_HOLD_MS = 100;
const NEWS_MS = 2;
const ZONES = 3;
const SAME_ZONE_MS = 75;
/** Weights of the choice of an endpoint, as in the router. */
const PREFERENCE_WEIGHT = 0.4;
const OTHER_ZONE_WEIGHT = 0.18;
const SILENCE_MS = 300;
const MIN_SILENT_STREAMS = 3;

interface Caller {
    at: number;
    targetMs: number;
    runMs: number;
    isCounted: boolean;
    hasReturned: boolean;
    isDone: boolean;
    isLate: boolean;
    heldMs: number;
}

/** One attempt of a caller at a router. */
interface Attempt extends QueuedOutageRequest {
    caller: Caller;
    router: Router;
    sendCount: number;
    isRetryOwed: boolean;
    lastEventAt: number | undefined;
    runLeftMs: number;
    /** Changes with each send, so that events of an earlier one have no effect. */
    generation: number;
}

interface Endpoint {
    id: string;
    running: Set<Attempt>;
    queue: Attempt[];
    startedAt: number[];
}

interface Router {
    index: number;
    history: OutageHistory;
    queue: OutageQueue<Attempt>;
    inFlight: number[];
    zoneInFlight: number[];
    othersInFlight: number[];
    /** Order of preference among the endpoints, in requests. */
    preferences: number[];
    requests: number[];
    retries: number[];
}

const SERVICE = "lm";

/**
 * Plays outages of a group of endpoints with routers, and callers that come back once.
 * @param options - Fleet, load and outages.
 */
export function playOutages(options: OutageLoad): OutageResult {
    const random: Random = createRandom(options.seed);
    const events: EventQueue = createEventQueue();
    const endpoints = buildList(options.endpoints, (index): Endpoint => ({
        id: `i-${index}`,
        running: new Set(),
        queue: [],
        startedAt: [],
    }));
    const routers = buildList(options.routers, createRouter);
    const spreadMs = Math.min(400, 12 * options.routers);
    const tally = { offered: 0, inTime: 0, late: 0, returned: 0, refusedOnce: 0, refusedAgain: 0, left: 0, held: 0 };
    const outages = listOutages(options.outagesMs);
    let stalledUntil = 0;
    let stalledAt = 0;
    let closedUntil = 0;
    let budgetUse = 0;
    outages.forEach(({ at, ms }) => events.schedule(at, () => beginOutage(ms)));
    const endAt = (outages.at(-1)?.at ?? 0) + QUIET_MS;
    const perMs = (options.load * options.endpoints * options.slots) / (MEAN_RUN_MS + LEAST_RUN_MS);
    events.schedule(0, scheduleArrival);
    repeat(CHECK_MS, () => routers.forEach(runDecisions));
    repeat(SAME_ZONE_MS, () => spreadNews(true));
    repeat(spreadMs, () => spreadNews(false));
    events.runUntil(endAt + CALLER_DEADLINE_MS);
    const { offered, inTime, late, returned, refusedOnce, refusedAgain, left, held } = tally;
    const worth = (inTime + LATE_WORTH * late - SECOND_REFUSAL_COST * refusedAgain - held) / offered;
    return {
        inTime: inTime / offered,
        late: late / offered,
        returned: returned / offered,
        refusedOnce: refusedOnce / offered,
        refusedAgain: refusedAgain / offered,
        left: left / offered,
        worth,
        budgetUse,
    };

    function createRouter(index: number): Router {
        const history = createOutageHistory({
            readNow: () => events.getNow(),
            onChange({ isOut, source, hasLapsed }) {
                if (!isOut && source === OutageSource.Own && !hasLapsed) {
                    publishEnd(index);
                }
            },
        });
        const router: Router = {
            index,
            history,
            queue: createOutageQueue<Attempt>({
                service: SERVICE,
                history,
                countFreeSlots: () =>
                    endpoints.reduce((sum, one, place) => sum + Math.max(0, options.slots - getLoad(router, place)), 0),
                countSlots: () => options.endpoints * options.slots,
                countRouters: () => options.routers,
                getSpreadMs: () => spreadMs,
                getDurations: () => ({ firstEventMs: 2 * FIRST_EVENT_MS, runMs: MEAN_RUN_MS + LEAST_RUN_MS }),
                ...(options.policy.plan === undefined ? {} : { plan: options.policy.plan }),
                maxWaiting: MAX_WAITING,
                drawRandom: () => random.draw(),
            }),
            inFlight: endpoints.map(() => 0),
            zoneInFlight: endpoints.map(() => 0),
            othersInFlight: endpoints.map(() => 0),
            preferences: endpoints.map(
                (one, place) =>
                    options.slots *
                    (PREFERENCE_WEIGHT * random.draw() + (place % ZONES === index % ZONES ? 0 : OTHER_ZONE_WEIGHT)),
            ),
            requests: [],
            retries: [],
        };
        return router;
    }

    function repeat(intervalMs: number, run: () => void): void {
        events.schedule(events.getNow() + intervalMs, () => {
            run();
            repeat(intervalMs, run);
        });
    }

    function publishEnd(index: number): void {
        events.schedule(events.getNow() + NEWS_MS, () => {
            routers.forEach(router => mergeNews(router, index));
            routers.forEach(runDecisions);
        });
    }

    function mergeNews(router: Router, from: number): void {
        const now = events.getNow();
        const source = routers[from];
        if (source !== undefined && source !== router) {
            router.history.mergeReports(String(from), source.history.listReports(now), now);
        }
    }

    /** Each router hears from those of its zone often, and of the other zones less often. */
    function spreadNews(isOwnZone: boolean): void {
        const now = events.getNow();
        const sums = buildList(ZONES, zone =>
            endpoints.map((one, place) =>
                routers.reduce(
                    (sum, { index, inFlight }) => sum + (index % ZONES === zone ? (inFlight[place] ?? 0) : 0),
                    0,
                ),
            ),
        );
        const reports = routers.map(({ history }) => history.listReports(now));
        for (const router of routers) {
            const own = router.index % ZONES;
            if (isOwnZone) {
                const zoneSum = sums[own] ?? [];
                router.zoneInFlight = zoneSum.map((sum, place) => sum - (router.inFlight[place] ?? 0));
            } else {
                router.othersInFlight = endpoints.map((one, place) =>
                    sums.reduce((sum, zone, index) => sum + (index === own ? 0 : (zone[place] ?? 0)), 0),
                );
            }
            reports.forEach((list, index) => {
                if (list.length > 0 && index !== router.index && (index % ZONES === own) === isOwnZone) {
                    router.history.mergeReports(String(index), list, now);
                }
            });
        }
    }

    function getLoad(router: Router, place: number): number {
        return (router.inFlight[place] ?? 0) + (router.zoneInFlight[place] ?? 0) + (router.othersInFlight[place] ?? 0);
    }

    function scheduleArrival(): void {
        const now = events.getNow();
        if (now >= endAt) {
            return;
        }
        events.schedule(now + random.drawExponential(1 / perMs), scheduleArrival);
        const caller: Caller = {
            at: now,
            targetMs: TARGETS_MS[random.drawIndex(TARGET_WEIGHTS)] ?? 0,
            runMs: LEAST_RUN_MS + random.drawExponential(MEAN_RUN_MS),
            isCounted: outages.some(({ at, ms }) => now >= at - BEFORE_MS && now < at + ms + AFTER_MS),
            hasReturned: false,
            isDone: false,
            isLate: false,
            heldMs: 0,
        };
        tally.offered += caller.isCounted ? 1 : 0;
        startAttempt(caller);
    }

    function startAttempt(caller: Caller): void {
        const now = events.getNow();
        const router = routers[Math.floor(random.draw() * options.routers)] as Router;
        router.requests.push(now);
        const request: OutageRequest = {
            arrivedAt: now,
            deadlineAt: caller.at + CALLER_DEADLINE_MS,
            targetAt: caller.at + caller.targetMs,
            gapMs: computeCallerGap(caller.targetMs, MAX_PAUSE_MS),
            gapFrom: now,
            hasBegun: false,
            hasReturned: caller.hasReturned,
            mayHaveRun: false,
        };
        const attempt: Attempt = {
            caller,
            router,
            request,
            sendsLeft: MAX_ATTEMPTS,
            sendCount: 0,
            isRetryOwed: false,
            lastEventAt: undefined,
            runLeftMs: caller.runMs,
            generation: 0,
        };
        watchCaller(attempt);
        offer(attempt);
    }

    /** The caller leaves when nothing comes for too long, and at its deadline. */
    function watchCaller(attempt: Attempt): void {
        const { request, caller } = attempt;
        const leavesAt = Math.min(request.deadlineAt, (attempt.lastEventAt ?? request.arrivedAt) + request.gapMs);
        events.schedule(leavesAt, () => {
            if (caller.isDone || attempt.generation < 0) {
                return;
            }
            const isStreaming = attempt.lastEventAt !== undefined && isRunning(attempt);
            if (isStreaming && events.getNow() < request.deadlineAt) {
                attempt.lastEventAt = events.getNow();
                watchCaller(attempt);
            } else if (events.getNow() >= request.deadlineAt || !isExtended(attempt)) {
                abandonAttempt(attempt);
            } else {
                watchCaller(attempt);
            }
        });
    }

    function isExtended({ lastEventAt, request }: Attempt): boolean {
        return (lastEventAt ?? request.arrivedAt) + request.gapMs > events.getNow();
    }

    function isRunning(attempt: Attempt): boolean {
        return stalledUntil <= events.getNow() && endpoints.some(({ running }) => running.has(attempt));
    }

    function abandonAttempt(attempt: Attempt): void {
        attempt.router.queue.removeRequest(attempt);
        removeFromEndpoints(attempt);
        settle(attempt, "left");
    }

    function removeFromEndpoints(attempt: Attempt): void {
        endpoints.forEach((endpoint, place) => {
            const isQueued = endpoint.queue.includes(attempt);
            if (endpoint.running.delete(attempt) || isQueued) {
                endpoint.queue = endpoint.queue.filter(other => other !== attempt);
                attempt.router.inFlight[place] = (attempt.router.inFlight[place] ?? 0) - 1;
                startNext(endpoint);
            }
        });
    }

    function settle(attempt: Attempt, result: "served" | "left" | "refused"): void {
        const { caller } = attempt;
        attempt.generation = -1;
        caller.isDone = true;
        if (!caller.isCounted) {
            return;
        }
        if (result === "served") {
            tally[caller.isLate ? "late" : "inTime"]++;
            tally.returned += caller.hasReturned ? 1 : 0;
            return;
        }
        // Time spent at a stalled endpoint counts like time spent waiting at a router.
        const hasBegun = attempt.lastEventAt !== undefined;
        const heldMs = caller.heldMs + (hasBegun ? 0 : events.getNow() - attempt.request.arrivedAt);
        tally.held += computeHeldCost(false, heldMs);
        if (result === "left") {
            tally.left++;
        } else {
            tally[caller.hasReturned ? "refusedAgain" : "refusedOnce"]++;
        }
    }

    function offer(attempt: Attempt): void {
        const now = events.getNow();
        attempt.sendsLeft = MAX_ATTEMPTS - attempt.sendCount;
        const { history, queue } = attempt.router;
        watchSilence(attempt.router, now);
        const leftMs = attempt.request.deadlineAt - now;
        if (!options.policy.usesQueue) {
            const isFirst = attempt.sendCount === 0;
            const delayMs = isFirst ? history.detector.checkRequest(SERVICE, leftMs, now) : undefined;
            runAction(attempt, delayMs === undefined ? { isSent: true, isProbe: false } : { isSent: false, delayMs });
            return;
        }
        const action = queue.offerRequest(attempt, now);
        if (action !== undefined) {
            runAction(attempt, action);
        }
    }

    function watchSilence(router: Router, now: number): void {
        if (!options.policy.usesQueue || now >= stalledUntil || now - stalledAt < SILENCE_MS) {
            return;
        }
        const silent = endpoints.filter(({ running }) =>
            [...running].some(one => one.router === router && one.lastEventAt !== undefined),
        );
        if (silent.length >= MIN_SILENT_STREAMS) {
            router.history.recordStall(SERVICE, stalledAt, now);
        }
    }

    function runDecisions(router: Router): void {
        router.queue.takeDecisions(events.getNow()).forEach(({ entry, action }) => runAction(entry, action));
    }

    function runAction(attempt: Attempt, action: OutageAction): void {
        if (!action.isSent) {
            refuse(attempt, action.delayMs);
        } else if (attempt.isRetryOwed && !takeRetry(attempt.router)) {
            refuse(attempt, 250);
        } else {
            attempt.isRetryOwed = false;
            send(attempt);
        }
    }

    function refuse(attempt: Attempt, delayMs: number | undefined): void {
        const { caller, request } = attempt;
        const now = events.getNow();
        const limitMs = (request.deadlineAt - now) * MAX_DELAY_SHARE;
        if (request.mayHaveRun || caller.hasReturned || delayMs === undefined || delayMs > limitMs + 1) {
            settle(attempt, "refused");
            return;
        }
        attempt.generation = -1;
        caller.hasReturned = true;
        caller.heldMs += now - request.arrivedAt;
        events.schedule(now + delayMs, () => startAttempt(caller));
    }

    function takeRetry(router: Router): boolean {
        const from = events.getNow() - RETRY_WINDOW_MS;
        router.requests = router.requests.filter(at => at > from);
        router.retries = router.retries.filter(at => at > from);
        const allowed = RETRY_SAFETY * (RETRY_RATIO * router.requests.length + RETRY_BURST / options.routers);
        if (router.retries.length + 1 > allowed) {
            return false;
        }
        router.retries.push(events.getNow());
        budgetUse = Math.max(budgetUse, RETRY_SAFETY * (router.retries.length / allowed));
        return true;
    }

    function send(attempt: Attempt): void {
        const { router } = attempt;
        const loads = endpoints.map((one, place) => getLoad(router, place) + (router.preferences[place] ?? 0));
        const place = loads.indexOf(Math.min(...loads));
        attempt.generation++;
        router.inFlight[place] = (router.inFlight[place] ?? 0) + 1;
        events.schedule(events.getNow() + HOP_MS, () => reach(endpoints[place] as Endpoint, place, attempt));
    }

    function reach(endpoint: Endpoint, place: number, attempt: Attempt): void {
        const now = events.getNow();
        if (attempt.generation < 0) {
            attempt.router.inFlight[place] = (attempt.router.inFlight[place] ?? 0) - 1;
            return;
        }
        if (now < closedUntil && now >= stalledUntil) {
            attempt.router.inFlight[place] = (attempt.router.inFlight[place] ?? 0) - 1;
            reject(endpoint, attempt);
            return;
        }
        endpoint.queue.push(attempt);
        startNext(endpoint);
    }

    function startNext(endpoint: Endpoint): void {
        const now = events.getNow();
        while (now >= closedUntil && endpoint.running.size < options.slots && endpoint.queue.length > 0) {
            const attempt = endpoint.queue.shift() as Attempt;
            endpoint.running.add(attempt);
            endpoint.startedAt = [...endpoint.startedAt.filter(at => now - at < CROWD_WINDOW_MS), now];
            attempt.router.history.detector.recordAcceptance(SERVICE);
            const { generation } = attempt;
            const firstMs = FIRST_EVENT_MS + CROWD_MS * (endpoint.startedAt.length - 1);
            events.schedule(now + firstMs, () => {
                if (attempt.generation === generation && endpoint.running.has(attempt)) {
                    recordEvent(attempt);
                }
            });
            events.schedule(now + firstMs + attempt.runLeftMs, () => {
                if (attempt.generation === generation && endpoint.running.has(attempt)) {
                    removeFromEndpoints(attempt);
                    settle(attempt, "served");
                }
            });
        }
    }

    function recordEvent(attempt: Attempt): void {
        const now = events.getNow();
        const { caller, request } = attempt;
        const isFirst = attempt.lastEventAt === undefined;
        caller.isLate ||= isFirst ? now > request.targetAt : now - (attempt.lastEventAt ?? now) > MAX_PAUSE_MS;
        attempt.lastEventAt = now;
    }

    function beginOutage(ms: number): void {
        const now = events.getNow();
        stalledAt = now;
        stalledUntil = now + STALL_MS;
        closedUntil = now + ms;
        endpoints.forEach(({ running }) =>
            running.forEach(attempt => {
                attempt.lastEventAt &&= now;
                // What is left of the run is drawn anew, which an exponential distribution allows.
                attempt.runLeftMs = random.drawExponential(MEAN_RUN_MS);
            }),
        );
        events.schedule(stalledUntil, cutStreams);
    }

    function cutStreams(): void {
        endpoints.forEach((endpoint, place) => {
            const cut = [...endpoint.running, ...endpoint.queue];
            endpoint.running.clear();
            endpoint.queue = [];
            cut.forEach(attempt => {
                const { router } = attempt;
                router.inFlight[place] = (router.inFlight[place] ?? 0) - 1;
                recordLoss(endpoint, attempt);
            });
        });
    }

    function recordLoss(endpoint: Endpoint, attempt: Attempt): void {
        const now = events.getNow();
        attempt.sendCount++;
        attempt.generation++;
        attempt.request = {
            ...attempt.request,
            mayHaveRun: true,
            gapFrom: attempt.lastEventAt ?? attempt.request.gapFrom,
        };
        if (attempt.lastEventAt !== undefined) {
            attempt.request.targetAt = Number.NEGATIVE_INFINITY;
            attempt.request.hasBegun = true;
        }
        if (!options.policy.usesQueue) {
            retry(attempt);
            return;
        }
        attempt.router.history.recordLoss(SERVICE, endpoint.id, Math.max(stalledAt, attempt.request.arrivedAt), now);
        events.schedule(now + LOSS_HOLD_MS, () => retry(attempt));
    }

    function reject(endpoint: Endpoint, attempt: Attempt): void {
        attempt.sendCount++;
        attempt.router.history.detector.recordRejection(SERVICE, endpoint.id, events.getNow());
        retry(attempt);
    }

    function retry(attempt: Attempt): void {
        if (attempt.generation < 0) {
            return;
        }
        const now = events.getNow();
        const { router, request } = attempt;
        const isOut = router.history.getBegan(SERVICE, now) !== undefined;
        if (attempt.sendCount >= MAX_ATTEMPTS || (!(options.policy.usesQueue && isOut) && !takeRetry(router))) {
            refuse(attempt, isOut ? planDelay(attempt, now) : Math.min(250, request.deadlineAt - now));
            return;
        }
        attempt.isRetryOwed = options.policy.usesQueue && isOut;
        offer(attempt);
    }

    function planDelay(attempt: Attempt, now: number): number | undefined {
        if (!options.policy.usesQueue) {
            return (attempt.request.deadlineAt - now) * MAX_DELAY_SHARE;
        }
        const action = attempt.router.queue.refuseRequest(attempt, now);
        return action.isSent ? undefined : action.delayMs;
    }
}

function listOutages(durations: readonly number[]): { at: number; ms: number }[] {
    let at = WARM_UP_MS;
    return durations.map(ms => {
        const outage = { at, ms };
        at += ms + QUIET_MS;
        return outage;
    });
}
