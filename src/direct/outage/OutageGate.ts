import {
    type OutageAction,
    type OutageDetector,
    type OutageHistory,
    type OutageQueue,
    type OutageReport,
    type OutageRequest,
    OutageSource,
    type QueuedOutageRequest,
    computeCallerGap,
    createOutageHistory,
    createOutageQueue,
} from "../../scheduling/index.js";
import type { Logger } from "../../telemetry/index.js";
import { readMonotonicMs, waitFor } from "../../utils/time.js";
import type { RoutedExchange } from "../DirectExchange.js";
import type { EndpointDirectory } from "../EndpointDirectory.js";
import type { EndpointRecord } from "../EndpointRecord.js";
import type { LoadTracker } from "../LoadTracker.js";
import type { RetryState } from "../RetryState.js";
import { RouteKind } from "../RoutingDocument.js";
import { type EndpointCandidates, UNKNOWN_DEMAND } from "../candidates/index.js";
import { type OutageLog, createOutageLog } from "./OutageLog.js";
import { createActiveStreams } from "./ActiveStreams.js";
import { createStreamDurations } from "./StreamDurations.js";

/** Holds the streams of engine groups while their group takes no requests, and lets them in when it has opened again. */
export interface OutageGate {
    /** Detector whose records the gate learns from. */
    readonly detector: OutageDetector;
    /** Tells whether the gate decides about a request: a stream of a service whose endpoints are ranks of a group. */
    isResponsible(exchange: RoutedExchange): boolean;
    /** Tells whether the requests of a service wait now. */
    isHolding(exchange: RoutedExchange): boolean;
    /**
     * Waits until a request may be sent.
     * @returns Undefined if its caller left or its time is up.
     */
    waitForTurn(exchange: RoutedExchange, state: RetryState): Promise<OutageAction | undefined>;
    /** Decides like `waitForTurn`, without holding the request; undefined if it would wait. */
    previewTurn(exchange: RoutedExchange, state: RetryState): OutageAction | undefined;
    /** Plans the delay of a request that is refused now, in milliseconds; undefined if its caller should not come back. */
    planDelay(exchange: RoutedExchange, state: RetryState): number | undefined;
    /** Records that an endpoint broke off a request, and waits until it is known whether its whole group is out. */
    recordLoss(exchange: RoutedExchange, endpoint: EndpointRecord): Promise<void>;
    /** Records that a request is sent to an endpoint. */
    recordSend(exchange: RoutedExchange, endpoint: EndpointRecord): void;
    /** Records that the endpoint has answered, or broken off. */
    recordEnd(exchange: RoutedExchange): void;
    /** Records an answered request. */
    recordAnswer(exchange: RoutedExchange): void;
    listReports(): OutageReport[];
    mergeReports(peer: string, reports: readonly OutageReport[]): void;
    /** Answers all waiting requests early enough for a planned stop. */
    startDraining(graceMs: number): void;
    countWaiting(): number;
    countOutages(): number;
    /** Gets the duration of the last outage, in milliseconds. */
    getLastDuration(): number;
}

/** Options of the gate. */
export interface OutageGateOptions {
    directory: EndpointDirectory;
    candidates: EndpointCandidates;
    load: LoadTracker;
    getRouterCount: () => number;
    getSpreadMs: () => number;
    hearsOthers: () => boolean;
    announceNews: () => void;
    /** Compares requests at the end of an outage; the one that goes first is less. */
    compare?: (left: WaitingRequest, right: WaitingRequest, firstByAt: number) => number;
    drawRandom: () => number;
    logger: Logger;
}

/** A request that waits for the end of an outage. */
export interface WaitingRequest extends QueuedOutageRequest {
    exchange: RoutedExchange;
    finish: (action: OutageAction | undefined) => void;
}

/** Interval at which waiting requests are looked at, in milliseconds. */
const CHECK_INTERVAL_MS = 25;
/** Bound on the waiting requests of a service: some seconds of the requests that a router of the largest fleet gets. */
const MAX_WAITING = 1_024;
/** Estimated earlier wait from which a request counts as one that came back, in milliseconds; shorter ones are errors. */
const MIN_RETURN_WAIT_MS = 200;
/**
 * Time after a broken stream in which the streams of the same group break too, or another router tells of it, in milliseconds.
 * A retry before that would be rejected and use up an attempt.
 */
const LOSS_HOLD_MS = 100;
/** Part of the time for a planned stop in which requests may go on waiting; the rest is for those that are sent by then. */
const DRAIN_WAIT_SHARE = 0.5;

/**
 * Creates the gate of a router.
 * @param options - Endpoints, their load, and the other routers.
 */
export function createOutageGate(options: OutageGateOptions): OutageGate {
    const { directory, candidates, load } = options;
    const queues = new Map<string, OutageQueue<WaitingRequest>>();
    const checkedServices = new Set<string>();
    const durations = createStreamDurations();
    const streams = createActiveStreams();
    let drainAt = Number.POSITIVE_INFINITY;
    const log: OutageLog = createOutageLog(options.logger, options.hearsOthers, countWaitingAt);
    const history: OutageHistory = createOutageHistory({
        readNow: readMonotonicMs,
        onChange(change) {
            log.logChange(change);
            if (!change.isOut) {
                // Listeners of a change run inside a send or a message; waiting requests are let in after it.
                setImmediate(() => runDecisions(change.service));
                // Only routers that see the end themselves announce it, so that messages don't grow with the square of the fleet.
                if (change.source === OutageSource.Own && !change.hasLapsed) {
                    options.announceNews();
                }
            }
        },
    });
    return {
        detector: history.detector,
        isResponsible,
        isHolding: ({ service }) => history.getBegan(service, readMonotonicMs()) !== undefined,
        waitForTurn,
        previewTurn: (exchange, state) =>
            getQueue(exchange.service).previewRequest(
                buildEntry(exchange, state, () => undefined),
                readMonotonicMs(),
            ),
        planDelay,
        async recordLoss(exchange, endpoint) {
            const now = readMonotonicMs();
            history.recordLoss(exchange.service, endpoint.id, exchange.lastEventAt ?? now, now);
            await waitFor(LOSS_HOLD_MS, exchange.abortController.signal);
        },
        recordSend: (exchange, endpoint) => streams.addStream(exchange, endpoint.id, readMonotonicMs()),
        recordEnd: exchange => streams.removeStream(exchange),
        recordAnswer: exchange => durations.recordAnswer(exchange),
        listReports: () => history.listReports(readMonotonicMs()),
        mergeReports(peer, reports) {
            const known = reports.filter(([service]) => directory.listServing(service).length > 0);
            history.mergeReports(peer, known, readMonotonicMs());
        },
        startDraining(graceMs) {
            drainAt = readMonotonicMs() + graceMs * DRAIN_WAIT_SHARE;
            queues.forEach(queue => queue.setLastStart(drainAt));
        },
        countWaiting: () => [...queues.keys()].reduce((sum, service) => sum + countWaitingAt(service), 0),
        countOutages: () => history.countOutages(),
        getLastDuration: () => history.getLastDuration(),
    };

    function countWaitingAt(service: string): number {
        return queues.get(service)?.countWaiting() ?? 0;
    }

    function isResponsible({ route, service, index }: RoutedExchange): boolean {
        return (
            route.kind === RouteKind.Stream &&
            index.findService(service)?.engine !== undefined &&
            directory.listServing(service).some(({ group }) => group !== undefined)
        );
    }

    function waitForTurn(exchange: RoutedExchange, state: RetryState): Promise<OutageAction | undefined> {
        const { service } = exchange;
        const { signal } = exchange.abortController;
        const queue = getQueue(service);
        return new Promise(resolve => {
            const entry = buildEntry(exchange, state, action => {
                signal.removeEventListener("abort", abandonWait);
                log.countEnd(service, action);
                resolve(action);
            });
            watchStreams(service);
            const action = signal.aborted ? undefined : queue.offerRequest(entry, readMonotonicMs());
            if (action !== undefined || signal.aborted) {
                log.countDecision(service, action, queue.countWaiting() >= MAX_WAITING);
                resolve(action);
                return;
            }
            signal.addEventListener("abort", abandonWait, { once: true });
            startChecking(service);

            function abandonWait(): void {
                queue.removeRequest(entry);
                entry.finish(undefined);
            }
        });
    }

    function planDelay(exchange: RoutedExchange, state: RetryState): number | undefined {
        const entry = buildEntry(exchange, state, () => undefined);
        const action = getQueue(exchange.service).refuseRequest(entry, readMonotonicMs());
        return action.isSent ? undefined : action.delayMs;
    }

    function getQueue(service: string): OutageQueue<WaitingRequest> {
        let queue = queues.get(service);
        if (queue === undefined) {
            queue = createOutageQueue<WaitingRequest>({
                service,
                history,
                countFreeSlots: () => countFreeSlots(service),
                countSlots: () => directory.listServing(service).reduce((sum, { slots }) => sum + slots, 0),
                countRouters: options.getRouterCount,
                getSpreadMs: options.getSpreadMs,
                getDurations: () => durations.getDurations(service),
                compare: options.compare,
                maxWaiting: MAX_WAITING,
                drawRandom: options.drawRandom,
            });
            queue.setLastStart(drainAt);
            queues.set(service, queue);
        }
        return queue;
    }

    function countFreeSlots(service: string): number {
        const now = readMonotonicMs();
        return candidates
            .listCandidates(service, UNKNOWN_DEMAND, now)
            .reduce((sum, { id, slots }) => sum + Math.max(0, slots - load.getLoad(id, now)), 0);
    }

    function startChecking(service: string): void {
        if (checkedServices.has(service)) {
            return;
        }
        const timer = setInterval(() => {
            runDecisions(service);
            if (countWaitingAt(service) === 0) {
                clearInterval(timer);
                checkedServices.delete(service);
            }
        }, CHECK_INTERVAL_MS);
        checkedServices.add(service);
    }

    /** Suspects an outage when all streams are silent, and ends the suspicion when one goes on. */
    function watchStreams(service: string): void {
        const now = readMonotonicMs();
        const { silentFrom, isProgressing } = streams.checkStreams(service, now);
        if (isProgressing === true) {
            history.recordProgress(service, now);
        } else if (silentFrom !== undefined) {
            history.recordStall(service, silentFrom, now);
        }
    }

    function runDecisions(service: string): void {
        if (history.isStalled(service)) {
            watchStreams(service);
        }
        const decisions = queues.get(service)?.takeDecisions(readMonotonicMs()) ?? [];
        decisions.forEach(({ entry, action }) => entry.finish(action));
        log.logReturn(service);
    }
}

function buildEntry(
    exchange: RoutedExchange,
    state: RetryState,
    finish: (action: OutageAction | undefined) => void,
): WaitingRequest {
    const sendsLeft = exchange.route.maxAttempts - state.sendCount;
    return { request: buildOutageRequest(exchange, state), exchange, sendsLeft, finish };
}

/** A stream that has begun is late already, as the pause exceeds what callers accept. */
function buildOutageRequest(exchange: RoutedExchange, { mayHaveRun }: RetryState): OutageRequest {
    const { arrivedAt, deadlineAt, lastEventAt, waitedBeforeMs, route } = exchange;
    const hasBegun = lastEventAt !== undefined;
    return {
        arrivedAt,
        deadlineAt,
        targetAt: hasBegun ? Number.NEGATIVE_INFINITY : arrivedAt + route.targetMs - waitedBeforeMs,
        gapMs: computeCallerGap(route.targetMs, route.maxPauseMs),
        gapFrom: lastEventAt ?? arrivedAt,
        hasBegun,
        hasReturned: waitedBeforeMs >= MIN_RETURN_WAIT_MS,
        mayHaveRun,
    };
}
