import { type ConcurrencyLimiter, type SharedRateLimiter, computeTurnChance } from "../scheduling/index.js";
import { computeHashFraction } from "../utils/digest.js";
import { readMonotonicMs } from "../utils/time.js";
import { type RoutedExchange, getUrgency } from "./DirectExchange.js";
import { type EndpointCandidates, ExclusionReason, type RequestDemand } from "./candidates/index.js";
import type { ColdEndpoints } from "./cold/index.js";
import { type AdmissionStep, type CostAdmission, isBlockedForNow } from "./admission/index.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { EndpointDirectory } from "./EndpointDirectory.js";
import type { LoadTracker } from "./LoadTracker.js";

/**
 * Queues requests while the load of a service's endpoints is limited, or while all endpoints are at the rates that they have
 * named or that cold ones tolerate, and admits the most urgent ones first.
 */
export interface RequestAdmission {
    /**
     * Waits until an endpoint has capacity for a request.
     * @param tried - Endpoints that don't count.
     * @param isFirst - Whether the request waits for its first send; only this one waits for the load of the endpoints.
     * @returns Endpoints that may be chosen now, none if none is known; undefined if the request's target can't be met, as
     * is known at once or after a wait, or if its caller disconnected.
     */
    waitForEndpoints(
        exchange: RoutedExchange,
        tried: ReadonlySet<string>,
        isFirst: boolean,
    ): Promise<readonly EndpointRecord[] | undefined>;
    /** Plans the first send of a request like `waitForEndpoints`, without counting or holding it. */
    previewStep(exchange: RoutedExchange): AdmissionStep;
    /** Records the time from the send to the first event, in milliseconds. */
    recordFirstEvent(service: string, firstMs: number): void;
    /** Records the end of a request at an endpoint, which may free capacity for a queued one. */
    recordRequestEnd(service: string, endpoint: string): void;
    /** Computes the share of a service's slots that are in use; requests queued at an endpoint are not counted. */
    computeUtilization(service: string): number;
    /** Admission by cost; undefined if the settings don't call for it. */
    byCost: CostAdmission | undefined;
}

/** Options of the admission. */
export interface RequestAdmissionOptions {
    /** Endpoints whose slots count. */
    directory: Pick<EndpointDirectory, "listServing">;
    load: LoadTracker;
    pace: ConcurrencyLimiter;
    limiter: SharedRateLimiter;
    candidates: EndpointCandidates;
    cold: Pick<ColdEndpoints, "estimateTurns" | "hasCold">;
    /**
     * Creates the admission by cost; absent if the settings don't call for it.
     * @param getFirstEventMs - Gets the average time from a send to the first event of a service, in milliseconds.
     */
    createByCost?: ((getFirstEventMs: (service: string) => number) => CostAdmission) | undefined;
}

interface QueuedRequest {
    exchange: RoutedExchange;
    /** Lower values are more urgent. */
    urgency: number;
    queuedAt: number;
    tried: ReadonlySet<string>;
    needsFreeSlot: boolean;
    finish: (open: readonly EndpointRecord[] | undefined) => void;
}

const NONE_TRIED: ReadonlySet<string> = new Set();
/** Interval at which load reported by other routers is checked, in milliseconds. */
const LOAD_POLL_INTERVAL_MS = 25;
/** One in this many admissions goes to the oldest request, so that the least urgent ones are not starved. */
const ADMISSIONS_PER_OLDEST = 5;
/** Maximum number of queued requests that are considered for a turn, which bounds the time that it takes. */
const MAX_CONSIDERED = 8;
/** Chance of a turn in time below which a request is refused at once instead of waiting in vain. */
const MIN_TURN_CHANCE = 0.1;
/** Smoothing factor of the average time to the first event. */
const FIRST_EVENT_SMOOTHING = 0.05;

/**
 * Creates the admission of a router.
 * @param options - Endpoints, their load and the limit on it.
 */
export function createRequestAdmission(options: RequestAdmissionOptions): RequestAdmission {
    const { directory, load, pace, limiter, candidates, cold } = options;
    const queues = new Map<string, QueuedRequest[]>();
    const polledServices = new Set<string>();
    const averageFirstEventMs = new Map<string, number>();
    let admissions = 0;
    const byCost = options.createByCost?.(getAverageFirstEventMs);
    return { waitForEndpoints, previewStep, recordFirstEvent, recordRequestEnd, computeUtilization, byCost };

    function waitForEndpoints(
        exchange: RoutedExchange,
        tried: ReadonlySet<string>,
        isFirst: boolean,
    ): Promise<readonly EndpointRecord[] | undefined> {
        const { service } = exchange;
        const now = readMonotonicMs();
        const untried = listUntried(service, exchange.demand, tried, now);
        if (isFirst && untried.length > 0 && byCost?.isActive(exchange)) {
            return byCost.waitForEndpoints(exchange);
        }
        const drawOpen = (): EndpointRecord[] => limiter.drawOpen(untried, service, 1, now);
        const step = planStep(exchange, tried, isFirst, { untried, drawOpen, now });
        if ("open" in step) {
            return Promise.resolve(step.open);
        }
        if ("refusal" in step) {
            return Promise.resolve(undefined);
        }
        return addQueued(exchange, tried, isFirst, step.waitMs);
    }

    function previewStep(exchange: RoutedExchange): AdmissionStep {
        const { service, demand } = exchange;
        const now = readMonotonicMs();
        const untried = listUntried(service, demand, NONE_TRIED, now);
        if (untried.length > 0 && byCost?.isActive(exchange)) {
            return byCost.previewStep(exchange);
        }
        const drawOpen = (): EndpointRecord[] => limiter.previewOpen(untried, service, now);
        return planStep(exchange, NONE_TRIED, true, { untried, drawOpen, now });
    }

    function planStep(
        exchange: RoutedExchange,
        tried: ReadonlySet<string>,
        isFirst: boolean,
        { untried, drawOpen, now }: { untried: EndpointRecord[]; drawOpen: () => EndpointRecord[]; now: number },
    ): AdmissionStep {
        const { service, route } = exchange;
        const needsFreeSlot = isFirst && route.maxPauseMs > 0;
        const hasFreeSlot = (queues.get(service)?.length ?? 0) === 0 && hasCapacity(service);
        if (untried.length === 0 && !candidates.hasProspect(service, exchange.demand, now)) {
            return { open: [] };
        }
        if (!needsFreeSlot || hasFreeSlot) {
            const open = drawOpen();
            if (open.length > 0 || !hasWaitable(service, exchange.demand, tried, untried, now)) {
                return { open };
            }
        }
        const leftMs = Math.min(
            exchange.deadlineAt - now,
            Math.max(0, route.targetMs - getAverageFirstEventMs(service)),
        );
        const urgency = getUrgency(exchange);
        const heldBack = listHeldBack(service, exchange.demand, tried, now);
        if (!hasTurnInTime(service, untried, heldBack, urgency, leftMs)) {
            return { refusal: undefined, delayMs: undefined };
        }
        return { waitMs: leftMs };
    }

    function addQueued(
        exchange: RoutedExchange,
        tried: ReadonlySet<string>,
        isFirst: boolean,
        waitMs: number,
    ): Promise<readonly EndpointRecord[] | undefined> {
        const { service, route } = exchange;
        const needsFreeSlot = isFirst && route.maxPauseMs > 0;
        const urgency = getUrgency(exchange);
        const now = readMonotonicMs();
        return new Promise(resolve => {
            const entry: QueuedRequest = { exchange, urgency, queuedAt: now, tried, needsFreeSlot, finish };
            const timer = setTimeout(() => finish(undefined), waitMs);
            exchange.abortController.signal.addEventListener("abort", () => finish(undefined), { once: true });
            queues.set(service, [...(queues.get(service) ?? []), entry]);
            startPolling(service);

            function finish(open: readonly EndpointRecord[] | undefined): void {
                clearTimeout(timer);
                queues.set(
                    service,
                    (queues.get(service) ?? []).filter(other => other !== entry),
                );
                resolve(open);
            }
        });
    }

    function hasTurnInTime(
        service: string,
        untried: readonly EndpointRecord[],
        heldBack: readonly EndpointRecord[],
        urgency: number,
        leftMs: number,
    ): boolean {
        const now = readMonotonicMs();
        const ahead = (queues.get(service) ?? []).filter(other => other.urgency <= urgency).length;
        const turns = limiter.estimateTurns(untried, service, leftMs, now) + cold.estimateTurns(heldBack, leftMs, now);
        return untried.length + heldBack.length === 0 || computeTurnChance(turns, ahead) >= MIN_TURN_CHANCE;
    }

    /** Lists the endpoints of a service that accept requests, without those that were tried. */
    function listUntried(
        service: string,
        demand: RequestDemand,
        tried: ReadonlySet<string>,
        now: number,
    ): EndpointRecord[] {
        return candidates.listCandidates(service, demand, now).filter(({ id }) => !tried.has(id));
    }

    /** Lists the endpoints that a request may be sent to once they have room for it. */
    function listHeldBack(
        service: string,
        demand: RequestDemand,
        tried: ReadonlySet<string>,
        now: number,
    ): EndpointRecord[] {
        if (!cold.hasCold(now)) {
            return [];
        }
        return candidates
            .assessEndpoints(service, demand, now)
            .filter(({ reasons }) => reasons.length === 1 && reasons[0] === ExclusionReason.Cold)
            .map(({ endpoint }) => endpoint)
            .filter(({ id }) => !tried.has(id));
    }

    /** Tells whether an endpoint may become open to a request that finds none open now. */
    function hasWaitable(
        service: string,
        demand: RequestDemand,
        tried: ReadonlySet<string>,
        untried: readonly EndpointRecord[],
        now: number,
    ): boolean {
        return untried.length > 0 || isBlockedForNow(candidates, service, demand, tried, now);
    }

    function startPolling(service: string): void {
        if (polledServices.has(service)) {
            return;
        }
        const timer = setInterval(() => {
            admitQueued(service);
            if ((queues.get(service)?.length ?? 0) === 0) {
                clearInterval(timer);
                polledServices.delete(service);
            }
        }, LOAD_POLL_INTERVAL_MS);
        polledServices.add(service);
    }

    function admitQueued(service: string): void {
        finishHopeless(service);
        const hasFreeSlot = hasCapacity(service);
        const queued = (queues.get(service) ?? []).filter(({ needsFreeSlot }) => hasFreeSlot || !needsFreeSlot);
        const next = queued.length === 0 ? undefined : chooseNext(service, queued);
        if (next === undefined) {
            return;
        }
        const now = readMonotonicMs();
        const untried = listUntried(service, next.exchange.demand, next.tried, now);
        const open = limiter.drawOpen(untried, service, queued.length, now);
        if (open.length === 0 && hasWaitable(service, next.exchange.demand, next.tried, untried, now)) {
            return;
        }
        next.finish(open);
        // The request counts as load once it is sent; only then is the next one checked.
        setImmediate(() => admitQueued(service));
    }

    /** Ends the wait of requests that an evacuation has left without endpoints. */
    function finishHopeless(service: string): void {
        const now = readMonotonicMs();
        (queues.get(service) ?? [])
            .filter(({ exchange }) => !candidates.hasProspect(service, exchange.demand, now))
            .forEach(({ finish }) => finish([]));
    }

    /** A request that finds no endpoint, as it waits for memory, doesn't hold up those behind it that find one. */
    function chooseNext(service: string, queued: readonly QueuedRequest[]): QueuedRequest | undefined {
        admissions++;
        const isOldestNext = admissions % ADMISSIONS_PER_OLDEST === 0;
        const order = (left: QueuedRequest, right: QueuedRequest): number =>
            isOldestNext
                ? left.queuedAt - right.queuedAt
                : left.urgency - right.urgency || left.queuedAt - right.queuedAt;
        const now = readMonotonicMs();
        const first = [...queued].sort(order).slice(0, MAX_CONSIDERED);
        return (
            first.find(({ exchange, tried }) => listUntried(service, exchange.demand, tried, now).length > 0) ??
            first[0]
        );
    }

    function recordRequestEnd(service: string, endpoint: string): void {
        admitQueued(service);
        byCost?.recordRequestEnd(service, endpoint);
    }

    function recordFirstEvent(service: string, firstMs: number): void {
        averageFirstEventMs.set(
            service,
            getAverageFirstEventMs(service) * (1 - FIRST_EVENT_SMOOTHING) + firstMs * FIRST_EVENT_SMOOTHING,
        );
    }

    function getAverageFirstEventMs(service: string): number {
        return averageFirstEventMs.get(service) ?? 0;
    }

    function computeUtilization(service: string): number {
        const now = readMonotonicMs();
        const endpoints = directory.listServing(service);
        const slots = endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0);
        const used = endpoints.reduce(
            (sum, { id, slots: capacity }) => sum + Math.min(capacity, load.getLoad(id, now)),
            0,
        );
        return used / Math.max(1, slots);
    }

    function hasCapacity(service: string): boolean {
        const now = readMonotonicMs();
        const allowedShare = pace.getAllowedShare(service, now);
        return (
            allowedShare === undefined ||
            directory.listServing(service).some(endpoint => {
                // Each endpoint rounds a fractional limit by its own offset, so that the mean over the endpoints is exact.
                const limit = Math.floor(endpoint.slots * allowedShare + computeHashFraction(endpoint.id));
                return load.getLoad(endpoint.id, now) < limit;
            })
        );
    }
}
