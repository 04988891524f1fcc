import { EventId } from "../telemetry/EventId.js";
import type { Logger } from "../telemetry/logger.js";
import { MS_PER_SECOND, readMonotonicMs } from "../utils/time.js";
import type { CallerLimit } from "./CallerLimits.js";
import type { ReportLimit } from "./CallerMemory.js";

const BYTES_PER_MIB = 1_024 * 1_024;

/**
 * Creates the report of the limits that callers reach: a counter, and for each limit at most one log line a second, which
 * tells how often it was reached since the last one.
 * @param logger - Log of the process.
 * @param count - Counts one.
 */
export function createLimitReport(logger: Logger, count: (limit: CallerLimit) => void): ReportLimit {
    const lines = new Map<CallerLimit, { at: number; omitted: number }>();
    return (limit, heldBytes) => {
        count(limit);
        const now = readMonotonicMs();
        const last = lines.get(limit);
        if (last !== undefined && now - last.at < MS_PER_SECOND) {
            last.omitted++;
            return;
        }
        const times = 1 + (last?.omitted ?? 0);
        lines.set(limit, { at: now, omitted: 0 });
        logger.logEvent(EventId.CallerLimitReached, { limit, times, heldMb: Math.round(heldBytes / BYTES_PER_MIB) });
    };
}
