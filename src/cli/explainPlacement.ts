import { PlacementDecision, type PlacementQuery, type PlacementReport } from "../direct/placement/index.js";
import { ExitCode } from "../utils/program.js";
import type { CommandOptions, CommandResult } from "./commands.js";

/** Digits of a score that are shown; smaller differences are chance. */
const SCORE_DIGITS = 3;

/**
 * Shows where a request would go now, as a direct router sees it.
 * @param options - URL of the request, its headers and the router.
 */
export async function explainPlacement(options: CommandOptions): Promise<CommandResult> {
    const report = await options.getPlacementClient().explainPlacement(buildQuery(options));
    return {
        code: report.decision === PlacementDecision.Refused ? ExitCode.Failed : ExitCode.Done,
        lines: formatReport(report),
        value: report,
    };
}

function buildQuery({ input, headers, teamKey }: CommandOptions): PlacementQuery {
    const [text] = input;
    if (text === undefined || !URL.canParse(text)) {
        throw new Error("expected the URL of the request, such as http://shop.example/stock/1");
    }
    const url = new URL(text);
    return { host: url.host, path: `${url.pathname}${url.search}`, teamKey, headers: headers.map(parseHeader) };
}

function parseHeader(text: string): [string, string] {
    const colon = text.indexOf(":");
    if (colon < 1) {
        throw new Error(`expected a header as "NAME: VALUE", got "${text}"`);
    }
    return [text.slice(0, colon).trim(), text.slice(colon + 1).trim()];
}

function formatReport(report: PlacementReport): string[] {
    const { route, service, team, documentVersion } = report;
    const target = route === undefined ? "no route" : `route ${route}, service ${service ?? ""}`;
    return [
        `${target}, ${team === undefined ? "no team" : `team ${team}`} (version ${documentVersion})`,
        formatDecision(report),
        ...report.candidates.map(({ endpoint, zone, score, isBackingOff }) => {
            const state = isBackingOff ? ", has failed recently" : "";
            return `  candidate ${endpoint} in ${zone}: score ${score.toFixed(SCORE_DIGITS)}${state}`;
        }),
        ...report.excluded.map(
            ({ endpoint, zone, reasons }) => `  excluded ${endpoint} in ${zone}: ${reasons.join(", ")}`,
        ),
    ];
}

function formatDecision({ decision, endpoint, waitsFor, maxWaitMs, refusal }: PlacementReport): string {
    if (decision === PlacementDecision.Sent) {
        return `would be sent to ${endpoint ?? ""}`;
    }
    if (decision === PlacementDecision.Waits) {
        const limit = maxWaitMs === undefined ? "" : `, for ${Math.round(maxWaitMs)} ms at the most`;
        return `would wait for ${waitsFor ?? ""}${limit}`;
    }
    const delay =
        refusal?.retryAfterMs === undefined ? "no delay" : `a delay of ${Math.round(refusal.retryAfterMs)} ms`;
    return `would be refused with ${refusal?.status ?? ""} ${refusal?.cause ?? ""} and ${delay}: ${refusal?.detail ?? ""}`;
}
