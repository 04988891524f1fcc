import { type OutageDetector, createOutageDetector } from "./OutageDetector.js";

/** An outage in messages: service, time since it began, and time since it ended (-1 while it lasts), in milliseconds. */
export type OutageReport = [service: string, beganAgoMs: number, endedAgoMs: number];

/** Who told of the beginning or the end of an outage. */
export enum OutageSource {
    Own = "own",
    Peer = "peer",
}

/** A change of the state of a service. */
export interface OutageChange {
    service: string;
    source: OutageSource;
    isOut: boolean;
    /** Time for which the outage has lasted, in milliseconds. */
    lastedMs: number;
    /** Nothing but the silence of all streams shows the outage so far. */
    isSuspected: boolean;
    /** The outage was forgotten: nothing showed any more that it lasts, or it was only suspected. */
    hasLapsed: boolean;
}

/** Knowledge of the outages of services: when they began and ended, from the sends of this router and from other routers. */
export interface OutageHistory {
    /** Detector of this router, whose records also reach the history. */
    readonly detector: OutageDetector;
    /**
     * Records that an endpoint broke off a request that it had accepted.
     * @param silentFrom - Time of the last event of the request, from which the endpoint had stopped.
     */
    recordLoss(service: string, endpoint: string, silentFrom: number, now: number): void;
    /** Records that all streams of a service are silent, as when a group stalls before it breaks them off. */
    recordStall(service: string, silentFrom: number, now: number): void;
    /** Records that a stream of a service goes on, which ends an outage that was only suspected. */
    recordProgress(service: string, now: number): void;
    /** Tells whether an outage is suspected only because all streams are silent. */
    isStalled(service: string): boolean;
    /** Gets the monotonic time at which the outage in progress began, in milliseconds; undefined if there is none. */
    getBegan(service: string, now: number): number | undefined;
    /** Gets the monotonic time at which the last outage ended, in milliseconds; undefined if none did. */
    getEnded(service: string): number | undefined;
    /** Lists the durations of earlier outages, in milliseconds. */
    listDurations(service: string): number[];
    /** Lists the outages to tell to other routers. */
    listReports(now: number): OutageReport[];
    /** Merges what another router tells. */
    mergeReports(peer: string, reports: readonly OutageReport[], now: number): void;
    /** Counts the outages that have begun. */
    countOutages(): number;
    /** Gets the duration of the last outage that ended, in milliseconds; 0 if none did. */
    getLastDuration(): number;
}

/** Options of the history. */
export interface OutageHistoryOptions {
    /** Reads the monotonic clock, in milliseconds. */
    readNow: () => number;
    onChange: (change: OutageChange) => void;
}

/**
 * Evidence that is an outage if it contains a broken stream and comes from two endpoints: two broken streams, or one and a
 * rejection. Ranks of a group stop together, and a full endpoint rejects requests but breaks none.
 */
const LOSS_POINTS = 2;
const MIN_POINTS = 3;
const MIN_LOSS_ENDPOINTS = 2;
/** Time for which an outage is suspected because streams are silent, in milliseconds: a stalled group breaks them off by then. */
const MAX_STALL_MS = 2_000;
/** Time for which a group stalls before it rejects requests, in milliseconds; an outage is counted from the stall on. */
const USUAL_STALL_MS = 1_500;
/** Time without a rejection or a report after which an outage is forgotten, in milliseconds; probes are more frequent. */
const EVIDENCE_EXPIRY_MS = 3_000;
/** Number of other routers whose reports are believed without a rejection seen by this router. */
const MIN_REPORTERS = 2;
/** Age up to which a rejection of this router, or the report of another, counts as evidence, in milliseconds. */
const EVIDENCE_AGE_MS = 1_500;
/** Routers see the same outage begin, and end, within this time of each other, in milliseconds. */
const SAME_OUTAGE_MS = 1_000;
/** Outages that are remembered for each service. */
const MAX_PAST = 6;
/** Outages older than this say nothing of the next one, in milliseconds. */
const PAST_EXPIRY_MS = 3_600_000;
/** Time for which each message tells that an outage has ended, in milliseconds; covers routers that lose some messages. */
const TELL_END_MS = 10_000;
/**
 * Earlier outages are told during the first part of each period only, in milliseconds: they matter only to routers that
 * have started since, and would otherwise be repeated several times a second.
 */
const TELL_PAST_PERIOD_MS = 5_000;
const TELL_PAST_MS = 500;
/** Bound of the entries in a message. */
const MAX_REPORTS = 64;

interface PastOutage {
    beganAt: number;
    endedAt: number;
}

interface ServiceState {
    beganAt: number | undefined;
    evidenceAt: number;
    rejectedAt: number;
    acceptedAt: number;
    /** Time from which the outage in progress is suspected only because all streams are silent. */
    stalledAt: number | undefined;
    /** Rejections and broken streams since the last acceptance, if one was broken lately. */
    losses: { startedAt: number; silentFrom: number; points: number; endpoints: Set<string> } | undefined;
    /** Time of the last report of an outage in progress, by router. */
    reporters: Map<string, number>;
    past: PastOutage[];
}

/**
 * Creates a history without outages.
 * @param options - Clock and listener.
 */
export function createOutageHistory(options: OutageHistoryOptions): OutageHistory {
    const services = new Map<string, ServiceState>();
    const own = createOutageDetector();
    let outageCount = 0;
    let lastDurationMs = 0;
    return {
        detector: {
            ...own,
            recordRejection(service, endpoint, now) {
                own.recordRejection(service, endpoint, now);
                addPoints(service, endpoint, 1, now);
                recordEvidence(service, now);
            },
            recordAcceptance(service) {
                own.recordAcceptance(service);
                recordAcceptance(service, options.readNow());
            },
        },
        recordLoss(service, endpoint, silentFrom, now) {
            own.recordRejection(service, endpoint, now);
            addPoints(service, endpoint, LOSS_POINTS, now);
            const { losses } = getState(service);
            if (losses !== undefined) {
                losses.silentFrom = Math.min(losses.silentFrom, Math.max(silentFrom, now - MAX_STALL_MS));
            }
            recordEvidence(service, now);
        },
        recordStall(service, silentFrom, now) {
            const state = getState(service);
            if (state.beganAt === undefined && silentFrom > state.acceptedAt && now - silentFrom < MAX_STALL_MS) {
                state.stalledAt = now;
                state.evidenceAt = now;
                beginOutage(service, state, silentFrom, OutageSource.Own, now);
            }
        },
        recordProgress(service, now) {
            const state = services.get(service);
            if (state?.stalledAt !== undefined) {
                forgetOutage(service, state, now);
            }
        },
        isStalled: service => services.get(service)?.stalledAt !== undefined,
        getBegan,
        getEnded: service => services.get(service)?.past.at(-1)?.endedAt,
        listDurations: service => (services.get(service)?.past ?? []).map(({ beganAt, endedAt }) => endedAt - beganAt),
        listReports,
        mergeReports(peer, reports, now) {
            reports.slice(0, MAX_REPORTS).forEach(report => mergeReport(peer, report, now));
        },
        countOutages: () => outageCount,
        getLastDuration: () => lastDurationMs,
    };

    function getState(service: string): ServiceState {
        let state = services.get(service);
        if (state === undefined) {
            const never = Number.NEGATIVE_INFINITY;
            state = {
                beganAt: undefined,
                evidenceAt: never,
                rejectedAt: never,
                acceptedAt: never,
                stalledAt: undefined,
                losses: undefined,
                reporters: new Map(),
                past: [],
            };
            services.set(service, state);
        }
        return state;
    }

    /** Rejections before the first broken stream say nothing, and none is kept without one. */
    function addPoints(service: string, endpoint: string, points: number, now: number): void {
        const state = getState(service);
        if (state.losses !== undefined && now - state.losses.startedAt > EVIDENCE_AGE_MS) {
            state.losses = undefined;
        }
        if (points >= LOSS_POINTS) {
            state.losses ??= { startedAt: now, silentFrom: now, points: 0, endpoints: new Set() };
        }
        if (state.losses !== undefined) {
            state.losses.points += points;
            state.losses.endpoints.add(endpoint);
        }
    }

    function recordEvidence(service: string, now: number): void {
        const state = getState(service);
        state.rejectedAt = now;
        state.evidenceAt = now;
        outageCount += state.stalledAt === undefined ? 0 : 1;
        state.stalledAt = undefined;
        const beganAt = findLossOutage(state) ?? estimateBegan(state, own.getBegan(service, now));
        if (state.beganAt === undefined && beganAt !== undefined) {
            beginOutage(service, state, beganAt, OutageSource.Own, now);
        }
    }

    /** The group has stalled before the first rejection, but not before the last sign that it worked. */
    function estimateBegan({ past, acceptedAt }: ServiceState, rejectedAt: number | undefined): number | undefined {
        const workedAt = Math.max(acceptedAt, past.at(-1)?.endedAt ?? Number.NEGATIVE_INFINITY);
        return rejectedAt === undefined ? undefined : Math.max(rejectedAt - USUAL_STALL_MS, workedAt + 1);
    }

    function recordAcceptance(service: string, now: number): void {
        const state = services.get(service);
        if (state !== undefined) {
            state.acceptedAt = now;
            state.losses = undefined;
            endOutage(service, state, now, OutageSource.Own, now);
        }
    }

    function getBegan(service: string, now: number): number | undefined {
        const state = services.get(service);
        if (state?.beganAt === undefined) {
            return undefined;
        }
        const expiryMs = state.stalledAt === undefined ? EVIDENCE_EXPIRY_MS : MAX_STALL_MS;
        if (now - state.evidenceAt > expiryMs) {
            forgetOutage(service, state, now);
        }
        return state.beganAt;
    }

    function forgetOutage(service: string, state: ServiceState, now: number): void {
        const lastedMs = now - (state.beganAt ?? now);
        const isSuspected = state.stalledAt !== undefined;
        state.beganAt = undefined;
        state.stalledAt = undefined;
        state.reporters.clear();
        options.onChange({ service, source: OutageSource.Own, isOut: false, lastedMs, isSuspected, hasLapsed: true });
    }

    function beginOutage(
        service: string,
        state: ServiceState,
        beganAt: number,
        source: OutageSource,
        now: number,
    ): void {
        state.beganAt = beganAt;
        const isSuspected = state.stalledAt !== undefined;
        outageCount += isSuspected ? 0 : 1;
        options.onChange({ service, source, isOut: true, lastedMs: now - beganAt, isSuspected, hasLapsed: false });
    }

    function endOutage(service: string, state: ServiceState, endedAt: number, source: OutageSource, now: number): void {
        const { beganAt } = state;
        if (beganAt === undefined) {
            return;
        }
        if (state.stalledAt !== undefined) {
            forgetOutage(service, state, now);
            return;
        }
        state.beganAt = undefined;
        state.reporters.clear();
        own.recordAcceptance(service);
        lastDurationMs = endedAt - beganAt;
        addPast(state, { beganAt, endedAt }, now);
        options.onChange({
            service,
            source,
            isOut: false,
            lastedMs: lastDurationMs,
            isSuspected: false,
            hasLapsed: false,
        });
    }

    function addPast(state: ServiceState, past: PastOutage, now: number): void {
        state.past = [...state.past, past]
            .filter(({ endedAt }) => now - endedAt < PAST_EXPIRY_MS)
            .sort((left, right) => left.endedAt - right.endedAt)
            .slice(-MAX_PAST);
    }

    function listReports(now: number): OutageReport[] {
        const tellsPast = now % TELL_PAST_PERIOD_MS < TELL_PAST_MS;
        const reports = [...services].flatMap(([service, { past, rejectedAt }]) => {
            const beganAt = getBegan(service, now);
            // A router that knows of an outage only from others doesn't repeat it, or they would keep it up among themselves.
            const isSeen = now - rejectedAt <= EVIDENCE_EXPIRY_MS;
            const ended = past
                .filter(({ endedAt }) => tellsPast || now - endedAt < TELL_END_MS)
                .map((one): OutageReport => buildReport(service, one.beganAt, one.endedAt, now));
            return beganAt === undefined || !isSeen ? ended : [buildReport(service, beganAt, undefined, now), ...ended];
        });
        return reports.slice(0, MAX_REPORTS);
    }

    function mergeReport(peer: string, [service, beganAgoMs, endedAgoMs]: OutageReport, now: number): void {
        if (beganAgoMs < 0 || endedAgoMs > beganAgoMs) {
            // Times in the wrong order tell nothing; the other fields of the message are used.
            return;
        }
        const state = getState(service);
        const beganAt = now - beganAgoMs;
        if (endedAgoMs < 0) {
            mergeOngoing(service, state, peer, beganAt, now);
        } else {
            mergeEnded(service, state, { beganAt, endedAt: now - endedAgoMs }, now);
        }
    }

    /** A report of an outage that this router knows to have ended, or during which an endpoint accepted work, is late. */
    function mergeOngoing(service: string, state: ServiceState, peer: string, beganAt: number, now: number): void {
        const lastEnd = state.past.at(-1)?.endedAt ?? Number.NEGATIVE_INFINITY;
        if (beganAt <= Math.max(lastEnd, state.acceptedAt)) {
            return;
        }
        state.reporters.set(peer, now);
        if (state.beganAt !== undefined) {
            state.beganAt = Math.min(state.beganAt, beganAt);
            state.stalledAt = undefined;
            state.evidenceAt = now;
            return;
        }
        const reporters = [...state.reporters.values()].filter(at => now - at <= EVIDENCE_AGE_MS).length;
        if (reporters >= MIN_REPORTERS || now - state.rejectedAt <= EVIDENCE_AGE_MS) {
            state.evidenceAt = now;
            beginOutage(service, state, beganAt, OutageSource.Peer, now);
        }
    }

    function mergeEnded(service: string, state: ServiceState, past: PastOutage, now: number): void {
        if (state.beganAt !== undefined && past.endedAt > state.beganAt) {
            state.beganAt = Math.min(state.beganAt, past.beganAt);
            endOutage(service, state, past.endedAt, OutageSource.Peer, now);
        } else if (!state.past.some(({ endedAt }) => Math.abs(endedAt - past.endedAt) < SAME_OUTAGE_MS)) {
            addPast(state, past, now);
        }
    }
}

/** Gets the time of the first broken stream, if streams and rejections of several endpoints show an outage. */
function findLossOutage({ losses }: ServiceState): number | undefined {
    const isOut = losses !== undefined && losses.points >= MIN_POINTS && losses.endpoints.size >= MIN_LOSS_ENDPOINTS;
    return isOut ? losses.silentFrom : undefined;
}

function buildReport(service: string, beganAt: number, endedAt: number | undefined, now: number): OutageReport {
    return [service, Math.round(now - beganAt), endedAt === undefined ? -1 : Math.round(now - endedAt)];
}
