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
import type { AdmissionStep } from "./AdmissionStep.js";
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
    /** Plans the first send of a request like `waitForEndpoints`, without counting or holding it. */
    previewStep(exchange: RoutedExchange): AdmissionStep;
    /** Records that a request ended at an endpoint; its slot goes to the next one that waits here. */
    recordRequestEnd(service: string, endpoint: string): void;
    /** What routers tell each other of their queues. */
    levels: AdmissionLevels;
}

/** Options of the admission by cost. */
export interface CostAdmissionOptions {
    load: Pick<LoadTracker, "getLoad">;
    pace: Pick<ConcurrencyLimiter, "getAllowedShare">;
    limiter: Pick<SharedRateLimiter, "drawOpen" | "previewOpen">;
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

/** What becomes of a request, with the decision that refuses it. */
type CostStep = { open: EndpointRecord[] } | { waitMs: number } | { refusal: AdmissionDecision };

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
        previewStep,
        recordRequestEnd,
        levels,
    };

    function waitForEndpoints(exchange: RoutedExchange): Promise<readonly EndpointRecord[] | undefined> {
        const { service, index } = exchange;
        const now = readMonotonicMs();
        const queue = getQueue(service);
        queue.longestTargetMs = findLongestTarget(index.document, service);
        const value = buildQueuedValue(exchange, queue.valuer.computeValue, now);
        const isAbove = value.position > 1 - updateLevel(service, queue, now);
        const step = planStep(exchange, queue, isAbove, endpoints => limiter.drawOpen(endpoints, service, 1, now), now);
        if ("open" in step) {
            levels.recordAdmission(service, now);
            return Promise.resolve(step.open);
        }
        if ("refusal" in step) {
            recordRefusal(exchange, step.refusal);
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => addWaiting(exchange, queue, value, step.waitMs, resolve));
    }

    function previewStep(exchange: RoutedExchange): AdmissionStep {
        const { service, index } = exchange;
        const now = readMonotonicMs();
        const queue = queues.get(service) ?? createQueue();
        const longestTargetMs = findLongestTarget(index.document, service);
        const { position } = buildQueuedValue(exchange, queue.valuer.previewValue, now);
        const isAbove = position > 1 - levels.getLevel(service);
        const step = planStep(
            exchange,
            { ...queue, longestTargetMs },
            isAbove,
            endpoints => limiter.previewOpen(endpoints, service, now),
            now,
        );
        return "refusal" in step ? { ...step, delayMs: drawReturnDelay(exchange) } : step;
    }

    function planStep(
        exchange: RoutedExchange,
        queue: ServiceQueue,
        isAbove: boolean,
        drawOpen: (endpoints: readonly EndpointRecord[]) => EndpointRecord[],
        now: number,
    ): CostStep {
        const slots = findFreeSlots(exchange, now);
        const isTurn = queue.waiting.length === 0 && drawRandom() < computeChance(exchange.service, slots.count, now);
        const open = isTurn ? drawOpen(slots.endpoints) : [];
        if (open.length > 0 || !slots.hasCandidates) {
            return { open };
        }
        const waitMs = computeLongestWait(exchange, queue, now);
        const refusal = findRefusal(isAbove && slots.usedShare >= MIN_USED_SHARE, waitMs);
        return refusal === undefined ? { waitMs } : { refusal };
    }

    function buildQueuedValue(
        exchange: RoutedExchange,
        computeValue: RequestValuer["computeValue"],
        now: number,
    ): QueuedValue {
        const { service, demand, route } = exchange;
        const engine = findEngine(exchange) as EngineCostModel;
        const { urgency, tokens } = demand;
        const isReturned = demand.waitedBeforeMs > 0;
        const value = computeValue({ urgency, workMs: computeSlotWork(engine, tokens), isReturned });
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
        exchange.admissionDelayMs = drawReturnDelay(exchange);
        onDecision(exchange.service, decision);
    }

    function drawReturnDelay({ deadlineAt }: RoutedExchange): number {
        return computeReturnDelay(deadlineAt - readMonotonicMs(), drawRandom()) ?? 0;
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
        const queue = createQueue();
        queues.set(service, queue);
        return queue;
    }

    function createQueue(): ServiceQueue {
        return {
            waiting: [],
            valuer: createRequestValuer(drawRandom),
            longestTargetMs: 0,
            isPolled: false,
            isShort: false,
            isAlone: false,
        };
    }
}

function findEngine({ index, service }: RoutedExchange): EngineCostModel | undefined {
    return index.findService(service)?.engine;
}

function roundLevel(level: number): number {
    return Math.round(level * 100) / 100;
}
