import { type CallerAttempt, CallKind } from "./SoakCallers.js";
import { buildPlainAnswer, buildStreamAnswer, getZone } from "./SoakEndpoint.js";
import { FaultKind, PLANNED, type PlayedFault } from "./SoakFaults.js";
import { type Announcement, EVACUATE_MS, REVOKED_KEY } from "./SoakPlatform.js";
import type { EndpointRun, RunRecord } from "./RunRecord.js";

/** What a soak saw. */
export interface SoakSeen {
    attempts: readonly CallerAttempt[];
    record: RunRecord;
    faults: readonly PlayedFault[];
    announcements: readonly Announcement[];
    ownEnds: readonly string[];
    /** Monotonic time from which no fault is played any more, in milliseconds. */
    calmFrom: number;
}

/** Time after a disruption in which bounds of time don't hold, in milliseconds: `contact` of the users' pages. */
const CONTACT_MS = 3_000;
/** Time in which a leaving endpoint, or a document, is to be known everywhere, in milliseconds. */
const KNOWN_MS = 2_000;
/** Time after a request's time is over by which most callers have an answer, in milliseconds. */
const LATE_MS = 500;
/** Time after the last fault in which the system recovers, in milliseconds. */
const RECOVERY_MS = 12_000;
/** Time in which the readers of the store learn of a change, in milliseconds. */
const READ_MS = 500;
/** Time from the send of a request to its arrival over a delayed link, in milliseconds. */
const DELIVERY_MS = 500;
const RECOVERED_PART = 0.95;
const STATUS_SUCCESS = 200;
const PROMISES = new Set([408, 421, 429, 503]);
const DENIALS = new Set([401, 403, 404]);

/**
 * Checks the promises against what callers and endpoints saw.
 * @param seen - What a soak saw.
 * @returns Broken promises; none if all held.
 */
export function checkSoak(seen: SoakSeen): string[] {
    return [
        ...seen.ownEnds,
        ...seen.attempts.flatMap(attempt => [
            ...checkRuns(attempt, seen.record.listRuns(attempt.id)),
            ...checkAnswer(attempt),
            ...checkKey(attempt, seen),
        ]),
        ...checkLeaving(seen),
        ...checkEvacuations(seen),
        ...checkPlanned(seen),
        ...checkTimes(seen),
        ...checkRecovery(seen),
    ];
}

/** Bookings run once at most; what is said not to have run never runs. */
function checkRuns(attempt: CallerAttempt, arrivals: readonly EndpointRun[]): string[] {
    const runs = arrivals.filter(run => run.hasRun);
    const findings: string[] = [];
    if (attempt.kind === CallKind.Book && runs.length > 1) {
        findings.push(`${attempt.id}: a booking ran ${runs.length} times`);
    }
    const isPromise = attempt.status !== undefined && PROMISES.has(attempt.status) && attempt.stamp === undefined;
    if (isPromise && runs.length > 0) {
        findings.push(`${attempt.id}: told ${String(attempt.status)}, but it ran at ${runs[0]?.endpoint ?? ""}`);
    }
    return findings;
}

/** A success is the whole answer of the request's own run, and a part never looks whole. */
function checkAnswer(attempt: CallerAttempt): string[] {
    if (attempt.status !== STATUS_SUCCESS) {
        return [];
    }
    const isStream = attempt.kind === CallKind.Advice;
    const expected = isStream ? buildStreamAnswer(attempt.id) : buildPlainAnswer(attempt.id);
    if (attempt.stamp !== `stamp-${attempt.id}`) {
        return [`${attempt.id}: a success with the signature ${String(attempt.stamp)}`];
    }
    if (attempt.isWhole && attempt.body !== expected) {
        return [`${attempt.id}: an answer that isn't the endpoint's ended as whole`];
    }
    return expected.startsWith(attempt.body) ? [] : [`${attempt.id}: a part of the answer is missing or doubled`];
}

/** A key counts until it is taken away, and not once that is known. */
function checkKey(attempt: CallerAttempt, { announcements, record, faults }: SoakSeen): string[] {
    const isDenied = attempt.status !== undefined && DENIALS.has(attempt.status);
    if (attempt.key !== REVOKED_KEY) {
        return isDenied ? [`${attempt.id}: denied with ${String(attempt.status)}`] : [];
    }
    const changes = announcements.filter(({ subject }) => subject === REVOKED_KEY);
    const last = changes.findLast(({ at }) => at <= attempt.sentAt);
    const isKnown = last !== undefined && attempt.sentAt - last.at > KNOWN_MS;
    const isRevoked = last?.kind === "revoked";
    if (!isKnown || !isInTouch(attempt, faults)) {
        return [];
    }
    const hasRun = record.listRuns(attempt.id).some(run => run.hasRun);
    if (isRevoked && hasRun) {
        return [`${attempt.id}: ran with a key that had been taken away`];
    }
    return !isRevoked && isDenied ? [`${attempt.id}: denied with a key that had been given back`] : [];
}

/** A leaving endpoint gets nothing once that is known. */
function checkLeaving({ announcements, record, attempts, faults }: SoakSeen): string[] {
    const byId = new Map(attempts.map(attempt => [attempt.id, attempt]));
    return announcements
        .filter(({ kind }) => kind === "leaving")
        .flatMap(({ subject, at }) =>
            record
                .listAll()
                .filter(run => run.endpoint === subject && run.hasRun && run.at > at + KNOWN_MS)
                .filter(run => isInTouch(byId.get(run.attempt), faults))
                .map(run => `${run.attempt}: reached ${subject} ${Math.round(run.at - at)} ms after it began to leave`),
        );
}

/** An evacuated zone gets nothing once the bound is over, from routers that stood still or lost the store as from all others. */
function checkEvacuations({ announcements, record, faults }: SoakSeen): string[] {
    const ends = announcements.filter(({ kind }) => kind === "withdrawn");
    return announcements
        .filter(({ kind }) => kind === "evacuated")
        .flatMap(({ subject: zone, at }) => {
            const end = ends.find(other => other.subject === zone && other.at > at)?.at ?? Number.POSITIVE_INFINITY;
            const knownAt = findStoreReturn(at, faults) + EVACUATE_MS + DELIVERY_MS;
            return record
                .listAll()
                .filter(run => getZone(run.endpoint) === zone && run.at > knownAt && run.at < end)
                .map(run => `${run.attempt}: reached ${zone} ${Math.round(run.at - at)} ms after its evacuation`);
        });
}

/** Finds the time at which some router could read what was written: that time, or the end of an outage that came before. */
function findStoreReturn(at: number, faults: readonly PlayedFault[]): number {
    const outages = [FaultKind.StoreDown, FaultKind.StoreRestored];
    return faults
        .filter(({ kind, from, until }) => outages.includes(kind) && from <= at + READ_MS && until >= at)
        .reduce((latest, { until }) => Math.max(latest, until), at);
}

/** While only planned work is under way, a request that reached an endpoint gets its whole answer. */
function checkPlanned({ attempts, record, faults }: SoakSeen): string[] {
    const unplanned = faults.filter(({ kind }) => !PLANNED.has(kind));
    return attempts
        .filter(attempt => isCalm(unplanned, attempt.sentAt, attempt.endedAt ?? Number.POSITIVE_INFINITY))
        .filter(attempt => record.listRuns(attempt.id).length > 0 && !attempt.isWhole)
        .map(attempt => `${attempt.id}: reached an endpoint through ${attempt.router} and was cut during planned work`);
}

/** Of the callers whose time is over, most have an answer by then. */
function checkTimes({ attempts, faults }: SoakSeen): string[] {
    const over = attempts.filter(
        attempt => isInTouch(attempt, faults) && (attempt.endedAt ?? Infinity) - attempt.sentAt >= attempt.patienceMs,
    );
    const late = over.filter(attempt => (attempt.endedAt ?? Infinity) - attempt.sentAt > attempt.patienceMs + LATE_MS);
    return late.length > Math.max(1, over.length / 2)
        ? [
              `${late.length} of ${over.length} callers got no answer at the end of their time, such as ${late[0]?.id ?? ""}`,
          ]
        : [];
}

function checkRecovery({ attempts, calmFrom }: SoakSeen): string[] {
    const last = attempts.filter(attempt => attempt.sentAt > calmFrom + RECOVERY_MS);
    const served = last.filter(attempt => attempt.status === STATUS_SUCCESS && attempt.isWhole);
    return served.length < RECOVERED_PART * last.length
        ? [`${served.length} of ${last.length} requests were served after the system had recovered`]
        : [];
}

/** Tells whether the router of an attempt, its link and the store were without disruption. */
function isInTouch(attempt: CallerAttempt | undefined, faults: readonly PlayedFault[]): boolean {
    if (attempt === undefined) {
        return false;
    }
    const ofRouter = faults.filter(({ kind, target }) => isOfStore(kind) || target === attempt.router);
    return isCalm(ofRouter, attempt.sentAt, attempt.endedAt ?? Number.POSITIVE_INFINITY);
}

function isOfStore(kind: FaultKind): boolean {
    return [FaultKind.StoreDown, FaultKind.StoreHistoryLost, FaultKind.StoreRestored].includes(kind);
}

function isCalm(faults: readonly PlayedFault[], from: number, until: number): boolean {
    return !faults.some(fault => fault.from <= until && fault.until + CONTACT_MS >= from);
}
