/** One fault of a settings file or document, with its place. */
export interface Finding {
    file: string;
    /** Line, from 1. */
    line: number;
    /** Column, from 1. */
    column: number;
    /** Path of keys, such as `teams[0].weight`. */
    path: string;
    expected: string;
    found: string;
}

/**
 * Formats a finding as one line of text.
 * @param finding - Finding to format.
 */
export function formatFinding(finding: Finding): string {
    const place = `${finding.file}:${finding.line}:${finding.column}`;
    return `${place} ${finding.path}: expected ${finding.expected}, found ${finding.found}`;
}
