import {
    type RouterHashes,
    computeColdAllowance,
    computeColdBound,
    computeRouterHashes,
} from "../../scheduling/index.js";
import { EventId, type Logger } from "../../telemetry/index.js";
import type { DirectSettings } from "../DirectSettings.js";
import type { EndpointRecord } from "../EndpointRecord.js";
import type { ColdBehavior } from "../RoutingDocument.js";
import { computeColdUntil, createColdMarks } from "./ColdMarks.js";
import { type SendTicket, createColdSends } from "./ColdSends.js";
import { ColdSource } from "./ColdSource.js";

/**
 * Knows which endpoints are cold, and keeps this router's sends to them within its share of the requests that they tolerate. All times are
 * monotonic, in milliseconds.
 */
export interface ColdEndpoints {
    /**
     * Records an entry that the directory has taken in.
     * @param previous - Entry that it replaces.
     * @param isWritten - Whether the entry was written just now, and not only listed again.
     */
    recordEntry(record: EndpointRecord, previous: EndpointRecord | undefined, isWritten: boolean, now: number): void;
    /**
     * Records an answer, the first of which after a failed connection tells that the endpoint may have started anew.
     * @param coldMs - Time for which the endpoint is still cold; undefined if the answer doesn't say.
     */
    recordAnswer(record: EndpointRecord, coldMs: number | undefined, now: number): void;
    recordUnreachable(record: EndpointRecord, now: number): void;
    /** Marks all endpoints of an availability zone as possibly cold, as its evacuation has ended. */
    markZone(zone: string, now: number): void;
    /**
     * Takes a place for a request that is sent now.
     * @returns Undefined if the endpoint is cold and this router's share is used up.
     */
    takeSend(record: EndpointRecord, now: number): SendTicket | undefined;
    /** Tells whether this router may send a request to the endpoint now. */
    hasRoom(record: EndpointRecord, now: number): boolean;
    hasCold(now: number): boolean;
    countCold(now: number): number;
    /** Estimates how many requests this router may send to the endpoints within a time. */
    estimateTurns(records: readonly EndpointRecord[], withinMs: number, now: number): number;
    /** Completes entries for another router with the time since they said that their endpoints are cold. */
    addEntryAges(records: readonly EndpointRecord[], now: number): EndpointRecord[];
}

/** Options of the cold endpoints. */
export interface ColdEndpointsOptions {
    /** Absent on platforms without cold endpoints. */
    settings: DirectSettings["cold"];
    /** Address of this router. */
    own: string;
    /** Gets what the document says of a service's cold endpoints; undefined if they are never cold. */
    getBehavior: (service: string) => ColdBehavior | undefined;
    /** Lists all known endpoints. */
    listRecords: () => readonly EndpointRecord[];
    /** Lists the addresses of the other routers; the same object until it changes. */
    listRouters: () => readonly string[];
    /** Gets the highest number of routers that any router knows, as far as this one was told. */
    getReportedRouterCount: () => number;
    /** Tells whether another router was heard from lately. */
    hearsOthers: () => boolean;
    /** Called for each request that was held back at the moment of its send. */
    onHeldBack: (service: string) => void;
    /** Reads the wall clock, with which start times of endpoints are compared, in milliseconds. */
    readWallClock: () => number;
    logger: Logger;
    /** Time at which this router started. */
    startedAt: number;
}

/** Number of routers that is assumed at least by one that can't know how many there are. */
const MIN_ASSUMED_ROUTERS = 64;
/** Time after the start in which the router may not have heard of all others, in milliseconds. */
const LEARNING_MS = 3_000;
/**
 * Time after the start in which the others may not have heard of this router and divide the bound without it, in milliseconds. A new
 * address passes between zones through the rotating samples in the gossip.
 */
const UNKNOWN_TO_OTHERS_MS = 2_000;
/** Period in which endpoints that are no longer cold are looked for, in milliseconds. */
const EXPIRY_PERIOD_MS = 100;
/** Time for which starts and failed connections are remembered, in milliseconds; longer than any endpoint is cold. */
const MAX_MARK_AGE_MS = 600_000;

/**
 * Time for which the view of the other routers is used again, in milliseconds, since the rule asks for each cold endpoint.
 */
const VIEW_PERIOD_MS = 50;

/** What is known of the other routers at a time. */
interface RouterView {
    at: number;
    routers: readonly string[];
    hashes: RouterHashes;
    unknownCount: number;
}

interface CachedAllowance {
    hashes: RouterHashes;
    unknownCount: number;
    bound: number;
    allowance: number;
}

/**
 * Creates the cold endpoints of a router that knows none. Without settings or without a rate of the service, no endpoint is cold and
 * nothing is recorded.
 * @param options - Settings and what is known of services, endpoints and routers.
 */
export function createColdEndpoints(options: ColdEndpointsOptions): ColdEndpoints {
    const { logger } = options;
    const marks = createColdMarks();
    const sends = createColdSends();
    const allowances = new Map<string, CachedAllowance>();
    /** Endpoints whose last log line says that they are cold. */
    const loggedCold = new Map<string, ColdSource>();
    const zoneMarkedAt = new Map<string, number>();
    /** Times of the last failed connections to the endpoints that have not answered since. */
    const unreachableAt = new Map<string, number>();
    let view: RouterView = {
        at: Number.NEGATIVE_INFINITY,
        routers: [],
        hashes: computeRouterHashes(options.own, []),
        unknownCount: 0,
    };
    let expiredAt = Number.NEGATIVE_INFINITY;
    return {
        recordEntry,
        recordAnswer,
        recordUnreachable,
        markZone,
        takeSend,
        hasRoom,
        hasCold(now) {
            expireMarks(now);
            return !marks.isEmpty();
        },
        countCold(now) {
            expireMarks(now);
            return loggedCold.size;
        },
        estimateTurns,
        addEntryAges,
    };

    function getBehavior(service: string): ColdBehavior | undefined {
        return options.settings === undefined ? undefined : options.getBehavior(service);
    }

    function recordEntry(
        record: EndpointRecord,
        previous: EndpointRecord | undefined,
        isWritten: boolean,
        now: number,
    ): void {
        if (options.settings === undefined) {
            return;
        }
        const hasRestarted = previous !== undefined && previous.bornAt !== record.bornAt;
        if (previous === undefined) {
            recordAppearance(record, now);
        } else if (hasRestarted) {
            markStart(record, ColdSource.Restart, now);
        }
        const isNews = isWritten || hasRestarted || previous?.coldLeftMs !== record.coldLeftMs;
        const isNamed = record.coldLeftMs !== undefined || marks.getEntryUntil(record.id) !== undefined;
        if (isNews && isNamed) {
            marks.markUntil(record, ColdSource.Entry, now + (record.coldLeftMs ?? 0) - (record.coldAgeMs ?? 0));
            logIfCold(record, ColdSource.Entry, now);
        }
    }

    function recordAppearance(record: EndpointRecord, now: number): void {
        const startedMsAgo = options.readWallClock() - record.bornAt;
        const zoneAt = zoneMarkedAt.get(record.zone);
        if (record.bornAt > 0 && startedMsAgo < MAX_MARK_AGE_MS) {
            marks.markAppearance(record, startedMsAgo, now);
            logIfCold(record, ColdSource.FirstSeen, now);
        }
        // An endpoint of the zone may have been left out of the listing while the zone was evacuated.
        if (zoneAt !== undefined && now - zoneAt < (getBehavior(record.service)?.startMs ?? 0)) {
            markStart(record, ColdSource.Zone, now);
        }
    }

    function recordAnswer(record: EndpointRecord, coldMs: number | undefined, now: number): void {
        if (unreachableAt.delete(record.id)) {
            markStart(record, ColdSource.Unreachable, now);
        }
        const isNews = coldMs !== undefined && (coldMs > 0 || marks.hasMark(record.id));
        if (isNews && getBehavior(record.service) !== undefined) {
            marks.markUntil(record, ColdSource.Answer, now + coldMs);
            logIfCold(record, ColdSource.Answer, now);
        }
    }

    function recordUnreachable(record: EndpointRecord, now: number): void {
        if (getBehavior(record.service) === undefined) {
            return;
        }
        for (const [endpoint, failedAt] of unreachableAt) {
            if (now - failedAt >= MAX_MARK_AGE_MS) {
                unreachableAt.delete(endpoint);
            }
        }
        unreachableAt.set(record.id, now);
        markStart(record, ColdSource.Unreachable, now);
    }

    function markZone(zone: string, now: number): void {
        if (options.settings === undefined) {
            return;
        }
        zoneMarkedAt.set(zone, now);
        const marked = options
            .listRecords()
            .filter(record => record.zone === zone && getBehavior(record.service) !== undefined);
        marked.forEach(record => marks.markStart(record, ColdSource.Zone, now));
        marked.forEach(({ id }) => loggedCold.set(id, loggedCold.get(id) ?? ColdSource.Zone));
        logger.logEvent(EventId.ZoneMarkedCold, { zone, endpoints: marked.length });
    }

    function markStart(record: EndpointRecord, source: ColdSource, now: number): void {
        marks.markStart(record, source, now);
        logIfCold(record, source, now);
    }

    function logIfCold({ id, service }: EndpointRecord, source: ColdSource, now: number): void {
        const behavior = getBehavior(service);
        if (behavior === undefined || loggedCold.has(id)) {
            return;
        }
        const leftMs = Math.round(marks.getColdUntil(id, behavior) - now);
        if (leftMs > 0) {
            loggedCold.set(id, source);
            logger.logEvent(EventId.EndpointCold, { endpoint: id, service, source, leftMs });
        }
    }

    function takeSend(record: EndpointRecord, now: number): SendTicket | undefined {
        if (getBehavior(record.service) === undefined) {
            return UNCOUNTED_SEND;
        }
        if (!hasRoom(record, now)) {
            options.onHeldBack(record.service);
            return undefined;
        }
        return sends.startSend(record.id, now);
    }

    function hasRoom(record: EndpointRecord, now: number): boolean {
        const behavior = getBehavior(record.service);
        if (behavior === undefined || marks.getColdUntil(record.id, behavior) <= now) {
            return true;
        }
        return sends.countSends(record.id, now) < getAllowance(record.id, behavior, now);
    }

    function getAllowance(endpoint: string, behavior: ColdBehavior, now: number): number {
        if (options.settings === undefined || now - options.startedAt < UNKNOWN_TO_OTHERS_MS) {
            return 0;
        }
        const bound = computeColdBound({ perSecond: behavior.perSecond, ...options.settings });
        const { hashes, unknownCount } = getRouterView(now);
        const cached = allowances.get(endpoint);
        const isCurrent = cached?.hashes === hashes && cached.unknownCount === unknownCount && cached.bound === bound;
        if (isCurrent) {
            return cached.allowance;
        }
        const allowance = computeColdAllowance(endpoint, bound, hashes, unknownCount);
        allowances.set(endpoint, { hashes, unknownCount, bound, allowance });
        return allowance;
    }

    function getRouterView(now: number): RouterView {
        if (now - view.at >= VIEW_PERIOD_MS) {
            const routers = options.listRouters();
            const isUncertain = now - options.startedAt < LEARNING_MS || !options.hearsOthers();
            const assumed = Math.max(options.getReportedRouterCount(), isUncertain ? MIN_ASSUMED_ROUTERS : 0);
            const hashes = routers === view.routers ? view.hashes : computeRouterHashes(options.own, routers);
            view = { at: now, routers, hashes, unknownCount: Math.max(0, assumed - routers.length - 1) };
        }
        return view;
    }

    function expireMarks(now: number): void {
        if (marks.isEmpty() || now - expiredAt < EXPIRY_PERIOD_MS) {
            return;
        }
        expiredAt = now;
        for (const [id, mark] of marks.listMarked()) {
            const behavior = getBehavior(mark.service);
            const until = behavior === undefined ? Number.NEGATIVE_INFINITY : computeColdUntil(mark, behavior);
            // The document may arrive after the endpoints, so a mark without a behaviour is kept for a time.
            if (until <= now && (behavior !== undefined || now - mark.since >= MAX_MARK_AGE_MS)) {
                endCold(id, mark.service);
            }
        }
    }

    function endCold(endpoint: string, service: string): void {
        const source = loggedCold.get(endpoint);
        if (source !== undefined && source !== ColdSource.Zone) {
            logger.logEvent(EventId.EndpointWarm, { endpoint, service, source });
        }
        loggedCold.delete(endpoint);
        allowances.delete(endpoint);
        marks.forget(endpoint);
    }

    function estimateTurns(records: readonly EndpointRecord[], withinMs: number, now: number): number {
        let turns = 0;
        for (const { id, service } of records) {
            const behavior = getBehavior(service);
            if (behavior === undefined || marks.getColdUntil(id, behavior) <= now + withinMs) {
                return Number.POSITIVE_INFINITY;
            }
            const allowance = getAllowance(id, behavior, now);
            const ending = sends.countEnding(id, withinMs, now);
            turns += Math.max(0, Math.min(allowance, allowance - sends.countSends(id, now) + ending));
        }
        return turns;
    }

    function addEntryAges(records: readonly EndpointRecord[], now: number): EndpointRecord[] {
        return records.map(record => {
            const until = marks.getEntryUntil(record.id);
            const { coldLeftMs = 0 } = record;
            if (coldLeftMs === 0) {
                return record;
            }
            // Without a mark the endpoint is warm again: as much time as it was cold for has passed.
            const coldAgeMs = until === undefined ? coldLeftMs : Math.round(now + coldLeftMs - until);
            return { ...record, coldAgeMs };
        });
    }
}

const UNCOUNTED_SEND: SendTicket = {
    recordWrite: () => undefined,
    end: () => undefined,
    release: () => undefined,
};
