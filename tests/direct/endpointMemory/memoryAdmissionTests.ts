import t from "tap";
import type { DirectContext } from "../../../src/direct/DirectContext.js";
import type { RoutedExchange } from "../../../src/direct/DirectExchange.js";
import type { EndpointRecord } from "../../../src/direct/EndpointRecord.js";
import type { RetryState } from "../../../src/direct/RetryState.js";
import type { EngineCostModel } from "../../../src/direct/RoutingDocument.js";
import { createNoCapacityRefusal, createNoEndpointRefusal } from "../../../src/direct/attemptRefusals.js";
import { createEndpointCandidates } from "../../../src/direct/candidates/index.js";
import { createEndpointMemory, createMemoryRule, createSizeRule } from "../../../src/direct/endpointMemory/index.js";
import { createLoadTracker } from "../../../src/direct/LoadTracker.js";
import { createRequestAdmission } from "../../../src/direct/RequestAdmission.js";
import { createSharedRateLimiter } from "../../../src/scheduling/index.js";
import { Cause } from "../../../src/protocol/index.js";

const MEMORY = 1_000;
const RECORD = { id: "i-1", service: "llm", zone: "a", slots: 7 } as EndpointRecord;
const ENGINE = { memoryTokens: MEMORY, usualPromptTokens: 90, usualAnswerTokens: 10 } as EngineCostModel;
const POLL_MS = 25;

/** Creates the admission of the only router, before one engine of 1,000 tokens. */
function startMemoryAdmission() {
    const load = createLoadTracker();
    const memory = createEndpointMemory({ load, getEngine: () => ENGINE, onHeldBack: () => undefined });
    const directory = { listServing: () => [RECORD] };
    const candidates = createEndpointCandidates(directory, [createSizeRule(memory), createMemoryRule(memory)]);
    const limiter = createSharedRateLimiter({ getReportDelayMs: () => 0, getShare: () => 1, drawRandom: () => 0 });
    const pace = { recordPause: () => undefined, getAllowedShare: () => undefined };
    const cold = { estimateTurns: () => 0, hasCold: () => false };
    const admission = createRequestAdmission({ directory, load, pace, limiter, candidates, cold });
    return {
        admission,
        context: { candidates } as unknown as DirectContext,
        waitForEndpoints: (exchange: RoutedExchange) => admission.waitForEndpoints(exchange, new Set(), true),
        send(tokens: number) {
            const ticket = memory.takeRoom(RECORD, { prompt: tokens, answer: 0 }, performance.now());
            load.startRequest(RECORD.id);
            return (): void => {
                load.endRequest(RECORD.id);
                ticket?.release(performance.now());
            };
        },
    };
}

function buildExchange(tokens: number): RoutedExchange {
    return {
        service: RECORD.service,
        demand: { urgency: 0, tokens: { prompt: tokens, answer: 0 }, homes: [], waitedBeforeMs: 0 },
        deadlineAt: performance.now() + 5_000,
        abortController: new AbortController(),
        route: { urgency: 0, targetMs: 400, maxPauseMs: 100 },
    } as unknown as RoutedExchange;
}

function buildState(): RetryState {
    return { triedEndpoints: new Set(), mayHaveRun: false } as unknown as RetryState;
}

// Guards against a large request that is refused while it could wait, and against one that holds up all behind it.
t.test("a request waits for memory, and those behind it that fit go first", async t => {
    t.clock.enter();
    const { waitForEndpoints, send, admission } = startMemoryAdmission();
    const end = send(500);
    let open: readonly unknown[] | undefined = [];
    const large = waitForEndpoints(buildExchange(600)).then(endpoints => (open = endpoints));
    const small = waitForEndpoints(buildExchange(300));
    t.clock.advance(POLL_MS);
    t.strictSame(await small, [RECORD]);
    t.strictSame(open, [], "the large one still waits");
    end();
    admission.recordRequestEnd(RECORD.service, RECORD.id);
    await large;
    t.strictSame(open, [RECORD]);
});

t.test("a preview tells whether a request would wait for memory, and holds nothing", async t => {
    t.clock.enter();
    const { waitForEndpoints, send, admission } = startMemoryAdmission();
    send(500);
    t.strictSame(admission.previewStep(buildExchange(600)), { waitMs: 400 });
    t.strictSame(admission.previewStep(buildExchange(MEMORY + 1)), { open: [] });
    t.strictSame(admission.previewStep(buildExchange(300)), { open: [RECORD] });
    t.strictSame(await waitForEndpoints(buildExchange(300)), [RECORD], "none waits before it");
});

// Guards against a caller that returns with a request that never fits, and one that is told of cold endpoints instead.
t.test("a request that never fits is refused at once without a delay, one that waited in vain with one", async t => {
    t.clock.enter();
    const { waitForEndpoints, send, context } = startMemoryAdmission();
    send(500);
    const never = buildExchange(MEMORY + 1);
    t.strictSame(await waitForEndpoints(never), []);
    t.match(createNoEndpointRefusal(buildState(), never, context), {
        status: 503,
        cause: Cause.ExceedsMemory,
        retryAfterMs: undefined,
    });
    const full = buildExchange(600);
    const waiting = waitForEndpoints(full);
    t.clock.advance(400);
    t.equal(await waiting, undefined);
    const refusal = createNoCapacityRefusal(buildState(), full, context);
    t.match(refusal, { status: 503, cause: Cause.Overload, detail: "no endpoint had free memory in time" });
    t.ok((refusal.retryAfterMs ?? 0) > 0);
});
