import { type ConsolaInstance, createConsola } from "consola";
import { EventId } from "./EventId.js";

/** Facts of a log event. */
export type EventFacts = Record<string, string | number | boolean | undefined>;

/** Writes numbered log events, one JSON object a line on the standard error stream. */
export interface Logger {
    logEvent(event: EventId, facts?: EventFacts): void;
    logFailure(event: EventId, error: unknown, facts?: EventFacts): void;
}

const LEVEL_INFO = 3;

/**
 * Creates a logger.
 * @param host - Host written into each event.
 */
export function createLogger(host: string): Logger {
    const consola: ConsolaInstance = createConsola({
        level: LEVEL_INFO,
        reporters: [{ log: entry => process.stderr.write(`${JSON.stringify(entry.args[0])}\n`) }],
    });
    return { logEvent, logFailure };

    function logEvent(event: EventId, facts: EventFacts = {}): void {
        consola.info({ time: new Date().toISOString(), event, name: EventId[event], host, ...facts });
    }

    function logFailure(event: EventId, error: unknown, facts: EventFacts = {}): void {
        const message = error instanceof Error ? error.message : String(error);
        consola.warn({ time: new Date().toISOString(), event, name: EventId[event], host, error: message, ...facts });
    }
}
