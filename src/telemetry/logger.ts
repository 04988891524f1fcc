import { type ConsolaInstance, createConsola } from "consola";
import { type BoundedWriter, createBoundedWriter } from "./BoundedWriter.js";
import { EventId } from "./EventId.js";

/** Facts of a log event. */
export type EventFacts = Record<string, string | number | boolean | undefined>;

/** Writes numbered log events, one JSON object a line. */
export interface Logger {
    logEvent(event: EventId, facts?: EventFacts): void;
    logFailure(event: EventId, error: unknown, facts?: EventFacts): void;
    /** Waits until the lines are written, for a short time at most. */
    flush(): Promise<void>;
}

const LEVEL_INFO = 3;
const STANDARD_OUTPUT = 1;
/** Lines that wait for a slow reader take no more memory than this. */
const MAX_WAITING_BYTES = 1_048_576;

/**
 * Creates a logger that writes to the standard output and never waits for its reader.
 * @param host - Host written into each event.
 * @param target - Takes the lines in place of the standard output.
 */
export function createLogger(host: string, target?: BoundedWriter): Logger {
    const writer =
        target ??
        createBoundedWriter({
            descriptor: STANDARD_OUTPUT,
            maxBytes: MAX_WAITING_BYTES,
            describeDropped: lines => formatLine(EventId.LinesDropped, { lines }),
        });
    const consola: ConsolaInstance = createConsola({
        level: LEVEL_INFO,
        reporters: [{ log: entry => writer.writeLine(String(entry.args[0])) }],
    });
    return { logEvent, logFailure, flush: () => writer.flush() };

    function logEvent(event: EventId, facts: EventFacts = {}): void {
        consola.info(formatLine(event, facts));
    }

    function logFailure(event: EventId, error: unknown, facts: EventFacts = {}): void {
        const message = error instanceof Error ? error.message : String(error);
        consola.warn(formatLine(event, { error: message, ...facts }));
    }

    function formatLine(event: EventId, facts: EventFacts): string {
        return JSON.stringify({ time: new Date().toISOString(), event, name: EventId[event], host, ...facts });
    }
}
