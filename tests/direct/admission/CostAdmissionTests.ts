import t from "tap";
import { createCostAdmission } from "../../../src/direct/admission/index.js";
import type { RoutedExchange } from "../../../src/direct/DirectExchange.js";
import type { EndpointRecord } from "../../../src/direct/EndpointRecord.js";
import { createLoadTracker } from "../../../src/direct/LoadTracker.js";
import { createNoCapacityRefusal } from "../../../src/direct/attemptRefusals.js";
import type { DirectContext } from "../../../src/direct/DirectContext.js";
import type { RetryState } from "../../../src/direct/RetryState.js";
import { EventId } from "../../../src/telemetry/index.js";

const ENGINE = {
    slots: 2,
    stepMs: 20,
    perSequenceMs: 2,
    readTokensPerSecond: 8_000,
    usualPromptTokens: 400,
    usualAnswerTokens: 40,
    memoryTokens: 100_000,
};
const ROUTE = { name: "chat", targetMs: 400, maxPauseMs: 120, urgency: 0, shares: [{ service: "llm", weight: 1 }] };

/** Creates the admission for one endpoint whose two slots are in use. */
function startAdmission(engine: object = ENGINE) {
    const load = createLoadTracker();
    const endpoint = { id: "i-1", service: "llm", zone: "a", slots: 2 } as EndpointRecord;
    const events: EventId[] = [];
    const decisions: string[] = [];
    let draw = 0;
    const admission = createCostAdmission({
        load,
        pace: { getAllowedShare: () => undefined },
        limiter: { drawOpen: endpoints => [...endpoints], previewOpen: endpoints => [...endpoints] },
        candidates: { listCandidates: () => [endpoint], assessEndpoints: () => [] },
        getFirstEventMs: () => 100,
        getSpreadMs: () => 100,
        hasPeers: () => true,
        drawRandom: () => draw,
        onDecision: (service, decision) => decisions.push(decision),
        logger: { logEvent: event => events.push(event) },
    });
    load.startRequest("i-1");
    load.startRequest("i-1");
    return { admission, load, events, decisions, buildExchange, setDraw: (value: number) => (draw = value) };

    function buildExchange(change: { urgency?: number; answer?: number; waitedBeforeMs?: number; leftMs?: number }) {
        const { urgency = 0, answer = 40, waitedBeforeMs = 0, leftMs = 8_000 } = change;
        return {
            service: "llm",
            route: ROUTE,
            deadlineAt: performance.now() + leftMs,
            abortController: new AbortController(),
            index: { document: { routes: [ROUTE] }, findService: () => ({ name: "llm", engine }) },
            demand: { urgency, tokens: { prompt: 400, answer }, homes: [], waitedBeforeMs },
        } as unknown as RoutedExchange;
    }
}

t.test("it is active only for streams to engines whose memory is known", t => {
    const { admission, buildExchange } = startAdmission();
    t.equal(admission.isActive(buildExchange({})), true);
    const plain = buildExchange({});
    plain.route = { ...plain.route, maxPauseMs: 0 };
    t.equal(admission.isActive(plain), false);
    const earlier = startAdmission({ ...ENGINE, memoryTokens: undefined });
    t.equal(earlier.admission.isActive(earlier.buildExchange({})), false);
    t.end();
});

t.test(
    "freed slots go to the urgent and small first, and to a returned request before a new one of its kind",
    async t => {
        const { admission, load, buildExchange, setDraw } = startAdmission();
        setDraw(0.99);
        const order: string[] = [];
        const requests = {
            large: buildExchange({ answer: 400 }),
            low: buildExchange({ urgency: 2, answer: 40 }),
            small: buildExchange({ answer: 20 }),
            returned: buildExchange({ answer: 400, waitedBeforeMs: 2_000 }),
        };
        const waits = Object.entries(requests).map(async ([name, exchange]) => {
            if ((await admission.waitForEndpoints(exchange)) !== undefined) {
                order.push(name);
                load.startRequest("i-1");
            }
        });
        for (let ended = 0; ended < waits.length; ended++) {
            load.endRequest("i-1");
            admission.recordRequestEnd("llm", "i-1");
            await new Promise(setImmediate);
        }
        await Promise.all(waits);
        t.strictSame(order, ["returned", "small", "low", "large"]);
    },
);

// Guards against a preview that holds, counts or refuses the request that it is asked about.
t.test("a preview tells what would become of a request, and leaves no trace", async t => {
    t.clock.enter();
    const { admission, load, buildExchange, decisions } = startAdmission();
    t.strictSame(admission.previewStep(buildExchange({})), { waitMs: 300 });
    t.match(admission.previewStep(buildExchange({ leftMs: 0 })), { refusal: "no-time", delayMs: 0 });
    load.endRequest("i-1");
    t.match(admission.previewStep(buildExchange({})), { open: [{ id: "i-1" }] });
    t.strictSame(decisions, []);
    t.match(await admission.waitForEndpoints(buildExchange({})), [{ id: "i-1" }], "none waits before it");
});

t.test("a refusal tells a delay that callers honour, and none when no time is left", async t => {
    t.clock.enter();
    const { admission, buildExchange, decisions, setDraw } = startAdmission();
    const state = { mayHaveRun: false } as RetryState;
    const context = { candidates: { listCandidates: () => [{}] } } as unknown as DirectContext;
    const delays: number[] = [];
    for (const draw of [0, 0.5, 1]) {
        setDraw(draw);
        const waiting = buildExchange({});
        const answer = admission.waitForEndpoints(waiting);
        t.clock.advance(310);
        t.equal(await answer, undefined, "refused at the target less the time to the first event");
        delays.push(Math.round(createNoCapacityRefusal(state, waiting, context).retryAfterMs ?? 0));
    }
    t.strictSame(delays, [2_307, 1_730, 1_154]);
    const short = buildExchange({ leftMs: 40 });
    t.equal(await admission.waitForEndpoints(short), undefined, "its prompt takes 50 ms");
    t.equal(createNoCapacityRefusal(state, short, context).retryAfterMs, undefined);
    t.strictSame(decisions, ["wait-ended", "wait-ended", "wait-ended", "no-time"]);
    t.clock.exit();
});

t.test(
    "while others tell a high level, what costs most is refused at once, and without their news it is not",
    async t => {
        t.clock.enter();
        const { admission, buildExchange, decisions, events, setDraw } = startAdmission();
        setDraw(0.99);
        for (let request = 0; request < 40; request++) {
            const exchange = buildExchange({ answer: 20 + request });
            void admission.waitForEndpoints(exchange);
            exchange.abortController.abort();
        }
        setDraw(0);
        for (let passed = 0; passed < 3_000; passed += 100) {
            t.clock.advance(100);
            admission.levels.setReports("peer", false, { llm: [0.6, 100, 10, 1] }, performance.now());
            const exchange = buildExchange({ answer: 20 });
            void admission.waitForEndpoints(exchange);
            exchange.abortController.abort();
        }
        t.strictSame(decisions, [], "small ones wait");
        setDraw(0.99);
        t.equal(await admission.waitForEndpoints(buildExchange({ answer: 400 })), undefined);
        t.strictSame(decisions, ["above-level"]);
        t.ok(events.includes(EventId.AdmissionShort));
        t.clock.advance(2_000);
        setDraw(0);
        const alone = buildExchange({ answer: 20 });
        void admission.waitForEndpoints(alone);
        t.equal(events.at(-1), EventId.AdmissionNewsMissing);
        alone.abortController.abort();
        t.clock.advance(30_000);
        admission.levels.updateLevel("llm", { waiting: 0, maxWaitMs: 400 }, performance.now());
        setDraw(0.99);
        const late = buildExchange({ answer: 400 });
        void admission.waitForEndpoints(late);
        t.strictSame(decisions, ["above-level"], "the level fell on its own view");
        late.abortController.abort();
        t.clock.exit();
    },
);
