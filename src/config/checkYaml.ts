import { LineCounter, type Document, isNode, parseDocument } from "yaml";
import type { z } from "zod";
import type { Finding } from "./Finding.js";

/** Result of a check: a value, or all findings. */
export interface Checked<T> {
    value: T | undefined;
    findings: Finding[];
}

/** A further check across the parts of a valid value. */
export type CrossCheck<T> = (value: T, report: (path: PropertyKey[], expected: string, found: string) => void) => void;

const MAX_FOUND_LENGTH = 60;
const MAX_ALIASES = 0;

/**
 * Checks a YAML text against a schema, and collects every finding.
 * @param file - Name used in the findings.
 * @param text - YAML text.
 * @param schema - Schema of the value.
 * @param crossCheck - Checks that span several parts of the value.
 */
export function checkYaml<T>(file: string, text: string, schema: z.ZodType<T>, crossCheck?: CrossCheck<T>): Checked<T> {
    const lineCounter = new LineCounter();
    const yaml = parseDocument(text, { lineCounter, uniqueKeys: true });
    const findings: Finding[] = yaml.errors.map(error => ({
        ...locate(error.pos[0]),
        path: "(syntax)",
        expected: "well-formed YAML",
        found: error.message.split("\n")[0] ?? error.code,
    }));
    if (findings.length > 0) {
        return { value: undefined, findings };
    }
    const raw = readRawValue();
    const parsed = schema.safeParse(raw);
    if (!parsed.success) {
        for (const issue of parsed.error.issues) {
            addFinding(issue.path, describeExpected(issue), describeFound(readPath(raw, issue.path)));
        }
        return { value: undefined, findings };
    }
    crossCheck?.(parsed.data, addFinding);
    return { value: findings.length === 0 ? parsed.data : undefined, findings };

    function readRawValue(): unknown {
        try {
            return yaml.toJS({ maxAliasCount: MAX_ALIASES });
        } catch (error) {
            return String(error);
        }
    }

    function addFinding(path: PropertyKey[], expected: string, found: string): void {
        findings.push({ ...locate(findOffset(yaml, path)), path: formatPath(path), expected, found });
    }

    function locate(offset: number): Pick<Finding, "file" | "line" | "column"> {
        const place = lineCounter.linePos(offset);
        return { file, line: Math.max(1, place.line), column: Math.max(1, place.col) };
    }
}

function findOffset(yaml: Document, path: PropertyKey[]): number {
    for (let length = path.length; length > 0; length--) {
        const node = yaml.getIn(path.slice(0, length), true);
        if (isNode(node) && node.range) {
            return node.range[0];
        }
    }
    return 0;
}

function formatPath(path: PropertyKey[]): string {
    const text = path.map(key => (typeof key === "number" ? `[${key}]` : `.${String(key)}`)).join("");
    return text === "" ? "(document)" : text.replace(/^\./, "");
}

function readPath(value: unknown, path: PropertyKey[]): unknown {
    let current = value;
    for (const key of path) {
        if (typeof current !== "object" || !current) {
            return undefined;
        }
        current = (current as Record<PropertyKey, unknown>)[key];
    }
    return current;
}

function describeExpected(issue: z.core.$ZodIssue): string {
    if (issue.code === "unrecognized_keys") {
        return `only known keys (not ${issue.keys.join(", ")})`;
    }
    return issue.message.replace(/^Invalid (input|option): expected /, "").replace(/, received .*$/, "");
}

function describeFound(value: unknown): string {
    if (value === undefined) {
        return "nothing";
    }
    const text = JSON.stringify(value);
    return text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}...` : text;
}
