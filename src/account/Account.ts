import { WORK_RANKS } from "../config/WorkRank.js";
import { Cause } from "../protocol/Cause.js";
import {
    type CellRank,
    type IncidentKind,
    MINUTE_MS,
    SubjectKind,
    type Summary,
    addAnswered,
    addIncident,
    addLost,
    addTeamLoad,
    createSummary,
} from "./Summary.js";

/** Facts of a settled request. */
export interface SettledFacts {
    rank: CellRank;
    team: string;
    weight: number;
    cost: number;
    cause: Cause;
    traceId: string;
    /** Endpoints that were tried, in order. */
    hosts: readonly string[];
    /** Time to the first byte, in milliseconds; undefined without one. */
    firstByteMs: number | undefined;
    /** Time by which it was due, in milliseconds. */
    targetMs: number | undefined;
    /** Time that the request waited in the agent's queue, in milliseconds. */
    queueMs: number;
}

/** Account of a router, by minute. */
export interface Account {
    recordSettled(facts: SettledFacts): void;
    recordIncident(kind: IncidentKind, subject: string): void;
    /** Takes the summaries of the minutes that are over. */
    takeFinished(now: number): Summary[];
    /** Gives the summaries that are not taken yet. */
    listOpen(): Summary[];
}

/** Causes that the caller alone has to answer for; they are no loss of the system. */
const CALLER_CAUSES: ReadonlySet<Cause> = new Set([
    Cause.MalformedRequest,
    Cause.UnknownTeam,
    Cause.UnknownTarget,
    Cause.BodyTooLarge,
    Cause.BodyTooSlow,
    Cause.MissingIdempotencyKey,
    Cause.KeyReused,
    Cause.KeyExpired,
    Cause.CallerGone,
]);

/**
 * Creates the account of a router.
 * @param zone - Availability zone of the router.
 * @param host - Host of the router.
 */
export function createAccount(zone: string, host: string): Account {
    const minutes = new Map<number, Summary>();
    return { recordSettled, recordIncident, takeFinished, listOpen: () => [...minutes.values()] };

    function recordSettled(facts: SettledFacts): void {
        const summary = getMinute(Date.now());
        if (CALLER_CAUSES.has(facts.cause)) {
            return;
        }
        addTeamLoad(summary, { team: facts.team, weight: facts.weight, requests: 1, cost: facts.cost });
        const cause = findLossCause(facts);
        if (cause === Cause.None) {
            addAnswered(summary, facts.rank, 1);
            return;
        }
        const { subjectKind, subject } = findSubject(cause, facts);
        const traces = [facts.traceId];
        addLost(summary, { rank: facts.rank, cause, subjectKind, subject, team: facts.team, count: 1, traces });
    }

    function recordIncident(kind: IncidentKind, subject: string): void {
        const now = Date.now();
        addIncident(getMinute(now), { kind, subject, at: now, count: 1 });
    }

    function takeFinished(now: number): Summary[] {
        const finished = [...minutes.values()].filter(summary => summary.minute + MINUTE_MS <= now);
        finished.forEach(summary => minutes.delete(summary.minute));
        return finished;
    }

    function getMinute(now: number): Summary {
        const minute = Math.floor(now / MINUTE_MS) * MINUTE_MS;
        const known = minutes.get(minute);
        if (known !== undefined) {
            return known;
        }
        const summary = createSummary(minute, zone);
        summary.hosts.push(host);
        minutes.set(minute, summary);
        return summary;
    }
}

/** A late answer is lost too: its cause is the hop that took the time. */
function findLossCause(facts: SettledFacts): Cause {
    if (facts.cause !== Cause.None) {
        return facts.cause;
    }
    const isLate =
        facts.firstByteMs !== undefined && facts.targetMs !== undefined && facts.firstByteMs > facts.targetMs;
    if (!isLate) {
        return Cause.None;
    }
    if (facts.hosts.length > 1) {
        return Cause.EndpointLost;
    }
    return facts.queueMs > (facts.firstByteMs ?? 0) / 2 ? Cause.Overload : Cause.EndpointSlow;
}

interface Subject {
    subjectKind: SubjectKind;
    subject: string;
}

function findSubject(cause: Cause, facts: SettledFacts): Subject {
    const endpointCauses = [Cause.EndpointSlow, Cause.EndpointLost, Cause.EndpointFailed, Cause.EndpointDraining];
    const answerCauses = [Cause.AnswerCut, Cause.AnswerMismatched];
    if ([...endpointCauses, ...answerCauses].includes(cause)) {
        return { subjectKind: SubjectKind.Endpoint, subject: facts.hosts[0] ?? "" };
    }
    if (cause === Cause.CrashSuspected) {
        return { subjectKind: SubjectKind.Request, subject: facts.team };
    }
    if ([Cause.PlatformUnavailable, Cause.ClaimUncertain, Cause.ClaimStoreFull].includes(cause)) {
        return { subjectKind: SubjectKind.Platform, subject: "key-value service" };
    }
    return { subjectKind: SubjectKind.None, subject: "" };
}

/**
 * Tells whether a text names a rank of work.
 * @param text - Text.
 */
export function isRankName(text: string): text is CellRank {
    return text === "none" || (WORK_RANKS as readonly string[]).includes(text);
}
