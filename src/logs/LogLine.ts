import { EventId } from "../telemetry/EventId.js";

/** A line of a process's log. */
export interface LogLine {
    /** Wall-clock time in milliseconds. */
    at: number;
    event: EventId;
    host: string;
    facts: Record<string, unknown>;
}

/** Lines of logs, and how many could not be read. */
export interface ReadLog {
    lines: LogLine[];
    unreadable: number;
}

/**
 * Reads log lines. Text before a line's JSON, such as a collector's own time, is left out.
 * @param text - Lines of one or several processes, in any order.
 */
export function readLogLines(text: string): ReadLog {
    const lines: LogLine[] = [];
    let unreadable = 0;
    for (const raw of text.split("\n").filter(line => line.includes("{"))) {
        const line = parseLine(raw.slice(raw.indexOf("{")));
        if (line === undefined) {
            unreadable++;
        } else {
            lines.push(line);
        }
    }
    lines.sort((left, right) => left.at - right.at);
    return { lines, unreadable };
}

function parseLine(text: string): LogLine | undefined {
    let parsed: Record<string, unknown>;
    try {
        parsed = JSON.parse(text) as Record<string, unknown>;
    } catch {
        // Counted by the caller: a line of another program, or one that was cut.
        return undefined;
    }
    const { time, event, host, ...facts } = parsed;
    const at = Date.parse(String(time));
    const isKnown = typeof event === "number" && EventId[event] !== undefined;
    return isKnown && Number.isFinite(at) ? { at, event, host: String(host), facts } : undefined;
}
