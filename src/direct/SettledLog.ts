import { Cause } from "../protocol/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import type { SettledDirectExchange } from "./CallerServer.js";
import type { ExchangeAttempt } from "./DirectExchange.js";

/** Log of what became of requests. */
export interface SettledLog {
    logSettled(settled: SettledDirectExchange): void;
}

/** Lines a second for requests that went well; what is left out is counted in the next line. */
const LINES_PER_SECOND = 20;
const MS_PER_SECOND = 1_000;

/**
 * Creates the log: a line for every request that failed or was late, and a sample of the others.
 * @param logger - Log of the process.
 */
export function createSettledLog(logger: Logger): SettledLog {
    let windowStart = 0;
    let lines = 0;
    let leftOut = 0;
    return { logSettled };

    function logSettled(settled: SettledDirectExchange): void {
        const { exchange, refusal, endedAt } = settled;
        const cause = refusal?.cause ?? exchange.failure ?? (exchange.isCallerGone ? Cause.CallerGone : Cause.None);
        const isFine = cause === Cause.None && exchange.attempts.length === 1;
        if (isFine && !takeLine(endedAt)) {
            leftOut++;
            return;
        }
        const event = cause === Cause.None ? EventId.RequestAnswered : EventId.RequestRefused;
        logger.logEvent(event, {
            attempt: exchange.id,
            route: exchange.route?.name,
            team: exchange.team?.name,
            version: exchange.index.document.version,
            status: exchange.response.headersSent ? exchange.response.statusCode : undefined,
            outcome: refusal?.outcome,
            cause,
            detail: refusal?.detail,
            retryAfterMs: refusal?.retryAfterMs,
            firstByteMs:
                exchange.firstByteAt === undefined ? undefined : Math.round(exchange.firstByteAt - exchange.arrivedAt),
            lastedMs: Math.round(endedAt - exchange.arrivedAt),
            events: exchange.events,
            sends: exchange.attempts.map(describeAttempt).join("; "),
            leftOut,
        });
        leftOut = 0;
    }

    function takeLine(now: number): boolean {
        if (now - windowStart >= MS_PER_SECOND) {
            windowStart = now;
            lines = 0;
        }
        lines++;
        return lines <= LINES_PER_SECOND;
    }
}

function describeAttempt(attempt: ExchangeAttempt): string {
    return `${attempt.endpoint} after ${attempt.sentAfterMs} ms: ${attempt.result}, ${attempt.lastedMs} ms`;
}
