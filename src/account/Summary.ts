import { z } from "zod";
import { WORK_RANKS, type WorkRank } from "../config/WorkRank.js";
import { Cause } from "../protocol/Cause.js";

/** What a cause points at. */
export enum SubjectKind {
    Team = "team",
    Endpoint = "endpoint",
    Zone = "zone",
    Platform = "platform",
    Document = "document",
    Request = "request",
    Group = "group",
    Router = "router",
    None = "none",
}

/** Kinds of incident that explain bad outcomes without being the outcome of a request. */
export enum IncidentKind {
    PlatformOutage = "platform-outage",
    ZoneCut = "zone-cut",
    DocumentApplied = "document-applied",
    EndpointLost = "endpoint-lost",
    EndpointCrashed = "endpoint-crashed",
    Rebalancing = "rebalancing",
}

const rankSchema = z.enum([...WORK_RANKS, "none"]);

const cellSchema = z.object({
    rank: rankSchema,
    cause: z.enum(Cause),
    subjectKind: z.enum(SubjectKind),
    subject: z.string(),
    team: z.string(),
    count: z.number(),
    traces: z.array(z.string()),
});

const incidentSchema = z.object({
    kind: z.enum(IncidentKind),
    subject: z.string(),
    /** Wall-clock time of the first report, in milliseconds. */
    at: z.number(),
    count: z.number(),
});

const teamLoadSchema = z.object({ team: z.string(), weight: z.number(), requests: z.number(), cost: z.number() });

/** Schema of a summary as the platform keeps it. */
export const summarySchema = z.object({
    /** Wall-clock time of the start of the minute, in milliseconds. */
    minute: z.number(),
    zone: z.string(),
    answered: z.record(z.string(), z.number()),
    lost: z.array(cellSchema),
    incidents: z.array(incidentSchema),
    teams: z.array(teamLoadSchema),
    /** Routers whose figures are in. */
    hosts: z.array(z.string()),
});

/** Outcomes of one minute in one availability zone. */
export type Summary = z.infer<typeof summarySchema>;
/** Lost requests of one rank, cause and subject. */
export type LostCell = z.infer<typeof cellSchema>;
/** Incident of a minute. */
export type Incident = z.infer<typeof incidentSchema>;
/** Load that a team offered. */
export type TeamLoad = z.infer<typeof teamLoadSchema>;
/** Rank of a cell; a request that was refused early has none. */
export type CellRank = WorkRank | "none";

/** Length of a summary's period, in milliseconds. */
export const MINUTE_MS = 60_000;
const MAX_CELLS = 60;
const MAX_TEAMS = 20;
const MAX_TRACES = 3;

/**
 * Creates an empty summary.
 * @param minute - Start of the minute, in milliseconds.
 * @param zone - Availability zone.
 */
export function createSummary(minute: number, zone: string): Summary {
    return { minute, zone, answered: {}, lost: [], incidents: [], teams: [], hosts: [] };
}

/**
 * Merges summaries of one minute and zone, within the bounds of a summary.
 * @param left - First summary.
 * @param right - Second summary.
 */
export function mergeSummaries(left: Summary, right: Summary): Summary {
    const merged = createSummary(left.minute, left.zone);
    for (const summary of [left, right]) {
        Object.entries(summary.answered).forEach(([rank, count]) => addAnswered(merged, rank as CellRank, count));
        summary.lost.forEach(cell => addLost(merged, cell));
        summary.incidents.forEach(incident => addIncident(merged, incident));
        summary.teams.forEach(team => addTeamLoad(merged, team));
        merged.hosts.push(...summary.hosts);
    }
    merged.lost = merged.lost.sort((one, other) => other.count - one.count).slice(0, MAX_CELLS);
    merged.teams = merged.teams.sort((one, other) => other.cost - one.cost).slice(0, MAX_TEAMS);
    return merged;
}

/** Counts requests that were answered on time. */
export function addAnswered(summary: Summary, rank: CellRank, count: number): void {
    summary.answered[rank] = (summary.answered[rank] ?? 0) + count;
}

/** Counts lost requests. */
export function addLost(summary: Summary, cell: LostCell): void {
    const known = summary.lost.find(
        other =>
            other.rank === cell.rank &&
            other.cause === cell.cause &&
            other.subject === cell.subject &&
            other.team === cell.team,
    );
    if (known === undefined) {
        summary.lost.push({ ...cell, traces: cell.traces.slice(0, MAX_TRACES) });
        return;
    }
    known.count += cell.count;
    known.traces = [...known.traces, ...cell.traces].slice(0, MAX_TRACES);
}

/** Adds an incident, or counts it again. */
export function addIncident(summary: Summary, incident: Incident): void {
    const known = summary.incidents.find(other => other.kind === incident.kind && other.subject === incident.subject);
    if (known === undefined) {
        summary.incidents.push({ ...incident });
        return;
    }
    known.count += incident.count;
    known.at = Math.min(known.at, incident.at);
}

/** Adds to the load that a team offered. */
export function addTeamLoad(summary: Summary, load: TeamLoad): void {
    const known = summary.teams.find(other => other.team === load.team);
    if (known === undefined) {
        summary.teams.push({ ...load });
        return;
    }
    known.requests += load.requests;
    known.cost += load.cost;
}
