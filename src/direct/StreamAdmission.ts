import type { PaceControl } from "../scheduling/index.js";
import { computeHashFraction } from "../utils/digest.js";
import { readMonotonicMs } from "../utils/time.js";
import { type RoutedExchange, getUrgency } from "./DirectExchange.js";
import type { EndpointDirectory } from "./EndpointDirectory.js";
import type { LoadTracker } from "./LoadTracker.js";

/** Lets streams wait for room at the endpoints while these are limited, the most urgent ones first. */
export interface StreamAdmission {
    /**
     * Waits until an endpoint has room for a request.
     * @returns False if none had in the time in which the answer is worth most.
     */
    waitForRoom(exchange: RoutedExchange): Promise<boolean>;
    /** Notes the time from the send to the first event, in milliseconds. */
    recordFirst(service: string, firstMs: number): void;
    /** A request has ended, so there may be room. */
    recordEnd(service: string): void;
    /** Computes the part of the slots of a service that is in use; requests that wait at an endpoint don't count. */
    computeUsedPart(service: string): number;
}

/** Options of the admission. */
export interface StreamAdmissionOptions {
    directory: EndpointDirectory;
    load: LoadTracker;
    pace: PaceControl;
}

interface Waiter {
    exchange: RoutedExchange;
    urgency: number;
    since: number;
    finish: (hasRoom: boolean) => void;
}

/** Period in which the load that other routers tell is looked at, in milliseconds. */
const LOOK_MS = 25;
/** Of so many requests one is let in by its age alone, so that the least urgent are not starved. */
const TURNS_BY_AGE = 5;
/** Weight of one stream in the usual time to the first event. */
const SMOOTHING = 0.05;

/**
 * Creates the admission of a router.
 * @param options - Endpoints, their load and its limit.
 */
export function createStreamAdmission(options: StreamAdmissionOptions): StreamAdmission {
    const { directory, load, pace } = options;
    const waiting = new Map<string, Waiter[]>();
    const looking = new Set<string>();
    const firsts = new Map<string, number>();
    let turns = 0;
    return { waitForRoom, recordFirst, recordEnd: admitWaiting, computeUsedPart };

    function waitForRoom(exchange: RoutedExchange): Promise<boolean> {
        const { service, route } = exchange;
        const isFree = (waiting.get(service)?.length ?? 0) === 0 && hasRoom(service);
        if (route.maxPauseMs === 0 || isFree) {
            return Promise.resolve(true);
        }
        const now = readMonotonicMs();
        const leftMs = Math.min(exchange.deadlineAt - now, Math.max(0, route.targetMs - getUsualFirstMs(service)));
        return new Promise(resolve => {
            const waiter: Waiter = { exchange, urgency: getUrgency(exchange), since: now, finish };
            const timer = setTimeout(() => finish(false), leftMs);
            exchange.ending.signal.addEventListener("abort", () => finish(false), { once: true });
            waiting.set(service, [...(waiting.get(service) ?? []), waiter]);
            startLooking(service);

            function finish(isAdmitted: boolean): void {
                clearTimeout(timer);
                waiting.set(
                    service,
                    (waiting.get(service) ?? []).filter(other => other !== waiter),
                );
                resolve(isAdmitted);
            }
        });
    }

    function startLooking(service: string): void {
        if (looking.has(service)) {
            return;
        }
        const timer = setInterval(() => {
            admitWaiting(service);
            if ((waiting.get(service)?.length ?? 0) === 0) {
                clearInterval(timer);
                looking.delete(service);
            }
        }, LOOK_MS);
        looking.add(service);
    }

    function admitWaiting(service: string): void {
        const waiters = waiting.get(service) ?? [];
        if (waiters.length === 0 || !hasRoom(service)) {
            return;
        }
        chooseNext(waiters)?.finish(true);
        // The request counts as load once it is sent; then the next one may go.
        setImmediate(() => admitWaiting(service));
    }

    function chooseNext(waiters: readonly Waiter[]): Waiter | undefined {
        turns++;
        const isByAge = turns % TURNS_BY_AGE === 0;
        const order = (left: Waiter, right: Waiter): number =>
            isByAge ? left.since - right.since : left.urgency - right.urgency || left.since - right.since;
        return [...waiters].sort(order)[0];
    }

    function recordFirst(service: string, firstMs: number): void {
        firsts.set(service, getUsualFirstMs(service) * (1 - SMOOTHING) + firstMs * SMOOTHING);
    }

    function getUsualFirstMs(service: string): number {
        return firsts.get(service) ?? 0;
    }

    function computeUsedPart(service: string): number {
        const now = readMonotonicMs();
        const endpoints = directory.listServing(service);
        const slots = endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0);
        const used = endpoints.reduce((sum, { id, slots: most }) => sum + Math.min(most, load.getLoad(id, now)), 0);
        return used / Math.max(1, slots);
    }

    function hasRoom(service: string): boolean {
        const now = readMonotonicMs();
        const part = pace.getAllowedPart(service, now);
        return (
            part === undefined ||
            directory.listServing(service).some(endpoint => {
                // Endpoints round a broken number differently, so that their mean is the allowed one.
                const limit = Math.floor(endpoint.slots * part + computeHashFraction(endpoint.id));
                return load.getLoad(endpoint.id, now) < limit;
            })
        );
    }
}
