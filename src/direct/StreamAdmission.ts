import type { ConcurrencyLimiter } from "../scheduling/index.js";
import { computeHashFraction } from "../utils/digest.js";
import { readMonotonicMs } from "../utils/time.js";
import { type RoutedExchange, getUrgency } from "./DirectExchange.js";
import type { EndpointDirectory } from "./EndpointDirectory.js";
import type { LoadTracker } from "./LoadTracker.js";

/** Queues streams while the load of a service's endpoints is limited, and admits the most urgent ones first. */
export interface StreamAdmission {
    /**
     * Waits until an endpoint has capacity for a request.
     * @returns False if the request's target for the first event could no longer be met, or its caller disconnected.
     */
    waitForCapacity(exchange: RoutedExchange): Promise<boolean>;
    /** Records the time from the send to the first event, in milliseconds. */
    recordFirstEvent(service: string, firstMs: number): void;
    /** Records the end of a request, which may free capacity for a queued one. */
    recordRequestEnd(service: string): void;
    /** Computes the share of a service's slots that are in use; requests queued at an endpoint are not counted. */
    computeUtilization(service: string): number;
}

/** Options of the admission. */
export interface StreamAdmissionOptions {
    directory: EndpointDirectory;
    load: LoadTracker;
    pace: ConcurrencyLimiter;
}

interface QueuedRequest {
    exchange: RoutedExchange;
    /** Lower values are more urgent. */
    urgency: number;
    queuedAt: number;
    finish: (isAdmitted: boolean) => void;
}

/** Interval at which load reported by other routers is checked, in milliseconds. */
const LOAD_POLL_INTERVAL_MS = 25;
/** One in this many admissions goes to the oldest request, so that the least urgent ones are not starved. */
const ADMISSIONS_PER_OLDEST = 5;
/** Smoothing factor of the average time to the first event. */
const FIRST_EVENT_SMOOTHING = 0.05;

/**
 * Creates the admission of a router.
 * @param options - Endpoints, their load and the limit on it.
 */
export function createStreamAdmission(options: StreamAdmissionOptions): StreamAdmission {
    const { directory, load, pace } = options;
    const queues = new Map<string, QueuedRequest[]>();
    const polledServices = new Set<string>();
    const averageFirstEventMs = new Map<string, number>();
    let admissions = 0;
    return { waitForCapacity, recordFirstEvent, recordRequestEnd: admitQueued, computeUtilization };

    function waitForCapacity(exchange: RoutedExchange): Promise<boolean> {
        const { service, route } = exchange;
        const hasFreeSlot = (queues.get(service)?.length ?? 0) === 0 && hasCapacity(service);
        if (route.maxPauseMs === 0 || hasFreeSlot) {
            return Promise.resolve(true);
        }
        const now = readMonotonicMs();
        const leftMs = Math.min(
            exchange.deadlineAt - now,
            Math.max(0, route.targetMs - getAverageFirstEventMs(service)),
        );
        return new Promise(resolve => {
            const entry: QueuedRequest = { exchange, urgency: getUrgency(exchange), queuedAt: now, finish };
            const timer = setTimeout(() => finish(false), leftMs);
            exchange.abortController.signal.addEventListener("abort", () => finish(false), { once: true });
            queues.set(service, [...(queues.get(service) ?? []), entry]);
            startPolling(service);

            function finish(isAdmitted: boolean): void {
                clearTimeout(timer);
                queues.set(
                    service,
                    (queues.get(service) ?? []).filter(other => other !== entry),
                );
                resolve(isAdmitted);
            }
        });
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
        const queued = queues.get(service) ?? [];
        if (queued.length === 0 || !hasCapacity(service)) {
            return;
        }
        chooseNext(queued)?.finish(true);
        // The request counts as load once it is sent; only then is the next one checked.
        setImmediate(() => admitQueued(service));
    }

    function chooseNext(queued: readonly QueuedRequest[]): QueuedRequest | undefined {
        admissions++;
        const isOldestNext = admissions % ADMISSIONS_PER_OLDEST === 0;
        const order = (left: QueuedRequest, right: QueuedRequest): number =>
            isOldestNext
                ? left.queuedAt - right.queuedAt
                : left.urgency - right.urgency || left.queuedAt - right.queuedAt;
        return [...queued].sort(order)[0];
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
