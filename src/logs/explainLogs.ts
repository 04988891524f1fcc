import { Cause } from "../protocol/index.js";
import { PartStatus } from "../scheduling/index.js";
import { EventId } from "../telemetry/EventId.js";
import type { LogLine } from "./LogLine.js";

/** What is behind requests that were refused, failed or late. */
export enum LogCause {
    StoreAway = "the platform's store was out of reach",
    HostCutOff = "some hosts had lost touch with the platform's store",
    CrashingPart = "a part of prompts crashed endpoints",
    ZoneEvacuated = "an availability zone was evacuated",
    GroupBroken = "a group lacked ranks, and took no work",
    SlowRank = "a slow rank held its group up",
    ChangeUnsettled = "a change of a group's map could not be ended",
    ProcessesStarted = "processes started anew",
    EndpointsGone = "endpoints went away",
    NotInForce = "the key or the route was not in force",
    EndpointFailing = "endpoints broke off or failed",
    EndpointSlow = "endpoints did not answer in time",
    Overload = "more work came than the endpoints take",
    CallersLeft = "callers left before their answer",
}

/** A cause with what speaks for it. */
export interface LogExplanation {
    cause: LogCause;
    /** Requests that it explains. */
    requests: number;
    /** Lines of the system that show it; none if it follows from the requests alone. */
    evidence: number;
    /** First line that shows it. */
    example: LogLine;
}

/** Requests that are to be explained. */
export interface LogSelection {
    /** Identifier of an attempt. */
    attempt?: string;
    team?: string;
    /** Wall-clock times in milliseconds. */
    from?: number;
    to?: number;
}

/** Time before the end of a request in which a line can explain it, in milliseconds: a lapse shows after some seconds. */
const BEFORE_MS = 6_000;
/** Time after it, in milliseconds: an outage is often noticed later than its first victims. */
const AFTER_MS = 5_000;
/** Time around a start of processes in which requests meet its cause, in milliseconds. */
const RESTART_MS = 2_500;
/** Times as long as usual from which a rank counts as slow. */
const SLOW_PACE = 1.3;
/** Part of the hosts whose loss of the store means that the store itself is away. */
const MOST_HOSTS = 0.6;
const CONFIGURED = new Set<unknown>([Cause.UnknownTeam, Cause.UnknownTarget]);
/** The request waited for an endpoint. */
const WAITING = new Set<unknown>([Cause.Late, Cause.TimedOut, Cause.CallerGone]);
const BROKEN_OR_LATE = new Set<unknown>([Cause.EndpointFailed, Cause.Late]);
const REFUSED = new Set<unknown>([Cause.NoEndpoint, Cause.Overload, Cause.RetryBudgetSpent, Cause.EndpointLost]);

type Rule = (request: LogLine, near: readonly LogLine[], hosts: number) => LogLine | false | undefined;

/** Rules in the order in which they go: what lies deeper explains what follows from it. */
const RULES: readonly [LogCause, Rule][] = [
    [
        LogCause.NotInForce,
        (request, near) => isOfAny(request, CONFIGURED) && (findEvent(near, EventId.DocumentApplied) ?? request),
    ],
    [
        LogCause.ZoneEvacuated,
        // The line of the evacuation may be much older than the request.
        (request, near) =>
            isOf(request, Cause.ZoneEvacuated) && (findEvent(near, EventId.EvacuationStarted) ?? request),
    ],
    [LogCause.ProcessesStarted, findStarts],
    [LogCause.CrashingPart, findCrashingPart],
    [LogCause.GroupBroken, (request, near) => isOfAny(request, REFUSED) && findEvent(near, EventId.GroupIncomplete)],
    [LogCause.SlowRank, (request, near) => isOfAny(request, WAITING) && near.find(isSlowRank)],
    [LogCause.ChangeUnsettled, (request, near) => isOfAny(request, WAITING) && near.find(isUnsettled)],
    [LogCause.EndpointsGone, findGoneEndpoint],
    [LogCause.StoreAway, (request, near, hosts) => isOf(request, Cause.NoDocument) && findStoreLoss(near, hosts, true)],
    [
        LogCause.HostCutOff,
        (request, near, hosts) => isOf(request, Cause.NoDocument) && findStoreLoss(near, hosts, false),
    ],
    [LogCause.CallersLeft, request => isOf(request, Cause.CallerGone) && request],
    [LogCause.EndpointFailing, request => isOf(request, Cause.EndpointFailed) && request],
    [LogCause.EndpointSlow, request => isOf(request, Cause.TimedOut) && request],
    [LogCause.Overload, request => request],
];

/**
 * Names the causes of refused, failed and late requests, the one that explains most first.
 * @param lines - Lines of all processes, in order of time.
 * @param selection - Which requests are to be explained.
 */
export function explainLogs(lines: readonly LogLine[], selection: LogSelection): LogExplanation[] {
    const requests = lines.filter(line => isTroubled(line) && isSelected(line, selection));
    const system = lines.filter(line => !isRequest(line));
    const hosts = new Set(lines.map(line => line.host)).size;
    const found = new Map<LogCause, { requests: number; evidence: Set<LogLine> }>();
    for (const request of requests) {
        const near = system.filter(line => line.at >= request.at - BEFORE_MS && line.at <= request.at + AFTER_MS);
        const match = findCause(request, near, hosts);
        if (match !== undefined) {
            const known = found.get(match.cause) ?? { requests: 0, evidence: new Set<LogLine>() };
            known.requests++;
            known.evidence.add(match.line);
            found.set(match.cause, known);
        }
    }
    return [...found]
        .map(([cause, { requests: explained, evidence }]) => ({
            cause,
            requests: explained,
            evidence: [...evidence].filter(line => !isRequest(line)).length,
            example: [...evidence][0] as LogLine,
        }))
        .sort((left, right) => right.requests - left.requests);
}

function findCause(
    request: LogLine,
    near: readonly LogLine[],
    hosts: number,
): { cause: LogCause; line: LogLine } | undefined {
    for (const [cause, rule] of RULES) {
        const line = rule(request, near, hosts);
        if (line !== undefined && line !== false) {
            return { cause, line };
        }
    }
    return undefined;
}

function isRequest(line: LogLine): boolean {
    return line.event === EventId.RequestAnswered || line.event === EventId.RequestRefused;
}

/** A request that had all its answer in time needs no explanation. */
function isTroubled(line: LogLine): boolean {
    return isRequest(line) && line.facts.cause !== Cause.None;
}

function isSelected(line: LogLine, selection: LogSelection): boolean {
    return (
        (selection.attempt === undefined || line.facts.attempt === selection.attempt) &&
        (selection.team === undefined || line.facts.team === selection.team) &&
        (selection.from === undefined || line.at >= selection.from) &&
        (selection.to === undefined || line.at <= selection.to)
    );
}

function isOf(request: LogLine, cause: Cause): boolean {
    return request.facts.cause === cause;
}

function isOfAny(request: LogLine, causes: ReadonlySet<unknown>): boolean {
    return causes.has(request.facts.cause);
}

/** A change that is confirmed by all ranks takes effect by itself, and needs no settlement. */
function isUnsettled(line: LogLine): boolean {
    const isConfirmed = String(line.facts.detail).includes("confirmed");
    return line.event === EventId.GroupFenced && line.facts.isSettled === false && !isConfirmed;
}

function isSlowRank(line: LogLine): boolean {
    return line.event === EventId.GroupMapChanged && Number(line.facts.slowestPace) >= SLOW_PACE;
}

function findEvent(near: readonly LogLine[], event: EventId): LogLine | undefined {
    return near.find(line => line.event === event);
}

/** Many hosts that start at one moment were killed or had lost power; the request met what was missing meanwhile. */
function findStarts(request: LogLine, near: readonly LogLine[], hosts: number): LogLine | undefined {
    const starts = near.filter(
        line => line.event === EventId.ProcessStarted && Math.abs(line.at - request.at) < RESTART_MS,
    );
    const isMany = new Set(starts.map(line => line.host)).size >= MOST_HOSTS * hosts;
    return isMany ? starts[0] : undefined;
}

/** A request with the part, or one that met what the crash left behind. */
function findCrashingPart(request: LogLine, near: readonly LogLine[]): LogLine | undefined {
    const refusal = near.find(
        line => line.event === EventId.PartStatusChanged && line.facts.status === PartStatus.Refused,
    );
    if (isOf(request, Cause.CrashSuspected)) {
        return refusal ?? request;
    }
    return isOfAny(request, REFUSED) || isOfAny(request, BROKEN_OR_LATE) ? refusal : undefined;
}

/** An endpoint that the request was sent to, or any while the request found none. */
function findGoneEndpoint(request: LogLine, near: readonly LogLine[]): LogLine | undefined {
    const sends = String(request.facts.sends ?? "");
    const gone = near.filter(line => line.event === EventId.EndpointChanged && line.facts.change === "removed");
    const isSentTo = (line: LogLine): boolean => sends.includes(String(line.facts.endpoint));
    return gone.find(isSentTo) ?? (isOf(request, Cause.NoEndpoint) ? gone[0] : undefined);
}

function findStoreLoss(near: readonly LogLine[], hosts: number, isStoreItself: boolean): LogLine | undefined {
    const losses = near.filter(line => line.event === EventId.PlatformUnavailable);
    const isMost = new Set(losses.map(line => line.host)).size >= MOST_HOSTS * hosts;
    return isMost === isStoreItself ? losses[0] : undefined;
}
