/** A figure that is held against a bound. */
export interface BoundCheck {
    name: string;
    value: number;
    /** Bound from the stated target. */
    bound: number;
    isUpper: boolean;
}

/** Result of a benchmark. */
export interface BenchReport {
    name: string;
    seed: number;
    columns: string[];
    rows: (string | number)[][];
    checks: BoundCheck[];
}

/** A benchmark. */
export type Bench = (seed: number) => Promise<BenchReport> | BenchReport;

/**
 * Tells whether a figure keeps its bound.
 * @param check - Figure and bound.
 */
export function isMet(check: BoundCheck): boolean {
    return check.isUpper ? check.value <= check.bound : check.value >= check.bound;
}

/**
 * Formats a report as text.
 * @param report - Report.
 */
export function formatReport(report: BenchReport): string {
    const table = [report.columns, ...report.rows.map(row => row.map(formatCell))];
    const widths = report.columns.map((unused, column) => Math.max(...table.map(row => (row[column] ?? "").length)));
    const lines = table.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  "));
    const checks = report.checks.map(check => {
        const sign = check.isUpper ? "<=" : ">=";
        const verdict = isMet(check) ? "kept  " : "MISSED";
        return `${verdict} ${check.name}: ${formatCell(check.value)} ${sign} ${formatCell(check.bound)}`;
    });
    return [`${report.name} (seed ${report.seed})`, ...lines, ...checks].join("\n");
}

/**
 * Formats a report as a page that a browser shows.
 * @param report - Report.
 */
export function formatHtml(report: BenchReport): string {
    const cells = (row: (string | number)[], tag: string): string =>
        `<tr>${row.map(cell => `<${tag}>${formatCell(cell)}</${tag}>`).join("")}</tr>`;
    const body = report.rows.map(row => cells(row, "td")).join("");
    const checks = report.checks.map(check => {
        const sign = check.isUpper ? "&le;" : "&ge;";
        return `<li class="${isMet(check)}">${check.name}: ${formatCell(check.value)} ${sign} ${check.bound}</li>`;
    });
    const style = "body{font:14px sans-serif}td,th{padding:4px 12px;text-align:left}.false{color:#b00}";
    return `<!doctype html><meta charset="utf-8"><title>${report.name}</title><style>${style}</style>
<h1>${report.name}, seed ${report.seed}</h1><table>${cells(report.columns, "th")}${body}</table><ul>${checks.join("")}</ul>`;
}

function formatCell(cell: string | number): string {
    if (typeof cell === "string") {
        return cell;
    }
    return Number.isInteger(cell) ? String(cell) : cell.toFixed(3);
}
