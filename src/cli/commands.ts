import { readFileSync } from "node:fs";
import type { ChangeReport } from "../admin/promote.js";
import { ChangeStatus, createDifference } from "../admin/promote.js";
import { checkEnvironment, formatFinding } from "../config/index.js";
import { type LogSelection, explainLogs, readLogLines } from "../logs/index.js";
import { EventId } from "../telemetry/EventId.js";
import { computeKeyDigest } from "../utils/digest.js";
import { ExitCode } from "../utils/program.js";
import type { AdminClient } from "./AdminClient.js";
import type { PlacementClient } from "./PlacementClient.js";
import { explainPlacement } from "./explainPlacement.js";

/** What a command prints, and its exit code. */
export interface CommandResult {
    code: ExitCode;
    lines: string[];
    /** Value for `--json`. */
    value: unknown;
}

/** Arguments of a command. */
export interface CommandOptions {
    input: string[];
    environment: string;
    version: number | undefined;
    from: string | undefined;
    to: string | undefined;
    team: string | undefined;
    rank: string | undefined;
    /** Files of logs, or `-` for the standard input; none to ask a router. */
    logs: readonly string[];
    /** Identifier of an attempt. */
    request: string | undefined;
    /** Creates the client; only commands that need a router call it. */
    getClient: () => AdminClient;
    /** Headers of a request, as `NAME: VALUE`. */
    headers: readonly string[];
    /** Key of a team. */
    teamKey: string | undefined;
    /** Creates the client of a direct router. */
    getPlacementClient: () => PlacementClient;
}

/** A command of the command line. */
export type Command = (options: CommandOptions) => Promise<CommandResult> | CommandResult;

const HOUR_MS = 3_600_000;
const STANDARD_INPUT = 0;

/** Commands by name. */
export const COMMANDS: Record<string, Command> = {
    check: checkFile,
    diff: showDifference,
    apply: applyFile,
    promote: promoteDocument,
    status: showStatus,
    explain: options => (options.logs.length > 0 ? explainFromLogs(options) : explainPeriod(options)),
    "explain-placement": explainPlacement,
    teams: listTeams,
    drain: drainHost,
    digest: showDigest,
};

function checkFile(options: CommandOptions): CommandResult {
    const file = getArgument(options, "FILE");
    const checked = checkEnvironment(file, readFileSync(file, "utf8"));
    const isValid = checked.findings.length === 0;
    return {
        code: isValid ? ExitCode.Done : ExitCode.Failed,
        lines: isValid ? [`${file}: valid`] : checked.findings.map(formatFinding),
        value: { findings: checked.findings },
    };
}

async function showDifference(options: CommandOptions): Promise<CommandResult> {
    const file = getArgument(options, "FILE");
    const text = readFileSync(file, "utf8");
    const stored = await options.getClient().getDocument(options.environment);
    const difference = createDifference(`version ${stored.version}`, stored.text, file, text);
    return { code: ExitCode.Done, lines: [difference], value: { version: stored.version, difference } };
}

async function applyFile(options: CommandOptions): Promise<CommandResult> {
    const text = readFileSync(getArgument(options, "FILE"), "utf8");
    const baseVersion = getVersionOrThrow(options);
    return createChangeResult(await options.getClient().applyDocument(options.environment, baseVersion, text));
}

async function promoteDocument(options: CommandOptions): Promise<CommandResult> {
    const [trial, production] = options.input.map(Number);
    if (trial === undefined || production === undefined || Number.isNaN(trial + production)) {
        throw new Error("expected the versions that you saw: promote TRIAL_VERSION PRODUCTION_VERSION");
    }
    return createChangeResult(await options.getClient().promote(trial, production));
}

function createChangeResult(report: ChangeReport): CommandResult {
    const isAccepted = report.status === ChangeStatus.Accepted;
    const lines = [`${report.status}: version ${report.version}`];
    lines.push(...report.findings);
    if (report.difference !== "") {
        lines.push(report.difference);
    }
    if (isAccepted && report.inForce.length > 0) {
        lines.push(`in force at ${report.inForce.join(", ")}`);
    }
    if (report.unreachable.length > 0) {
        lines.push(`not reachable: ${report.unreachable.join(", ")}`);
    }
    if (report.behind.length > 0) {
        lines.push(`reachable, not yet in force: ${report.behind.join(", ")}`);
    }
    return { code: isAccepted ? ExitCode.Done : ExitCode.Failed, lines, value: report };
}

async function showStatus(options: CommandOptions): Promise<CommandResult> {
    const status = await options.getClient().getStatus();
    const lines = [`${status.host} in ${status.zone}: ${status.environment} version ${status.version}`];
    for (const peer of status.peers) {
        lines.push(
            `  router ${peer.host}: ${peer.version === undefined ? "not reachable" : `version ${peer.version}`}`,
        );
    }
    for (const endpoint of status.endpoints) {
        const state = endpoint.isDraining ? "draining" : endpoint.isUsable ? "live" : "silent";
        const load = `${endpoint.running} running, ${endpoint.queued} queued`;
        lines.push(`  ${endpoint.kind} ${endpoint.host} (${endpoint.name}, ${endpoint.zone}): ${state}, ${load}`);
    }
    return { code: ExitCode.Done, lines, value: status };
}

async function explainPeriod(options: CommandOptions): Promise<CommandResult> {
    const to = options.to === undefined ? Date.now() : Date.parse(options.to);
    const from = options.from === undefined ? to - HOUR_MS : Date.parse(options.from);
    const query: Record<string, string> = { from: String(from), to: String(to) };
    if (options.team !== undefined) {
        query.team = options.team;
    }
    if (options.rank !== undefined) {
        query.rank = options.rank;
    }
    const answer = await options.getClient().explain(query);
    const lines = answer.explanations.map(
        (explanation, index) => `${index + 1}. ${explanation.text}; traces ${explanation.traces.join(", ")}`,
    );
    if (lines.length === 0) {
        lines.push("nothing was lost in this period");
    }
    if (answer.isPartial) {
        lines.push("the platform could not be read: these are the figures of one host only");
    }
    return { code: ExitCode.Done, lines, value: answer };
}

function explainFromLogs(options: CommandOptions): CommandResult {
    const text = options.logs.map(file => readFileSync(file === "-" ? STANDARD_INPUT : file, "utf8")).join("\n");
    const { lines: logLines, unreadable } = readLogLines(text);
    const selection: LogSelection = {
        attempt: options.request,
        team: options.team,
        from: options.from === undefined ? undefined : Date.parse(options.from),
        to: options.to === undefined ? undefined : Date.parse(options.to),
    };
    const explanations = explainLogs(logLines, selection);
    const lines = explanations.map(
        ({ cause, requests, evidence, example }, index) =>
            `${index + 1}. ${cause}: ${requests} requests, ${evidence} lines of the system; first ` +
            `${new Date(example.at).toISOString()} ${example.host} ${EventId[example.event]} ${JSON.stringify(example.facts)}`,
    );
    if (lines.length === 0) {
        lines.push("no request of the selection was refused, failed or late");
    }
    if (unreadable > 0) {
        lines.push(`${unreadable} lines could not be read`);
    }
    return { code: ExitCode.Done, lines, value: { explanations, unreadable } };
}

async function listTeams(options: CommandOptions): Promise<CommandResult> {
    const stored = await options.getClient().getDocument(options.environment);
    const document = checkEnvironment("document", stored.text).value;
    const teams = (document?.teams ?? []).map(team => ({
        name: team.name,
        weight: team.weight,
        keys: team.keyDigests.length,
    }));
    const lines = teams.map(team => `${team.name}: weight ${team.weight}, ${team.keys} keys`);
    return { code: ExitCode.Done, lines, value: teams };
}

async function drainHost(options: CommandOptions): Promise<CommandResult> {
    const host = getArgument(options, "HOST");
    const answer = await options.getClient().drainHost(host);
    const lines = [answer.isDraining ? `${host} takes no new work` : `${host} could not be reached`];
    return { code: answer.isDraining ? ExitCode.Done : ExitCode.Failed, lines, value: answer };
}

function showDigest(options: CommandOptions): CommandResult {
    const digest = computeKeyDigest(getArgument(options, "KEY"));
    return { code: ExitCode.Done, lines: [digest], value: { digest } };
}

function getArgument(options: CommandOptions, name: string): string {
    const [argument] = options.input;
    if (argument === undefined) {
        throw new Error(`expected ${name}`);
    }
    return argument;
}

function getVersionOrThrow(options: CommandOptions): number {
    if (options.version === undefined) {
        throw new Error("expected --base VERSION, the version that you saw (0 for none)");
    }
    return options.version;
}
