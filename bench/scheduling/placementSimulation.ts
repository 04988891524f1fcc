import { createEndpointHealth } from "../../src/direct/EndpointHealth.js";
import type { EndpointRecord } from "../../src/direct/EndpointRecord.js";
import { type LoadTracker, createLoadTracker } from "../../src/direct/LoadTracker.js";
import { chooseEndpoint } from "../../src/direct/chooseEndpoint.js";
import { buildList } from "../../src/utils/list.js";
import { createEventQueue } from "./EventQueue.js";
import { type Random, createRandom } from "./Random.js";

/** Fleet and load of a simulation. */
export interface PlacementLoad {
    seed: number;
    routers: number;
    endpoints: number;
    zones: number;
    /** Requests that an endpoint processes concurrently. */
    slots: number;
    /** Mean share of all slots that is in use. */
    occupancy: number;
    /** Mean duration of a request in its slot, in milliseconds. */
    serviceMs: number;
    /** Period in which routers of one zone report their load to each other, in milliseconds. */
    loadReportMs: number;
    /** Periods after which the load is reported to routers of other zones too. */
    otherZonePeriods: number;
    durationMs: number;
}

/** Results of a simulation. */
export interface PlacementResult {
    requests: number;
    /** Share of the requests that waited for a slot. */
    waitedPart: number;
    /** Mean wait of all requests, in milliseconds. */
    meanWaitMs: number;
    /** Share of the requests that were sent to another zone. */
    otherZonePart: number;
}

interface Router {
    address: string;
    zone: string;
    load: LoadTracker;
}

interface Endpoint {
    record: EndpointRecord;
    running: number;
    waiting: (() => void)[];
}

/**
 * Simulates Poisson arrivals at routers that choose endpoints by the load that they report to each other.
 * @param load - Fleet and load.
 */
export function runPlacementSimulation(load: PlacementLoad): PlacementResult {
    const random: Random = createRandom(load.seed);
    const queue = createEventQueue();
    const health = createEndpointHealth();
    const endpoints = new Map(buildList(load.endpoints, index => createEndpoint(index, load)));
    const records = [...endpoints.values()].map(({ record }) => record);
    const routers = buildList(load.routers, index => createRouter(index, load));
    const result = { requests: 0, waited: 0, waitMs: 0, otherZone: 0 };
    const rate = (load.occupancy * load.endpoints * load.slots) / load.serviceMs;
    routers.forEach(router => queue.schedule(random.draw() * load.loadReportMs, () => broadcastLoad(router, 0)));
    queue.schedule(0, handleArrival);
    queue.runUntil(load.durationMs);
    return {
        requests: result.requests,
        waitedPart: result.waited / result.requests,
        meanWaitMs: result.waitMs / result.requests,
        otherZonePart: result.otherZone / result.requests,
    };

    function broadcastLoad(router: Router, round: number): void {
        const counts = router.load.getLocalCounts();
        const isForAll = round % load.otherZonePeriods === 0;
        for (const other of routers.filter(candidate => candidate !== router)) {
            if (isForAll || other.zone === router.zone) {
                other.load.setPeerLoad(router.address, counts, queue.getNow());
            }
        }
        queue.schedule(queue.getNow() + load.loadReportMs, () => broadcastLoad(router, round + 1));
    }

    function handleArrival(): void {
        queue.schedule(queue.getNow() + random.drawExponential(1 / rate), handleArrival);
        const router = routers[Math.floor(random.draw() * routers.length)];
        const record =
            router &&
            chooseEndpoint(records, {
                host: router.address,
                zone: router.zone,
                load: router.load,
                health,
                isDoubtful: () => false,
                limiter: { getUsedShare: () => 0 },
                now: queue.getNow(),
                tried: new Set(),
            });
        if (router !== undefined && record !== undefined) {
            runRequest(router, endpoints.get(record.id) as Endpoint);
        }
    }

    function runRequest(router: Router, endpoint: Endpoint): void {
        const sentAt = queue.getNow();
        result.requests++;
        result.otherZone += endpoint.record.zone === router.zone ? 0 : 1;
        router.load.startRequest(endpoint.record.id);
        if (endpoint.running < load.slots) {
            begin();
        } else {
            result.waited++;
            endpoint.waiting.push(begin);
        }

        function begin(): void {
            endpoint.running++;
            result.waitMs += queue.getNow() - sentAt;
            queue.schedule(queue.getNow() + random.drawExponential(load.serviceMs), end);
        }

        function end(): void {
            endpoint.running--;
            router.load.endRequest(endpoint.record.id);
            endpoint.waiting.shift()?.();
        }
    }
}

function createRouter(index: number, load: PlacementLoad): Router {
    return { address: `10.0.0.${index}`, zone: `z${index % load.zones}`, load: createLoadTracker() };
}

function createEndpoint(index: number, load: PlacementLoad): [string, Endpoint] {
    const id = `i-${index}`;
    const zone = `z${index % load.zones}`;
    const record = { id, service: "app", host: "", port: 0, zone, slots: load.slots, isLeaving: false, bornAt: 1 };
    return [id, { record: { ...record, group: undefined }, running: 0, waiting: [] }];
}
