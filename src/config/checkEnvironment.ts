import { type Checked, type CrossCheck, checkYaml } from "./checkYaml.js";
import { type EnvironmentDocument, environmentSchema } from "./EnvironmentDocument.js";
import { WORK_RANKS } from "./WorkRank.js";

/** Largest accepted document, in bytes. */
export const MAX_DOCUMENT_BYTES = 900_000;

/**
 * Checks the text of an environment document as a whole.
 * @param file - Name used in the findings.
 * @param text - YAML text.
 */
export function checkEnvironment(file: string, text: string): Checked<EnvironmentDocument> {
    if (Buffer.byteLength(text) > MAX_DOCUMENT_BYTES) {
        const finding = { file, line: 1, column: 1, path: "(document)" };
        const expected = `at most ${MAX_DOCUMENT_BYTES} bytes`;
        return { value: undefined, findings: [{ ...finding, expected, found: `${Buffer.byteLength(text)} bytes` }] };
    }
    return checkYaml<EnvironmentDocument>(file, text, environmentSchema as never, checkReferences);
}

const checkReferences: CrossCheck<EnvironmentDocument> = (document, report) => {
    const floors = WORK_RANKS.reduce((sum, rank) => sum + document.ranks[rank].floor, 0);
    if (floors > 1) {
        report(["ranks"], "floors that sum to at most 1", String(floors));
    }
    checkUnique(
        "teams",
        document.teams.map(team => team.name),
        report,
    );
    checkUnique(
        "models",
        document.models.map(model => model.name),
        report,
    );
    checkUnique(
        "services",
        document.services.map(service => service.name),
        report,
    );
    checkUnique(
        "groups",
        document.groups.map(group => group.name),
        report,
    );
    checkKeys(document, report);
    const models = new Set(document.models.map(model => model.name));
    const teams = new Set(document.teams.map(team => team.name));
    document.rules.forEach((rule, index) => {
        if (rule.model !== undefined && !models.has(rule.model)) {
            report(["rules", index, "model"], "a model of the document", rule.model);
        }
        if (rule.team !== undefined && !teams.has(rule.team)) {
            report(["rules", index, "team"], "a team of the document", rule.team);
        }
    });
    document.groups.forEach((group, index) => {
        if (!models.has(group.model)) {
            report(["groups", index, "model"], "a model of the document", group.model);
        }
        if (group.ranks * group.slotsPerRank < group.experts) {
            const slots = `${group.ranks * group.slotsPerRank} slots`;
            report(["groups", index, "slotsPerRank"], `slots for ${group.experts} experts`, slots);
        }
    });
};

type Report = Parameters<CrossCheck<EnvironmentDocument>>[1];

function checkUnique(section: string, names: string[], report: Report): void {
    const seen = new Set<string>();
    names.forEach((name, index) => {
        if (seen.has(name)) {
            report([section, index, "name"], "a name used once", name);
        }
        seen.add(name);
    });
}

function checkKeys(document: EnvironmentDocument, report: Report): void {
    const owners = new Map<string, string>();
    document.teams.forEach((team, index) => {
        team.keyDigests.forEach((digest, place) => {
            const owner = owners.get(digest);
            if (owner !== undefined) {
                report(["teams", index, "keyDigests", place], "a key of one team only", `the key of ${owner}`);
            }
            owners.set(digest, team.name);
        });
    });
}
