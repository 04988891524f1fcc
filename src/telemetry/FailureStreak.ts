import { readMonotonicMs } from "../utils/time.js";
import { EventId } from "./EventId.js";
import type { Logger } from "./logger.js";

/** Logs the failures of a task that is repeated often: the first of a streak, and then one in a while with their number. */
export interface FailureStreak {
    recordFailure(error: unknown): void;
    /** Ends the streak, so that the next failure is logged at once. */
    recordSuccess(): void;
}

/** Time between two lines of one streak, in milliseconds. */
const LOG_INTERVAL_MS = 10_000;

/**
 * Creates the log of a task without failures.
 * @param logger - Log of the process.
 * @param task - Name of the task.
 */
export function createFailureStreak(logger: Logger, task: string): FailureStreak {
    let failures = 0;
    let loggedAt = Number.NEGATIVE_INFINITY;
    return {
        recordFailure(error) {
            failures++;
            const now = readMonotonicMs();
            if (failures === 1 || now - loggedAt >= LOG_INTERVAL_MS) {
                loggedAt = now;
                logger.logFailure(EventId.TaskFailed, error, { task, failures });
            }
        },
        recordSuccess() {
            failures = 0;
        },
    };
}
