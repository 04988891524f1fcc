import { Cause } from "../protocol/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import type { SettledDirectExchange } from "./CallerServer.js";
import { type ExchangeAttempt, isAnswerLate, isRouted } from "./DirectExchange.js";
import { MS_PER_SECOND } from "../utils/time.js";

/** Log of what became of requests. */
export interface SettledLog {
    logSettled(settled: SettledDirectExchange): void;
}

/** Lines a second for requests that went well, and for those that were late; what is left out is counted in the next line. */
const LINES_PER_SECOND = 20;

/**
 * Creates the log: a line for every request that failed or was late, and a sample of the others.
 * @param logger - Log of the process.
 */
export function createSettledLog(logger: Logger): SettledLog {
    const fine = createAllowance();
    const late = createAllowance();
    let leftOut = 0;
    return { logSettled };

    function logSettled(settled: SettledDirectExchange): void {
        const { exchange, refusal, endedAt } = settled;
        const cause = getSettledCause(settled);
        const isFine = cause === Cause.None && exchange.attempts.length === 1;
        if ((isFine && !fine.takeLine(endedAt)) || (cause === Cause.Late && !late.takeLine(endedAt))) {
            leftOut++;
            return;
        }
        const event = isAnswered(cause) ? EventId.RequestAnswered : EventId.RequestRefused;
        logger.logEvent(event, {
            attempt: exchange.id,
            route: exchange.route?.name,
            team: exchange.team?.name,
            version: exchange.index.document.version,
            patienceMs: Math.round(exchange.patienceMs),
            waitedBeforeMs: Math.round(exchange.waitedBeforeMs),
            status: exchange.response.headersSent ? exchange.response.statusCode : undefined,
            outcome: refusal?.outcome,
            cause,
            detail: refusal?.detail,
            retryAfterMs: refusal?.retryAfterMs,
            firstByteMs:
                exchange.firstByteAt === undefined ? undefined : Math.round(exchange.firstByteAt - exchange.arrivedAt),
            lastedMs: Math.round(endedAt - exchange.arrivedAt),
            events: exchange.events,
            longestPauseMs: Math.round(exchange.longestPauseMs),
            sends: exchange.attempts.map(describeAttempt).join("; "),
            leftOut,
        });
        leftOut = 0;
    }
}

/**
 * Gets the reason why the caller got less than a whole answer in time.
 * @param settled - What became of the exchange.
 */
export function getSettledCause({ exchange, refusal }: SettledDirectExchange): Cause {
    const broken = refusal?.cause ?? exchange.failure ?? (exchange.isCallerGone ? Cause.CallerGone : undefined);
    if (broken !== undefined) {
        return broken;
    }
    return isRouted(exchange) && isAnswerLate(exchange) ? Cause.Late : Cause.None;
}

/**
 * Tells whether the caller got a whole answer, in time or late.
 * @param cause - Cause of a settled exchange.
 */
export function isAnswered(cause: Cause): boolean {
    return cause === Cause.None || cause === Cause.Late;
}

/** Lines that may be written in a second. */
function createAllowance(): { takeLine(now: number): boolean } {
    let windowStart = 0;
    let lines = 0;
    return {
        takeLine(now) {
            if (now - windowStart >= MS_PER_SECOND) {
                windowStart = now;
                lines = 0;
            }
            lines++;
            return lines <= LINES_PER_SECOND;
        },
    };
}

function describeAttempt(attempt: ExchangeAttempt): string {
    return `${attempt.endpoint} after ${attempt.sentAfterMs} ms: ${attempt.result}, ${attempt.lastedMs} ms, known ${attempt.knownAgeMs} ms ago`;
}
