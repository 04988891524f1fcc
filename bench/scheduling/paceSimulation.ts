import { createConcurrencyLimiter } from "../../src/scheduling/index.js";
import { type Random, createRandom } from "./Random.js";

/** Load on a group whose ranks run in lockstep. */
export interface PaceLoad {
    seed: number;
    /** Number of requests in all batches. */
    slots: number;
    /** Duration of a pass with no slots in use and with all slots in use, in milliseconds. */
    emptyPassMs: number;
    fullPassMs: number;
    /** Number of passes per stream. */
    passes: number;
    /** Requests per second. */
    perSecond: number;
    durationMs: number;
    /** Limits of the time to the first event and between events, in milliseconds. */
    targetMs: number;
    maxPauseMs: number;
    isControlled: boolean;
}

/** Results as shares of the requests. */
export interface PaceResult {
    inTime: number;
    late: number;
    refused: number;
}

interface Stream {
    arrivedAt: number;
    passesLeft: number;
    isLate: boolean;
    hasStarted: boolean;
}

/**
 * Simulates a load pass by pass. Without the limiter, requests queue in the engines without limit; with it, they are
 * refused once they can no longer meet the target.
 * @param load - Group and load.
 */
export function runPaceSimulation(load: PaceLoad): PaceResult {
    const random: Random = createRandom(load.seed);
    const pace = createConcurrencyLimiter();
    const meanGapMs = 1_000 / load.perSecond;
    let waiting: Stream[] = [];
    let running: Stream[] = [];
    let nextArrival = random.drawExponential(meanGapMs);
    const counts = { inTime: 0, late: 0, refused: 0 };
    for (let now = 0; now < load.durationMs;) {
        for (; nextArrival <= now; nextArrival += random.drawExponential(meanGapMs)) {
            waiting.push({ arrivedAt: nextArrival, passesLeft: load.passes, isLate: false, hasStarted: false });
        }
        const part = load.isControlled ? (pace.getAllowedShare("llm", now) ?? 1) : 1;
        if (load.isControlled) {
            const oldest = now - load.targetMs + load.maxPauseMs;
            counts.refused += waiting.filter(stream => stream.arrivedAt < oldest).length;
            waiting = waiting.filter(stream => stream.arrivedAt >= oldest);
        }
        running = [...running, ...waiting.splice(0, Math.max(0, Math.floor(load.slots * part) - running.length))];
        const passMs = load.emptyPassMs + ((load.fullPassMs - load.emptyPassMs) * running.length) / load.slots;
        now += passMs;
        running.forEach(stream => runPass(stream, passMs, now));
        const ended = running.filter(stream => stream.passesLeft === 0);
        running = running.filter(stream => stream.passesLeft > 0);
        counts.late += ended.filter(stream => stream.isLate).length;
        counts.inTime += ended.filter(stream => !stream.isLate).length;
    }
    const total = counts.inTime + counts.late + counts.refused;
    return { inTime: counts.inTime / total, late: counts.late / total, refused: counts.refused / total };

    function runPass(stream: Stream, passMs: number, now: number): void {
        if (stream.hasStarted) {
            pace.recordPause(passMs, load.maxPauseMs, {
                service: "llm",
                now,
                getUsedShare: () => running.length / load.slots,
                fixedShare: load.emptyPassMs / load.fullPassMs,
            });
            stream.isLate ||= passMs > load.maxPauseMs;
        }
        stream.isLate ||= !stream.hasStarted && now - stream.arrivedAt > load.targetMs;
        stream.hasStarted = true;
        stream.passesLeft--;
    }
}
