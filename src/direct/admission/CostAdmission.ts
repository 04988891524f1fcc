import {
    type AdmissionLevels,
    type ConcurrencyLimiter,
    type QueuedValue,
    type RequestValuer,
    type SharedRateLimiter,
    chooseNextRequest,
    computeReturnDelay,
    computeSlotChance,
    createAdmissionLevels,
    createRequestValuer,
    isBehindTarget,
} from "../../scheduling/index.js";
import { EventId, type Logger } from "../../telemetry/index.js";
import { computeHashFraction } from "../../utils/digest.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { RoutedExchange } from "../DirectExchange.js";
import type { EndpointRecord } from "../EndpointRecord.js";
import type { LoadTracker } from "../LoadTracker.js";
import type { EngineCostModel } from "../RoutingDocument.js";
import type { EndpointCandidates } from "../candidates/index.js";
import { AdmissionDecision } from "./AdmissionDecision.js";
import { computeReadMs, computeSlotWork } from "./computeSlotWork.js";
import { isBlockedForNow } from "./isBlockedForNow.js";
import { findLongestTarget } from "./findLongestTarget.js";

/**
 * Admits requests to engines by what they cost. While no slot is free, requests wait at the router, in the order of their
 * work for what they are worth, and those above the admission level that routers share are refused at once.
 */
export interface CostAdmission {
    /** Tells whether the configuration calls for it: the service has an engine whose memory is known, and limits pauses. */
    isActive(exchange: RoutedExchange): boolean;
    /**
     * Waits until an engine has a free slot for the first send of a request.
     * @returns Endpoints with a free slot, none if none is a candidate; undefined if the request is refused or its caller left.
     */
    waitForEndpoints(exchange: RoutedExchange): Promise<readonly EndpointRecord[] | undefined>;
    /** Records that a request ended at an endpoint; its slot goes to the next one that waits here. */
    recordRequestEnd(service: string, endpoint: string): void;
    /** What routers tell each other of their queues. */
    levels: AdmissionLevels;
}

/** Options of the admission by cost. */
export interface CostAdmissionOptions {
    load: Pick<LoadTracker, "getLoad">;
    pace: Pick<ConcurrencyLimiter, "getAllowedShare">;
    limiter: Pick<SharedRateLimiter, "drawOpen">;
    candidates: Pick<EndpointCandidates, "listCandidates" | "assessEndpoints">;
    /** Gets the average time from a send to the first event, in milliseconds. */
    getFirstEventMs: (service: string) => number;
    /** Gets the time until the routers know what each other do, in milliseconds. */
    getSpreadMs: () => number;
    /** Tells whether this router knows of others. */
    hasPeers: () => boolean;
    drawRandom: () => number;
    /** Counts a decision. */
    onDecision: (service: string, decision: AdmissionDecision) => void;
    logger: Pick<Logger, "logEvent">;
}

interface QueuedRequest extends QueuedValue {
    exchange: RoutedExchange;
    finish: (open: readonly EndpointRecord[] | undefined) => void;
}

interface ServiceQueue {
    /** The oldest first. */
    waiting: QueuedRequest[];
    valuer: RequestValuer;
    longestTargetMs: number;
    isPolled: boolean;
    isShort: boolean;
    isAlone: boolean;
}

/** Free slots of a service at one moment. */
interface FreeSlots {
    endpoints: EndpointRecord[];
    count: number;
    /** Share of all slots that is in use or asked for; more than 1 if requests wait at the endpoints. */
    usedShare: number;
    /** Whether there is an endpoint now, or will be one without a change of the service. */
    hasCandidates: boolean;
}

const NONE_TRIED: ReadonlySet<string> = new Set();
/** Interval at which waiting requests try to use a free slot, in milliseconds. */
const POLL_INTERVAL_MS = 25;
/** Share of the slots in use below which no request is refused by the level; refusing below one half is a fault. */
const MIN_USED_SHARE = 0.7;
/** Levels from and up to which a shortage is logged as begun and as ended. */
const SHORTAGE_BEGIN = 0.1;
const SHORTAGE_END = 0.01;

/**
 * Creates the admission by cost of a router.
 * @param options - Endpoints, their load and what other routers tell.
 */
export function createCostAdmission(options: CostAdmissionOptions): CostAdmission {
    const { load, pace, limiter, candidates, logger, drawRandom, onDecision } = options;
    const queues = new Map<string, ServiceQueue>();
    const levels = createAdmissionLevels();
    return {
        isActive: exchange => exchange.route.maxPauseMs > 0 && findEngine(exchange)?.memoryTokens !== undefined,
        waitForEndpoints,
        recordRequestEnd,
        levels,
    };

    function waitForEndpoints(exchange: RoutedExchange): Promise<readonly EndpointRecord[] | undefined> {
        const { service, index } = exchange;
        const now = readMonotonicMs();
        const queue = getQueue(service);
        queue.longestTargetMs = findLongestTarget(index.document, service);
        const value = buildQueuedValue(exchange, queue, now);
        const level = updateLevel(service, queue, now);
        const slots = findFreeSlots(exchange, now);
        const isTurn = queue.waiting.length === 0 && drawRandom() < computeChance(service, slots.count, now);
        const open = isTurn ? limiter.drawOpen(slots.endpoints, service, 1, now) : [];
        if (open.length > 0 || !slots.hasCandidates) {
            levels.recordAdmission(service, now);
            return Promise.resolve(open);
        }
        const waitMs = computeLongestWait(exchange, queue, now);
        const refusal = findRefusal(value.position > 1 - level && slots.usedShare >= MIN_USED_SHARE, waitMs);
        if (refusal !== undefined) {
            recordRefusal(exchange, refusal);
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => addWaiting(exchange, queue, value, waitMs, resolve));
    }

    function buildQueuedValue(exchange: RoutedExchange, queue: ServiceQueue, now: number): QueuedValue {
        const { service, demand, route } = exchange;
        const engine = findEngine(exchange) as EngineCostModel;
        const { urgency, tokens } = demand;
        const isReturned = demand.waitedBeforeMs > 0;
        const value = queue.valuer.computeValue({ urgency, workMs: computeSlotWork(engine, tokens), isReturned });
        const additionalReadMs = Math.max(0, computeReadMs(engine, tokens) - computeReadMs(engine, undefined));
        const startBy = now + route.targetMs - options.getFirstEventMs(service) - additionalReadMs;
        return { ...value, urgency, isReturned, startBy };
    }

    /** All kinds wait equally long, up to the longest target of the service: otherwise a less urgent one is served more. */
    function computeLongestWait(exchange: RoutedExchange, queue: ServiceQueue, now: number): number {
        const engine = findEngine(exchange) as EngineCostModel;
        const leftMs = exchange.deadlineAt - now - computeReadMs(engine, exchange.demand.tokens);
        return Math.min(leftMs, Math.max(0, queue.longestTargetMs - options.getFirstEventMs(exchange.service)));
    }

    function findRefusal(isAbove: boolean, waitMs: number): AdmissionDecision | undefined {
        if (waitMs < 0) {
            return AdmissionDecision.NoTime;
        }
        return isAbove ? AdmissionDecision.AboveLevel : undefined;
    }

    function recordRefusal(exchange: RoutedExchange, decision: AdmissionDecision): void {
        const leftMs = exchange.deadlineAt - readMonotonicMs();
        exchange.admissionDelayMs = computeReturnDelay(leftMs, drawRandom()) ?? 0;
        onDecision(exchange.service, decision);
    }

    function addWaiting(
        exchange: RoutedExchange,
        queue: ServiceQueue,
        value: QueuedValue,
        waitMs: number,
        resolve: (open: readonly EndpointRecord[] | undefined) => void,
    ): void {
        const { service } = exchange;
        const entry: QueuedRequest = { ...value, exchange, finish };
        const { signal } = exchange.abortController;
        const timer = setTimeout(() => {
            recordRefusal(exchange, AdmissionDecision.WaitEnded);
            finish(undefined);
        }, waitMs);
        const abandon = (): void => finish(undefined);
        signal.addEventListener("abort", abandon, { once: true });
        queue.waiting.push(entry);
        startPolling(service, queue);

        function finish(open: readonly EndpointRecord[] | undefined): void {
            clearTimeout(timer);
            signal.removeEventListener("abort", abandon);
            queue.waiting = queue.waiting.filter(other => other !== entry);
            resolve(open);
        }
    }

    function startPolling(service: string, queue: ServiceQueue): void {
        if (queue.isPolled) {
            return;
        }
        queue.isPolled = true;
        const timer = setInterval(() => {
            pollQueue(service, queue);
            if (queue.waiting.length === 0) {
                clearInterval(timer);
                queue.isPolled = false;
            }
        }, POLL_INTERVAL_MS);
    }

    function pollQueue(service: string, queue: ServiceQueue): void {
        const now = readMonotonicMs();
        updateLevel(service, queue, now);
        const [oldest] = queue.waiting;
        if (oldest === undefined) {
            return;
        }
        const chance = computeChance(service, findFreeSlots(oldest.exchange, now).count, now);
        admitTurns(service, queue, queue.waiting.filter(() => drawRandom() < chance).length);
    }

    /** A request counts as load once it is sent; only then is the next one admitted. */
    function admitTurns(service: string, queue: ServiceQueue, turns: number): void {
        if (turns > 0 && admitNext(service, queue, undefined)) {
            setImmediate(() => admitTurns(service, queue, turns - 1));
        }
    }

    /** Routers learn of a free slot late and would all use it at once, so it stays with the router whose request ended. */
    function recordRequestEnd(service: string, endpoint: string): void {
        const queue = queues.get(service);
        if (queue !== undefined && queue.waiting.length > 0) {
            admitNext(service, queue, endpoint);
        }
    }

    /** Admits the next request, to one endpoint if given; returns whether one was admitted. */
    function admitNext(service: string, queue: ServiceQueue, endpoint: string | undefined): boolean {
        const now = readMonotonicMs();
        const next = chooseNextRequest(queue.waiting, now);
        if (next === undefined) {
            return false;
        }
        const free = findFreeSlots(next.exchange, now);
        const usable = free.endpoints.filter(({ id }) => endpoint === undefined || id === endpoint);
        const open = limiter.drawOpen(usable, service, queue.waiting.length, now);
        if (open.length === 0 && free.hasCandidates) {
            return false;
        }
        levels.recordAdmission(service, now);
        onDecision(service, AdmissionDecision.Delayed);
        next.finish(open);
        return true;
    }

    function findFreeSlots({ service, demand }: RoutedExchange, now: number): FreeSlots {
        const allowedShare = pace.getAllowedShare(service, now) ?? 1;
        const listed = candidates.listCandidates(service, demand, now).map(endpoint => {
            // Each endpoint rounds a fractional limit by its own offset, so that the mean over the endpoints is exact.
            const offset = allowedShare < 1 ? computeHashFraction(endpoint.id) : 0;
            const limit = Math.floor(endpoint.slots * allowedShare + offset);
            return { endpoint, limit, used: load.getLoad(endpoint.id, now) };
        });
        const free = listed.filter(({ limit, used }) => used < limit);
        const slots = listed.reduce((sum, { endpoint }) => sum + endpoint.slots, 0);
        return {
            endpoints: free.map(({ endpoint }) => endpoint),
            count: free.reduce((sum, { limit, used }) => sum + limit - used, 0),
            usedShare: listed.reduce((sum, { used }) => sum + used, 0) / Math.max(1, slots),
            hasCandidates: listed.length > 0 || isBlockedForNow(candidates, service, demand, NONE_TRIED, now),
        };
    }

    function computeChance(service: string, free: number, now: number): number {
        const demand = levels.sumDemand(service, now);
        return computeSlotChance({ free, ...demand, spreadMs: options.getSpreadMs(), pollMs: POLL_INTERVAL_MS });
    }

    function updateLevel(service: string, queue: ServiceQueue, now: number): number {
        const waiting = queue.waiting.filter(request => !isBehindTarget(request, now)).length;
        const level = levels.updateLevel(service, { waiting, maxWaitMs: queue.longestTargetMs }, now);
        logShortage(service, queue, level);
        logNews(service, queue, level, now);
        return level;
    }

    function logShortage(service: string, queue: ServiceQueue, level: number): void {
        const isShort = queue.isShort ? level > SHORTAGE_END : level >= SHORTAGE_BEGIN;
        if (isShort !== queue.isShort) {
            queue.isShort = isShort;
            logger.logEvent(isShort ? EventId.AdmissionShort : EventId.AdmissionOpen, {
                service,
                level: roundLevel(level),
                waiting: queue.waiting.length,
            });
        }
    }

    /** Logs when a router that limits admission begins or ends to rely on its own view. */
    function logNews(service: string, queue: ServiceQueue, level: number, now: number): void {
        const isAlone = level >= SHORTAGE_BEGIN && options.hasPeers() && !levels.hasNews(service, now);
        if (isAlone !== queue.isAlone) {
            queue.isAlone = isAlone;
            const event = isAlone ? EventId.AdmissionNewsMissing : EventId.AdmissionNewsRestored;
            logger.logEvent(event, { service, level: roundLevel(level) });
        }
    }

    function getQueue(service: string): ServiceQueue {
        const known = queues.get(service);
        if (known !== undefined) {
            return known;
        }
        const queue: ServiceQueue = {
            waiting: [],
            valuer: createRequestValuer(drawRandom),
            longestTargetMs: 0,
            isPolled: false,
            isShort: false,
            isAlone: false,
        };
        queues.set(service, queue);
        return queue;
    }
}

function findEngine({ index, service }: RoutedExchange): EngineCostModel | undefined {
    return index.findService(service)?.engine;
}

function roundLevel(level: number): number {
    return Math.round(level * 100) / 100;
}
