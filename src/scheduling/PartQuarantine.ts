import type { PartReport } from "./PartReport.js";

/** Decision about a request with regard to the parts of its prompt. */
export enum PartDecision {
    /** Nothing speaks against sending the request. */
    Allowed = "allowed",
    /** The request may be sent as the only one with a suspected part. */
    Trial = "trial",
    /** Another request with a suspected part is being tried, so its result is awaited. */
    Wait = "wait",
    /** A part of the request is likely to crash the endpoint. */
    Refused = "refused",
}

/** What is held against a part of a prompt. */
export enum PartStatus {
    /** Nothing, or too little to act on it. */
    Clear = "clear",
    /** Requests with the part are sent one at a time. */
    Suspected = "suspected",
    /** Requests with the part are refused until its next trial is due. */
    Refused = "refused",
}

/**
 * Parts of prompts that are suspected of crashing the endpoints that begin to answer them, replicated between routers. It
 * answers a load of requests of which no two are alike, and which share the part that crashes endpoints, while their other
 * parts and their callers are shared with sound requests.
 */
export interface PartQuarantine {
    /**
     * Decides whether a request may be sent.
     * @param parts - Shared parts of its prompt.
     */
    checkParts(parts: readonly string[], now: number): PartDecision;
    /** Records that a request was sent as a trial of its suspected parts. */
    startTrial(parts: readonly string[], now: number): void;
    /** Records that a trial has ended, whatever its result. */
    endTrial(parts: readonly string[]): void;
    /** Records that an endpoint began to answer a request, which proves that its parts are sound. */
    recordAnswer(parts: readonly string[], now: number): void;
    /**
     * Records that an endpoint crashed before the first event of its answer to a request.
     * @param isUnderAnswer - Whether the endpoint had begun to answer.
     */
    recordCrash(parts: readonly string[], endpoint: string, isUnderAnswer: boolean, now: number): void;
    /** Merges the reports of another router. */
    mergeReports(reports: readonly PartReport[], now: number): void;
    listReports(now: number): PartReport[];
    /** Counts the parts with which requests are refused. */
    countRefused(): number;
}

/** Options of the quarantine. */
export interface PartQuarantineOptions {
    /** Called when the status of a part has changed, by an own observation or by another router's report. */
    onStatus: (part: string, status: PartStatus, crashes: number) => void;
    /** Called when other routers should learn of a change at once. */
    announce: () => void;
}

/** Crashes from which a part is refused. */
const REFUSAL_CRASHES = 2;
/** Crashes that are not held against a part which was answered lately: it is rarely the cause. */
const PROVEN_ALLOWANCE = 1;
/** Crashes of one endpoint within this time are one crash that several routers saw, in milliseconds. */
const SAME_CRASH_MS = 10_000;
/** Crashes of a proven part within this time count as one: endpoints that fail together have another cause in common. */
const SIMULTANEOUS_MS = 200;
/** Time for which an answer proves a part, in milliseconds. */
const PROOF_MS = 300_000;
/** Longest time that a trial keeps others from beginning, in milliseconds. */
const TRIAL_MS = 3_000;
/** Time from a crash to the first trial of a suspected part, in milliseconds: answers elsewhere may prove it meanwhile. */
const FIRST_TRIAL_MS = 1_000;
/** Time from the crash that made a part refused to its next trial, in milliseconds; it grows with each further crash. */
const FIRST_RETRIAL_MS = 30_000;
const RETRIAL_GROWTH = 4;
/** Time after its last crash when a part is forgotten, in milliseconds. */
const RETENTION_MS = 6 * 3_600_000;
/** Time for which other routers are told that a part is sound, in milliseconds. */
const CLEARED_RETENTION_MS = 30_000;
const MAX_CRASHES = 8;
const MAX_SUSPECTS = 200;
const MAX_REPORTS = 50;
const MAX_PROVEN_PARTS = 4_096;

interface Crash {
    endpoint: string;
    at: number;
    /** The endpoint crashed as it began to answer, and no other part can be the cause. */
    isConclusive: boolean;
}

interface PartEntry {
    generation: number;
    isProven: boolean;
    /** Crashes with their monotonic times, in milliseconds. */
    crashes: Crash[];
    /** Monotonic time until which no other trial may begin, in milliseconds. */
    trialUntil: number;
    /** The trial is this router's, which tells the others of it. */
    isOwnTrial: boolean;
    changedAt: number;
}

/**
 * Creates a quarantine without suspected parts.
 * @param options - Listeners.
 */
export function createPartQuarantine(options: PartQuarantineOptions): PartQuarantine {
    const entries = new Map<string, PartEntry>();
    const answeredAt = new Map<string, number>();
    return {
        checkParts,
        startTrial,
        endTrial,
        recordAnswer,
        recordCrash,
        mergeReports,
        listReports,
        countRefused: () => [...entries.values()].filter(entry => getStatus(entry) === PartStatus.Refused).length,
    };

    function checkParts(parts: readonly string[], now: number): PartDecision {
        if (entries.size === 0) {
            return PartDecision.Allowed;
        }
        const suspected = listSuspected(parts);
        if (suspected.length === 0) {
            return PartDecision.Allowed;
        }
        const isEarly = (entry: PartEntry): boolean => now < computeTrialAt(entry);
        if (suspected.some(entry => getStatus(entry) === PartStatus.Refused && isEarly(entry))) {
            return PartDecision.Refused;
        }
        return suspected.some(entry => isEarly(entry) || now < entry.trialUntil)
            ? PartDecision.Wait
            : PartDecision.Trial;
    }

    function startTrial(parts: readonly string[], now: number): void {
        for (const entry of listSuspected(parts)) {
            entry.trialUntil = now + TRIAL_MS;
            entry.isOwnTrial = true;
        }
        options.announce();
    }

    function endTrial(parts: readonly string[]): void {
        listSuspected(parts)
            .filter(entry => entry.isOwnTrial)
            .forEach(endTrialOf);
    }

    function recordAnswer(parts: readonly string[], now: number): void {
        for (const part of parts) {
            answeredAt.delete(part);
            answeredAt.set(part, now);
            const entry = entries.get(part);
            if (entry !== undefined && entry.crashes.length > 0) {
                changeEntry(part, entry, () => clearEntry(entry, entry.generation + 1, now));
                options.announce();
            }
        }
        dropOldest(answeredAt, MAX_PROVEN_PARTS);
    }

    function recordCrash(parts: readonly string[], endpoint: string, isUnderAnswer: boolean, now: number): void {
        if (parts.length === 0) {
            return;
        }
        const unproven = parts.filter(part => !isProven(part, now));
        const isConclusive = isUnderAnswer && unproven.length === 1;
        const causes = isConclusive ? unproven : listLikelyCauses(parts, endpoint, now);
        for (const part of causes) {
            const entry = getEntry(part, now);
            changeEntry(part, entry, () => addCrash(entry, { endpoint, at: now, isConclusive }, now));
        }
        dropOldest(entries, MAX_SUSPECTS);
        options.announce();
    }

    /** Parts that were suspected before a crash explain it, so the others are not suspected because of it. */
    function listLikelyCauses(parts: readonly string[], endpoint: string, now: number): readonly string[] {
        const suspectedBefore = parts.filter(part => {
            const entry = entries.get(part);
            return entry !== undefined && isSuspected(entry) && !hasCrash(entry, endpoint, now);
        });
        return suspectedBefore.length > 0 ? suspectedBefore : parts;
    }

    function isProven(part: string, now: number): boolean {
        const provenAt = answeredAt.get(part) ?? Number.NEGATIVE_INFINITY;
        return entries.get(part)?.isProven === true || now - provenAt < PROOF_MS;
    }

    function mergeReports(reports: readonly PartReport[], now: number): void {
        for (const report of reports) {
            // Nothing is taken over that is about to be forgotten, or routers would remind each other of it for good.
            const isRecent = report.crashes.some(({ ageMs }) => ageMs < RETENTION_MS);
            if (!entries.has(report.part) && !isRecent) {
                continue;
            }
            const entry = getEntry(report.part, now);
            if (report.generation >= entry.generation) {
                changeEntry(report.part, entry, () => mergeReport(entry, report, now));
            }
        }
        dropOldest(entries, MAX_SUSPECTS);
    }

    function mergeReport(entry: PartEntry, report: PartReport, now: number): void {
        if (report.generation > entry.generation) {
            clearEntry(entry, report.generation, now);
        }
        entry.isProven ||= report.isProven;
        if (report.trialMs > 0) {
            entry.trialUntil = Math.max(entry.trialUntil, now + report.trialMs);
        }
        for (const { endpoint, ageMs, isConclusive } of report.crashes) {
            addCrash(entry, { endpoint, at: now - ageMs, isConclusive }, now);
        }
        const provenAt = answeredAt.get(report.part) ?? Number.NEGATIVE_INFINITY;
        if (entry.crashes.length > 0 && provenAt > getLastCrashAt(entry)) {
            clearEntry(entry, entry.generation + 1, now);
        }
    }

    function listReports(now: number): PartReport[] {
        for (const [part, entry] of entries) {
            const isOutdated =
                entry.crashes.length === 0
                    ? now - entry.changedAt > CLEARED_RETENTION_MS
                    : now - getLastCrashAt(entry) > RETENTION_MS;
            if (isOutdated) {
                entries.delete(part);
            }
        }
        return [...entries]
            .sort(([, left], [, right]) => right.changedAt - left.changedAt)
            .slice(0, MAX_REPORTS)
            .map(([part, { generation, isProven, crashes, trialUntil, isOwnTrial }]) => ({
                part,
                generation,
                isProven,
                crashes: crashes.map(({ endpoint, at, isConclusive }) => {
                    return { endpoint, ageMs: Math.round(now - at), isConclusive };
                }),
                trialMs: isOwnTrial ? Math.max(0, Math.round(trialUntil - now)) : 0,
            }));
    }

    function listSuspected(parts: readonly string[]): PartEntry[] {
        return parts.flatMap(part => entries.get(part) ?? []).filter(isSuspected);
    }

    /** Applies a change to an entry and tells of the status that it leads to. */
    function changeEntry(part: string, entry: PartEntry, change: () => void): void {
        const before = getStatus(entry);
        change();
        const after = getStatus(entry);
        if (after !== before) {
            options.onStatus(part, after, entry.crashes.length);
        }
    }

    function getEntry(part: string, now: number): PartEntry {
        let entry = entries.get(part);
        if (entry === undefined) {
            entry = {
                generation: 0,
                isProven: isProven(part, now),
                crashes: [],
                trialUntil: Number.NEGATIVE_INFINITY,
                isOwnTrial: false,
                changedAt: now,
            };
            entries.set(part, entry);
        }
        return entry;
    }
}

function clearEntry(entry: PartEntry, generation: number, now: number): void {
    entry.crashes = [];
    entry.generation = generation;
    entry.isProven = true;
    entry.changedAt = now;
    endTrialOf(entry);
}

function endTrialOf(entry: PartEntry): void {
    entry.trialUntil = Number.NEGATIVE_INFINITY;
    entry.isOwnTrial = false;
}

function addCrash(entry: PartEntry, crash: Crash, now: number): void {
    if (!hasCrash(entry, crash.endpoint, crash.at)) {
        entry.crashes = [...entry.crashes, crash].slice(-MAX_CRASHES);
        entry.changedAt = now;
    }
}

function hasCrash(entry: PartEntry, endpoint: string, at: number): boolean {
    return entry.crashes.some(crash => crash.endpoint === endpoint && Math.abs(crash.at - at) < SAME_CRASH_MS);
}

function getLastCrashAt(entry: PartEntry): number {
    return Math.max(...entry.crashes.map(({ at }) => at));
}

function isSuspected(entry: PartEntry): boolean {
    return getStatus(entry) !== PartStatus.Clear;
}

function getStatus(entry: PartEntry): PartStatus {
    const crashes = countCrashes(entry);
    if (crashes <= 0) {
        return PartStatus.Clear;
    }
    return crashes < REFUSAL_CRASHES ? PartStatus.Suspected : PartStatus.Refused;
}

/** Counts the crashes that are held against a part; a conclusive one is enough to refuse it. */
function countCrashes(entry: PartEntry): number {
    if (entry.isProven) {
        return countSeparateCrashes(entry) - PROVEN_ALLOWANCE;
    }
    const isConclusive = entry.crashes.some(crash => crash.isConclusive);
    return entry.crashes.length + (isConclusive ? REFUSAL_CRASHES - 1 : 0);
}

function countSeparateCrashes(entry: PartEntry): number {
    let count = 0;
    let lastAt = Number.NEGATIVE_INFINITY;
    for (const { at } of [...entry.crashes].sort((left, right) => left.at - right.at)) {
        if (at - lastAt >= SIMULTANEOUS_MS) {
            count++;
            lastAt = at;
        }
    }
    return count;
}

/** Computes the monotonic time from which a suspected part may be tried, in milliseconds. */
function computeTrialAt(entry: PartEntry): number {
    const furtherCrashes = countCrashes(entry) - REFUSAL_CRASHES;
    const delayMs = furtherCrashes < 0 ? FIRST_TRIAL_MS : FIRST_RETRIAL_MS * RETRIAL_GROWTH ** furtherCrashes;
    return getLastCrashAt(entry) + delayMs;
}

/** Removes the entries that were added first, down to a number. */
function dropOldest<T>(map: Map<string, T>, maxSize: number): void {
    for (const key of map.keys()) {
        if (map.size <= maxSize) {
            return;
        }
        map.delete(key);
    }
}
