import t from "tap";
import { type PaceLoad, runPaceSimulation } from "../../bench/scheduling/paceSimulation.js";
import { type ConcurrencyLimiter, createConcurrencyLimiter } from "../../src/scheduling/index.js";

const WINDOW_MS = 400;
const PAUSES = 40;
const MAX_PAUSE_MS = 120;
/** The accepted pause less an eighth, by which pass durations vary. */
const TARGET_PAUSE_MS = 0.88 * MAX_PAUSE_MS;

/** Records the pauses of one window, and the first one of the next. */
function recordWindow(pace: ConcurrencyLimiter, from: number, pauseMs: number, usedPart = 1): void {
    for (let pause = 0; pause <= PAUSES; pause++) {
        pace.recordPause(pauseMs, MAX_PAUSE_MS, {
            service: "llm",
            now: from + (pause === PAUSES ? WINDOW_MS : 0),
            getUsedShare: () => usedPart,
            fixedShare: 0.5,
        });
    }
}

t.test("too long pauses limit the slots so that the predicted pause meets the target", t => {
    const pace = createConcurrencyLimiter();
    recordWindow(pace, 0, 100);
    t.equal(pace.getAllowedShare("llm", WINDOW_MS), undefined, "in time");
    recordWindow(pace, WINDOW_MS, 132);
    const allowed = pace.getAllowedShare("llm", 2 * WINDOW_MS) ?? 1;
    const predictedMs = 132 * (0.5 + 0.5 * allowed);
    t.ok(Math.abs(predictedMs - TARGET_PAUSE_MS) < 1, `${predictedMs.toFixed(0)} ms`);
    t.equal(pace.getAllowedShare("other", 2 * WINDOW_MS), undefined);
    t.end();
});

t.test("the lowest share of the recent windows applies, and old windows expire", t => {
    const pace = createConcurrencyLimiter();
    recordWindow(pace, 0, 132);
    const first = pace.getAllowedShare("llm", WINDOW_MS);
    recordWindow(pace, WINDOW_MS, 80, 0.6);
    t.equal(pace.getAllowedShare("llm", 2 * WINDOW_MS), first);
    for (let window = 2; window < 9; window++) {
        recordWindow(pace, window * WINDOW_MS, 80, 0.6);
    }
    t.equal(pace.getAllowedShare("llm", 9 * WINDOW_MS), undefined);
    recordWindow(pace, 9 * WINDOW_MS, 132);
    t.equal(pace.getAllowedShare("llm", 30 * WINDOW_MS), undefined);
    t.end();
});

t.test("no limit is set if half of the slots would not suffice", t => {
    const pace = createConcurrencyLimiter();
    recordWindow(pace, 0, 700);
    t.equal(pace.getAllowedShare("llm", WINDOW_MS), undefined);
    t.end();
});

/** A group whose full batches take a tenth longer than callers accept, with a third more load than it serves in time. */
const LOAD: PaceLoad = {
    seed: 1,
    slots: 500,
    emptyPassMs: 60,
    fullPassMs: 132,
    passes: 24,
    perSecond: 220,
    durationMs: 30_000,
    targetMs: 400,
    maxPauseMs: MAX_PAUSE_MS,
    isControlled: true,
};

t.test("under overload most requests are in time with the limiter, and nearly all late without it", t => {
    const without = runPaceSimulation({ ...LOAD, isControlled: false });
    const controlled = runPaceSimulation(LOAD);
    t.ok(without.inTime < 0.2, `${without.inTime.toFixed(2)} in time without the limiter`);
    t.ok(controlled.inTime > 0.5, `${controlled.inTime.toFixed(2)} in time with the limiter`);
    t.end();
});

t.test("without overload almost no requests are refused", t => {
    const light = runPaceSimulation({ ...LOAD, perSecond: 120 });
    t.ok(light.refused < 0.01);
    t.ok(light.inTime > 0.95);
    t.end();
});
