import type { OutageOutlook } from "../../scheduling/index.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { RoutedExchange } from "../DirectExchange.js";

/** Learns how long streams take, to tell by when a waiting request must be sent. */
export interface StreamDurations {
    /** Records a stream that has ended completely. */
    recordAnswer(exchange: RoutedExchange): void;
    getDurations(service: string): Pick<OutageOutlook, "firstEventMs" | "runMs">;
}

/** Durations that are assumed before the first answer, in milliseconds. */
const USUAL_FIRST_EVENT_MS = 200;
const USUAL_RUN_MS = 1_000;
/** Weight of the newest stream; the average covers about the last hundred. */
const SMOOTHING = 0.02;
/**
 * Factor from the average time to the first event to that after an outage, when a whole batch of prompts is read at once, and
 * its bounds, in milliseconds.
 */
const FIRST_EVENT_FACTOR = 2;
const MIN_FIRST_EVENT_MS = 200;
const MAX_FIRST_EVENT_MS = 600;

/** Creates durations with assumed values. */
export function createStreamDurations(): StreamDurations {
    const averages = new Map<string, { firstEventMs: number; runMs: number }>();
    return {
        recordAnswer({ service, attempts, arrivedAt, firstByteAt }) {
            const last = attempts.at(-1);
            if (last === undefined || firstByteAt === undefined || attempts.length > 1) {
                return;
            }
            const sentAt = arrivedAt + last.sentAfterMs;
            const { firstEventMs, runMs } = getAverage(service);
            averages.set(service, {
                firstEventMs: firstEventMs + SMOOTHING * (firstByteAt - sentAt - firstEventMs),
                runMs: runMs + SMOOTHING * (readMonotonicMs() - sentAt - runMs),
            });
        },
        getDurations(service) {
            const { firstEventMs, runMs } = getAverage(service);
            const bounded = Math.max(MIN_FIRST_EVENT_MS, firstEventMs * FIRST_EVENT_FACTOR);
            return { firstEventMs: Math.min(MAX_FIRST_EVENT_MS, bounded), runMs };
        },
    };

    function getAverage(service: string): { firstEventMs: number; runMs: number } {
        return averages.get(service) ?? { firstEventMs: USUAL_FIRST_EVENT_MS, runMs: USUAL_RUN_MS };
    }
}
