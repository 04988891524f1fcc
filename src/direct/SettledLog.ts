import { Cause } from "../protocol/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import type { SettledDirectExchange } from "./CallerServer.js";
import { type ExchangeAttempt, isAnswerLate, isRouted } from "./DirectExchange.js";
import { MS_PER_SECOND } from "../utils/time.js";

/** Log of the requests that have ended. */
export interface SettledLog {
    logSettled(settled: SettledDirectExchange): void;
}

/** Lines a second for requests that succeeded at once, and for late ones; the next line tells how many were omitted. */
const MAX_LINES_PER_SECOND = 20;

/**
 * Creates the log: a line for every request that failed or was retried, and a rate-limited sample of the late ones and of
 * those that succeeded at the first attempt.
 * @param logger - Log of the process.
 */
export function createSettledLog(logger: Logger): SettledLog {
    const routineLimiter = createLineLimiter();
    const lateLimiter = createLineLimiter();
    let omittedLines = 0;
    return { logSettled };

    function logSettled(settled: SettledDirectExchange): void {
        const { exchange, refusal, endedAt, callerLeftAt } = settled;
        const cause = getSettledCause(settled);
        const isRoutine = cause === Cause.None && exchange.attempts.length === 1;
        if (
            (isRoutine && !routineLimiter.takeLine(endedAt)) ||
            (cause === Cause.Late && !lateLimiter.takeLine(endedAt))
        ) {
            omittedLines++;
            return;
        }
        const event = isAnswered(cause) ? EventId.RequestAnswered : EventId.RequestRefused;
        logger.logEvent(event, {
            attempt: exchange.id,
            route: exchange.route?.name,
            team: exchange.team?.name,
            version: exchange.index.document.version,
            patienceMs: Math.round(exchange.callerTimeoutMs),
            waitedBeforeMs: Math.round(exchange.waitedBeforeMs),
            status: exchange.response.headersSent ? exchange.response.statusCode : undefined,
            outcome: refusal?.outcome,
            cause,
            detail: refusal?.detail,
            retryAfterMs: refusal?.retryAfterMs,
            firstByteMs:
                exchange.firstByteAt === undefined ? undefined : Math.round(exchange.firstByteAt - exchange.arrivedAt),
            lastedMs: Math.round(endedAt - exchange.arrivedAt),
            callerLeftMs: callerLeftAt === undefined ? undefined : Math.round(callerLeftAt - exchange.arrivedAt),
            requestsAhead: exchange.requestsAhead,
            events: exchange.eventCount,
            longestPauseMs: Math.round(exchange.longestPauseMs),
            sends: exchange.attempts.map(describeAttempt).join("; "),
            leftOut: omittedLines,
        });
        omittedLines = 0;
    }
}

/**
 * Gets the reason why the caller did not get a complete answer in time, if so.
 * @param settled - Exchange that has ended.
 */
export function getSettledCause({ exchange, refusal }: SettledDirectExchange): Cause {
    const failureCause =
        refusal?.cause ?? exchange.failureCause ?? (exchange.isCallerGone ? Cause.CallerGone : undefined);
    if (failureCause !== undefined) {
        return failureCause;
    }
    return isRouted(exchange) && isAnswerLate(exchange) ? Cause.Late : Cause.None;
}

/**
 * Tells whether the caller got a complete answer, in time or late.
 * @param cause - Cause of an exchange that has ended.
 */
export function isAnswered(cause: Cause): boolean {
    return cause === Cause.None || cause === Cause.Late;
}

/** Limits the number of lines a second. */
function createLineLimiter(): { takeLine(now: number): boolean } {
    let windowStart = 0;
    let lines = 0;
    return {
        takeLine(now) {
            if (now - windowStart >= MS_PER_SECOND) {
                windowStart = now;
                lines = 0;
            }
            lines++;
            return lines <= MAX_LINES_PER_SECOND;
        },
    };
}

function describeAttempt(attempt: ExchangeAttempt): string {
    return `${attempt.endpoint} after ${attempt.sentAfterMs} ms: ${attempt.result}, ${attempt.durationMs} ms, known ${attempt.endpointDataAgeMs} ms ago`;
}
