import { z } from "zod";
import type { SlotDemand } from "./slotChance.js";

/**
 * What a router, or a zone's routers together, tell of the queue of a service: admission level, number of waiting requests,
 * admissions per second, and number of routers.
 */
export const levelReportSchema = z.tuple([
    z.number().min(0).max(1),
    z.number().min(0),
    z.number().min(0),
    z.number().min(0),
]);

/** A report on the queue of a service. */
export type LevelReport = z.infer<typeof levelReportSchema>;

/** What a router sees of its own queue of a service. */
export interface QueueState {
    waiting: number;
    /** Wait that the requests of the service accept at the most, in milliseconds. */
    maxWaitMs: number;
}

/**
 * Holds the admission level of each service: from 0, where all requests are kept, to 1, where none is. It follows the wait
 * of all routers together, and each router's level follows the mean, so that all refuse in the same order.
 */
export interface AdmissionLevels {
    /** Records that a waiting or new request was sent to an endpoint. */
    recordAdmission(service: string, now: number): void;
    /** Brings the level of a service up to date and gets it. */
    updateLevel(service: string, state: QueueState, now: number): number;
    /** Gets the level that was computed last. */
    getLevel(service: string): number;
    /** Lists the levels that were computed last. */
    listLevels(): { service: string; level: number }[];
    /** Sums up the waiting requests and the admissions per second of all routers that are heard, this one included. */
    sumDemand(service: string, now: number): Pick<SlotDemand, "waiting" | "perSecond">;
    /** Tells whether the last update had a report of another router. */
    hasNews(service: string, now: number): boolean;
    /**
     * Lists the reports to send, of the services in use.
     * @param isZone - Whether to add up the reports of the routers of the zone.
     */
    listReports(isZone: boolean, now: number): Record<string, LevelReport>;
    /** Replaces the reports of another router of the zone, or of another zone. */
    setReports(source: string, isZone: boolean, reports: Record<string, LevelReport>, now: number): void;
}

/** Interval at which the level is computed, in milliseconds; several times shorter than a burst's first wait. */
const UPDATE_INTERVAL_MS = 50;
/** Share of the accepted wait that requests should have to wait in a shortage: an empty queue would leave slots unused. */
const WANTED_WAIT_SHARE = 0.5;
/** Change of the level per second when the wait differs from the wanted one by its own length. */
const LEVEL_PER_SECOND = 0.3;
/** Most that a long wait moves the level, in multiples of a wait that differs by its own length. */
const MAX_ERROR = 3;
/** Rate at which a router's level approaches the mean of all, per second; slower than news spreads, so that it is stable. */
const AGREEMENT_PER_SECOND = 1;
/** Highest level; some requests are always kept, so that the end of a shortage is seen. */
const MAX_LEVEL = 0.98;
/** Time over which admissions per second are averaged, in milliseconds. */
const RATE_WINDOW_MS = 1_000;
/** Age after which the report of another router no longer counts, in milliseconds. */
const REPORT_EXPIRY_MS = 1_500;
/** Admissions per second from which a service is reported that has no level and no waiting requests. */
const MIN_REPORTED_RATE = 0.1;
/** Maximum number of services in a message. */
const MAX_REPORTS = 64;
/** Longest time that one update accounts for, in milliseconds; more than that is like a new start. */
const MAX_ELAPSED_MS = 5_000;

interface ServiceLevel {
    level: number;
    waiting: number;
    updatedAt: number;
    perSecond: number;
    countedAt: number;
}

interface ReceivedReports {
    reports: Record<string, LevelReport>;
    isZone: boolean;
    receivedAt: number;
}

/** Creates levels of 0. */
export function createAdmissionLevels(): AdmissionLevels {
    const levels = new Map<string, ServiceLevel>();
    const received = new Map<string, ReceivedReports>();
    return {
        recordAdmission,
        updateLevel,
        getLevel: service => levels.get(service)?.level ?? 0,
        listLevels: () => [...levels].map(([service, { level }]) => ({ service, level })),
        sumDemand,
        hasNews: (service, now) => listOthers(service, now, true).length > 0,
        listReports,
        setReports,
    };

    function recordAdmission(service: string, now: number): void {
        const own = getOwn(service, now);
        decayRate(own, now);
        own.perSecond += 1_000 / RATE_WINDOW_MS;
    }

    function setReports(source: string, isZone: boolean, reports: Record<string, LevelReport>, now: number): void {
        const bounded = Object.fromEntries(Object.entries(reports).slice(0, MAX_REPORTS));
        received.set(source, { reports: bounded, isZone, receivedAt: now });
        for (const [other, { receivedAt }] of received) {
            if (now - receivedAt > REPORT_EXPIRY_MS) {
                received.delete(other);
            }
        }
    }

    function updateLevel(service: string, state: QueueState, now: number): number {
        const own = getOwn(service, now);
        own.waiting = state.waiting;
        const elapsedMs = Math.min(MAX_ELAPSED_MS, now - own.updatedAt);
        if (elapsedMs < UPDATE_INTERVAL_MS) {
            return own.level;
        }
        own.updatedAt = now;
        const wantedMs = WANTED_WAIT_SHARE * state.maxWaitMs;
        const demand = sumDemand(service, now);
        const error = Math.min(MAX_ERROR, estimateWaitMs(demand) / Math.max(1, wantedMs) - 1);
        const seconds = elapsedMs / 1_000;
        const agreed = computeMeanLevel(service, own, now);
        const agreement = Math.min(1, AGREEMENT_PER_SECOND * seconds) * (agreed - own.level);
        const step = LEVEL_PER_SECOND * seconds * error;
        own.level = Math.min(MAX_LEVEL, Math.max(0, own.level + agreement + step));
        return own.level;
    }

    function computeMeanLevel(service: string, own: ServiceLevel, now: number): number {
        const others = listOthers(service, now, true);
        const routers = others.reduce((sum, [, , , count]) => sum + count, 1);
        return others.reduce((sum, [level, , , count]) => sum + level * count, own.level) / routers;
    }

    function sumDemand(service: string, now: number): Pick<SlotDemand, "waiting" | "perSecond"> {
        const own = getOwn(service, now);
        decayRate(own, now);
        const others = listOthers(service, now, true);
        const waiting = others.reduce((sum, [, count]) => sum + count, own.waiting);
        const perSecond = others.reduce((sum, [, , rate]) => sum + rate, own.perSecond);
        return { waiting, perSecond };
    }

    function listOthers(service: string, now: number, withZones: boolean): LevelReport[] {
        return [...received.values()].flatMap(({ reports, isZone, receivedAt }) => {
            const report = reports[service];
            const counts = now - receivedAt <= REPORT_EXPIRY_MS && (withZones || !isZone);
            return report === undefined || !counts ? [] : [report];
        });
    }

    function listReports(isZone: boolean, now: number): Record<string, LevelReport> {
        const inUse = [...levels].filter(([, own]) => isInUse(own, now));
        const entries = inUse.slice(0, MAX_REPORTS).map(([service, own]): [string, LevelReport] => {
            decayRate(own, now);
            const report: LevelReport = [own.level, own.waiting, own.perSecond, 1];
            const merged = isZone ? listOthers(service, now, false).reduce(mergeReports, report) : report;
            return [service, roundReport(merged)];
        });
        return Object.fromEntries(entries);
    }

    function getOwn(service: string, now: number): ServiceLevel {
        const known = levels.get(service);
        if (known !== undefined) {
            return known;
        }
        const own: ServiceLevel = { level: 0, waiting: 0, updatedAt: now, perSecond: 0, countedAt: now };
        levels.set(service, own);
        return own;
    }
}

/** Estimates the time until the requests that wait now have been admitted, in milliseconds. */
function estimateWaitMs({ waiting, perSecond }: Pick<SlotDemand, "waiting" | "perSecond">): number {
    return waiting === 0 ? 0 : (waiting * 1_000) / Math.max(Number.MIN_VALUE, perSecond);
}

function isInUse(own: ServiceLevel, now: number): boolean {
    decayRate(own, now);
    return own.level > 0 || own.waiting > 0 || own.perSecond >= MIN_REPORTED_RATE;
}

function decayRate(own: ServiceLevel, now: number): void {
    own.perSecond *= Math.exp(-(now - own.countedAt) / RATE_WINDOW_MS);
    own.countedAt = now;
}

/** Rounds to what the datagram needs. */
function roundReport([level, waiting, perSecond, routers]: LevelReport): LevelReport {
    return [Math.round(level * 1_000) / 1_000, waiting, Math.round(perSecond * 10) / 10, routers];
}

function mergeReports(left: LevelReport, right: LevelReport): LevelReport {
    const routers = left[3] + right[3];
    const level = routers === 0 ? left[0] : (left[0] * left[3] + right[0] * right[3]) / routers;
    return [level, left[1] + right[1], left[2] + right[2], routers];
}
