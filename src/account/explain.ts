import { match } from "ts-pattern";
import { WorkRank } from "../config/WorkRank.js";
import { Cause } from "../protocol/Cause.js";
import { type CellRank, type Incident, IncidentKind, type LostCell, type Summary, type TeamLoad } from "./Summary.js";

/** Kinds of explanation of a bad hour. */
export enum ExplanationKind {
    Flood = "flood",
    EndpointSlow = "endpoint-slow",
    EndpointLost = "endpoint-lost",
    CrashingRequest = "crashing-request",
    PlatformOutage = "platform-outage",
    ZoneCut = "zone-cut",
    DocumentChange = "document-change",
    Rebalancing = "rebalancing",
    NoEndpoint = "no-endpoint",
    RouterStopped = "router-stopped",
    Other = "other",
}

/** A likely cause of lost answers, with its evidence. */
export interface Explanation {
    kind: ExplanationKind;
    /** Team, endpoint, zone or version behind it. */
    subject: string;
    /** Lost requests of the most urgent rank. */
    lostUrgent: number;
    lost: number;
    /** Worth of what was lost. */
    worth: number;
    text: string;
    traces: string[];
}

/** What the explanation is asked for. */
export interface ExplainOptions {
    team?: string;
    rank?: CellRank;
    /** Worth of one answer of each rank. */
    worth: Record<WorkRank, number>;
}

interface Group {
    kind: ExplanationKind;
    subject: string;
    cells: LostCell[];
}

/** Teams that offer more than this multiple of their share are named behind a flood. */
const FLOOD_FACTOR = 2;
const MAX_TRACES = 5;

/**
 * Explains what was lost in some minutes: the likeliest cause first.
 * @param summaries - Summaries of all zones and minutes.
 * @param options - Team, rank and worth.
 */
export function explainLosses(summaries: readonly Summary[], options: ExplainOptions): Explanation[] {
    const cells = summaries.flatMap(summary => summary.lost).filter(cell => isWanted(cell, options));
    const incidents = summaries.flatMap(summary => summary.incidents);
    const flooder = findFlooder(summaries.flatMap(summary => summary.teams));
    const groups = new Map<string, Group>();
    for (const cell of cells) {
        const { kind, subject } = attributeCell(cell, incidents, flooder);
        const key = `${kind}/${subject}`;
        const group = groups.get(key) ?? { kind, subject, cells: [] };
        group.cells.push(cell);
        groups.set(key, group);
    }
    return [...groups.values()]
        .map(group => createExplanation(group, options))
        .sort((left, right) => right.worth - left.worth || right.lost - left.lost);
}

function isWanted(cell: LostCell, options: ExplainOptions): boolean {
    const isTeam = options.team === undefined || cell.team === options.team;
    return isTeam && (options.rank === undefined || cell.rank === options.rank);
}

/** Sums the load of each team, and finds the one furthest over its weighted share. */
function findFlooder(loads: readonly TeamLoad[]): string {
    const sums = new Map<string, TeamLoad>();
    for (const load of loads) {
        const sum = sums.get(load.team);
        sums.set(load.team, sum === undefined ? { ...load } : { ...sum, cost: sum.cost + load.cost });
    }
    const teams = [...sums.values()];
    const totalCost = teams.reduce((sum, team) => sum + team.cost, 0);
    const totalWeight = teams.reduce((sum, team) => sum + team.weight, 0);
    const excess = (team: TeamLoad): number => team.cost / ((totalCost * team.weight) / totalWeight);
    const most = teams.sort((left, right) => excess(right) - excess(left))[0];
    return most !== undefined && (teams.length === 1 || excess(most) >= FLOOD_FACTOR) ? most.team : "";
}

type Attribution = Pick<Group, "kind" | "subject">;

function attributeCell(cell: LostCell, incidents: readonly Incident[], flooder: string): Attribution {
    return match(cell.cause)
        .with(Cause.Overload, Cause.TeamOverShare, Cause.RouterFull, () => attributeOverload(cell, incidents, flooder))
        .with(Cause.EndpointSlow, Cause.Late, () => ({ kind: ExplanationKind.EndpointSlow, subject: cell.subject }))
        .with(Cause.EndpointLost, Cause.EndpointFailed, Cause.AnswerCut, Cause.AnswerMismatched, Cause.AnswerGone, () =>
            attributeEndpoint(cell, incidents),
        )
        .with(Cause.EndpointDraining, () => ({ kind: ExplanationKind.EndpointLost, subject: cell.subject }))
        .with(Cause.CrashSuspected, () => ({ kind: ExplanationKind.CrashingRequest, subject: cell.subject }))
        .with(Cause.PlatformUnavailable, Cause.ClaimUncertain, Cause.ClaimStoreFull, () => ({
            kind: ExplanationKind.PlatformOutage,
            subject: "key-value service",
        }))
        .with(Cause.NoEndpoint, Cause.NoDocument, () => attributeAbsence(incidents))
        .with(Cause.RouterDraining, () => ({ kind: ExplanationKind.RouterStopped, subject: cell.subject }))
        .otherwise(() => ({ kind: ExplanationKind.Other, subject: cell.cause }));
}

function attributeOverload(cell: LostCell, incidents: readonly Incident[], flooder: string): Attribution {
    const rebalancing = findIncident(incidents, IncidentKind.Rebalancing);
    if (flooder !== "") {
        return { kind: ExplanationKind.Flood, subject: flooder };
    }
    const lost =
        findIncident(incidents, IncidentKind.EndpointLost) ?? findIncident(incidents, IncidentKind.EndpointCrashed);
    if (lost !== undefined) {
        return { kind: ExplanationKind.EndpointLost, subject: lost.subject };
    }
    if (rebalancing !== undefined) {
        return { kind: ExplanationKind.Rebalancing, subject: rebalancing.subject };
    }
    return { kind: ExplanationKind.Flood, subject: cell.team };
}

function attributeEndpoint(cell: LostCell, incidents: readonly Incident[]): Attribution {
    const cut = findIncident(incidents, IncidentKind.ZoneCut);
    if (cut !== undefined) {
        return { kind: ExplanationKind.ZoneCut, subject: cut.subject };
    }
    return { kind: ExplanationKind.EndpointLost, subject: cell.subject };
}

function attributeAbsence(incidents: readonly Incident[]): Attribution {
    const document = findIncident(incidents, IncidentKind.DocumentApplied);
    const cut = findIncident(incidents, IncidentKind.ZoneCut);
    if (cut !== undefined) {
        return { kind: ExplanationKind.ZoneCut, subject: cut.subject };
    }
    if (document !== undefined) {
        return { kind: ExplanationKind.DocumentChange, subject: document.subject };
    }
    return { kind: ExplanationKind.NoEndpoint, subject: "" };
}

function findIncident(incidents: readonly Incident[], kind: IncidentKind): Incident | undefined {
    return [...incidents].sort((left, right) => right.count - left.count).find(incident => incident.kind === kind);
}

function createExplanation(group: Group, options: ExplainOptions): Explanation {
    const lost = group.cells.reduce((sum, cell) => sum + cell.count, 0);
    const urgentCells = group.cells.filter(cell => cell.rank === WorkRank.Urgent);
    const lostUrgent = urgentCells.reduce((sum, cell) => sum + cell.count, 0);
    const worth = group.cells.reduce((sum, cell) => sum + cell.count * getWorth(cell, options), 0);
    const traces = group.cells.flatMap(cell => cell.traces).slice(0, MAX_TRACES);
    const text = describeGroup(group, lost, lostUrgent);
    return { kind: group.kind, subject: group.subject, lostUrgent, lost, worth, text, traces };
}

function getWorth(cell: LostCell, options: ExplainOptions): number {
    return cell.rank === "none" ? 1 : options.worth[cell.rank];
}

function describeGroup(group: Group, lost: number, lostUrgent: number): string {
    const reason = match(group.kind)
        .with(ExplanationKind.Flood, () => `team ${group.subject} asked for far more than its share`)
        .with(ExplanationKind.EndpointSlow, () => `endpoint ${group.subject} answered slowly`)
        .with(ExplanationKind.EndpointLost, () => `endpoint ${group.subject} was lost or gave no whole answers`)
        .with(ExplanationKind.CrashingRequest, () => `a request of team ${group.subject} crashed its endpoints`)
        .with(ExplanationKind.PlatformOutage, () => `the platform's ${group.subject} could not be reached`)
        .with(ExplanationKind.ZoneCut, () => `availability zone ${group.subject} was cut off`)
        .with(ExplanationKind.DocumentChange, () => `document version ${group.subject} came into force`)
        .with(ExplanationKind.Rebalancing, () => `group ${group.subject} moved experts`)
        .with(ExplanationKind.NoEndpoint, () => "no endpoint took new work")
        .with(ExplanationKind.RouterStopped, () => "a host was stopped")
        .with(ExplanationKind.Other, () => `cause ${group.subject}`)
        .exhaustive();
    return `${reason}: ${lost} requests lost, ${lostUrgent} of them urgent`;
}
