import t from "tap";
import { type PaceLoad, playPace } from "../../bench/scheduling/paceSimulation.js";
import { type PaceControl, createPaceControl } from "../../src/scheduling/index.js";

const WINDOW_MS = 400;
const PAUSES = 40;
const MAX_PAUSE_MS = 120;
/** The accepted pause less an eighth, by which passes vary. */
const AIMED_MS = 0.88 * MAX_PAUSE_MS;

/** Notes the pauses of one window, and the first one of the next. */
function recordWindow(pace: PaceControl, from: number, pauseMs: number, usedPart = 1): void {
    for (let pause = 0; pause <= PAUSES; pause++) {
        pace.recordPause(pauseMs, MAX_PAUSE_MS, {
            service: "llm",
            now: from + (pause === PAUSES ? WINDOW_MS : 0),
            getUsedPart: () => usedPart,
            fixedPart: 0.5,
        });
    }
}

t.test("pauses that are too long limit the slots to what brings them back in time", t => {
    const pace = createPaceControl();
    recordWindow(pace, 0, 100);
    t.equal(pace.getAllowedPart("llm", WINDOW_MS), undefined, "in time");
    recordWindow(pace, WINDOW_MS, 132);
    const allowed = pace.getAllowedPart("llm", 2 * WINDOW_MS) ?? 1;
    const predictedMs = 132 * (0.5 + 0.5 * allowed);
    t.ok(Math.abs(predictedMs - AIMED_MS) < 1, `${predictedMs.toFixed(0)} ms`);
    t.equal(pace.getAllowedPart("other", 2 * WINDOW_MS), undefined);
    t.end();
});

t.test("the worst window of the last ones counts, and old pauses limit nothing", t => {
    const pace = createPaceControl();
    recordWindow(pace, 0, 132);
    const first = pace.getAllowedPart("llm", WINDOW_MS);
    recordWindow(pace, WINDOW_MS, 80, 0.6);
    t.equal(pace.getAllowedPart("llm", 2 * WINDOW_MS), first);
    for (let window = 2; window < 9; window++) {
        recordWindow(pace, window * WINDOW_MS, 80, 0.6);
    }
    t.equal(pace.getAllowedPart("llm", 9 * WINDOW_MS), undefined);
    recordWindow(pace, 9 * WINDOW_MS, 132);
    t.equal(pace.getAllowedPart("llm", 30 * WINDOW_MS), undefined);
    t.end();
});

t.test("no limit is set where half of the slots would still be too many", t => {
    const pace = createPaceControl();
    recordWindow(pace, 0, 700);
    t.equal(pace.getAllowedPart("llm", WINDOW_MS), undefined);
    t.end();
});

/** A group whose full batches take a tenth longer than callers accept, with a third more work than it serves in time. */
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

t.test("under overload most callers are served in time, where without control nearly all are late", t => {
    const without = playPace({ ...LOAD, isControlled: false });
    const controlled = playPace(LOAD);
    t.ok(without.inTime < 0.2, `${without.inTime.toFixed(2)} in time without control`);
    t.ok(controlled.inTime > 0.5, `${controlled.inTime.toFixed(2)} in time with control`);
    t.end();
});

t.test("without overload nobody is refused", t => {
    const light = playPace({ ...LOAD, perSecond: 120 });
    t.ok(light.refused < 0.01);
    t.ok(light.inTime > 0.95);
    t.end();
});
