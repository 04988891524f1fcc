import t from "tap";
import type { RoutedExchange } from "../../src/direct/DirectExchange.js";
import { createEndpointDirectory } from "../../src/direct/EndpointDirectory.js";
import { createSharedRateLimiter } from "../../src/scheduling/index.js";
import { createLogger } from "../../src/telemetry/logger.js";
import { createLoadTracker } from "../../src/direct/LoadTracker.js";
import { createEndpointPauses } from "../../src/direct/EndpointPauses.js";
import type { EndpointRecord } from "../../src/direct/EndpointRecord.js";
import {
    ExclusionReason,
    createEndpointCandidates,
    createLeavingRule,
    createPauseRule,
} from "../../src/direct/candidates/index.js";
import { createEndpointNotices } from "../../src/direct/EndpointNotices.js";
import { createRequestAdmission } from "../../src/direct/RequestAdmission.js";

/** Creates the admission for a service of one endpoint with two slots, of which a configurable share is allowed. */
function startAdmission() {
    const directory = createEndpointDirectory({
        onChange: () => undefined,
        lapseGraceMs: 0,
        entryLifetimeMs: 5_000,
        getStoreUptimeMs: () => 0,
    });
    const load = createLoadTracker();
    directory.applyRecord({
        id: "i-1",
        service: "llm",
        host: "127.0.0.1",
        port: 1,
        zone: "a",
        slots: 2,
        isLeaving: false,
        bornAt: 1,
        group: undefined,
    });
    let allowedPart: number | undefined = 1;
    const pace = { recordPause: () => undefined, getAllowedShare: () => allowedPart };
    const limiter = createSharedRateLimiter({ getReportDelayMs: () => 0, getShare: () => 1, drawRandom: () => 0 });
    const logger = createLogger("test", { writeLine: () => undefined, flush: () => Promise.resolve() });
    const pauses = createEndpointPauses();
    const notices = createEndpointNotices(limiter, pauses, logger);
    const candidates = createEndpointCandidates(directory, [createLeavingRule(notices), createPauseRule(pauses)]);
    const cold = { estimateTurns: () => 0, hasCold: () => false };
    const admission = createRequestAdmission({ directory, load, pace, limiter, candidates, cold });
    return {
        load,
        limiter,
        candidates,
        admission,
        /** Waits for the first send of a request; returns whether it was admitted. */
        async waitForCapacity(exchange: RoutedExchange): Promise<boolean> {
            return (await admission.waitForEndpoints(exchange, new Set(), true)) !== undefined;
        },
        setAllowedPart(part: number | undefined) {
            allowedPart = part;
        },
    };
}

function buildExchange(urgency: number, change: Partial<RoutedExchange> = {}): RoutedExchange {
    return {
        service: "llm",
        deadlineAt: performance.now() + 5_000,
        abortController: new AbortController(),
        route: { urgency, targetMs: 300, maxPauseMs: 120 },
        ...change,
    } as RoutedExchange;
}

t.test("no request waits if the service has no limit, or its route no maximum pause", async t => {
    const { waitForCapacity, load, setAllowedPart } = startAdmission();
    ["1", "2", "3"].forEach(() => load.startRequest("i-1"));
    setAllowedPart(undefined);
    t.equal(await waitForCapacity(buildExchange(0)), true);
    setAllowedPart(1);
    const plain = buildExchange(0);
    plain.route = { ...plain.route, maxPauseMs: 0 };
    t.equal(await waitForCapacity(plain), true);
});

t.test(
    "a request waits for the room of a limited endpoint, the most urgent one first, and ends at its target",
    async t => {
        t.clock.enter();
        const { limiter, waitForCapacity } = startAdmission();
        const now = performance.now();
        limiter.recordLimit("i-1", 0.5, now);
        limiter.recordSend("i-1", now);
        limiter.recordSend("i-1", now + 1);
        const order: string[] = [];
        const waits = [2, 0].map(async urgency => {
            const exchange = buildExchange(urgency, { route: { urgency, targetMs: 10_000, maxPauseMs: 0 } as never });
            if (await waitForCapacity(exchange)) {
                order.push(`${urgency}`);
                limiter.recordSend("i-1", performance.now());
            }
        });
        const short = waitForCapacity(
            buildExchange(0, { route: { urgency: 0, targetMs: 100, maxPauseMs: 0 } as never }),
        );
        t.clock.advance(110);
        t.equal(await short, false, "refused when it can no longer be in time");
        for (let passed = 0; passed < 4_200; passed += 25) {
            t.clock.advance(25);
            await Promise.resolve();
        }
        t.strictSame(order[0], "0");
        t.clock.advance(5_000);
        await Promise.all(waits);
        t.clock.exit();
    },
);

t.test(
    "a request without a chance of a turn at limited endpoints is refused at once, and a more urgent one waits",
    async t => {
        t.clock.enter();
        const { limiter, waitForCapacity } = startAdmission();
        const now = performance.now();
        limiter.recordLimit("i-1", 0.5, now);
        limiter.recordSend("i-1", now);
        limiter.recordSend("i-1", now);
        const results: string[] = [];
        const route = { targetMs: 1_000, maxPauseMs: 0 };
        const waits = [2, 2, 2, 0].map(async (urgency, index) => {
            const isAdmitted = await waitForCapacity(buildExchange(urgency, { route: { ...route, urgency } as never }));
            results.push(`${index} ${isAdmitted ? "admitted" : "refused"}`);
        });
        await Promise.resolve();
        await Promise.resolve();
        t.strictSame(results, ["1 refused", "2 refused"]);
        t.clock.advance(1_100);
        await Promise.all(waits);
        t.equal(results.length, 4);
        t.clock.exit();
    },
);

t.test("the most urgent request is admitted first when another ends", async t => {
    const { admission, waitForCapacity, load } = startAdmission();
    ["1", "2", "3"].forEach(() => load.startRequest("i-1"));
    const order: number[] = [];
    const waits = [2, 0, 1].map(async urgency => {
        if (await waitForCapacity(buildExchange(urgency))) {
            order.push(urgency);
            load.startRequest("i-1");
        }
    });
    ["1", "2"].forEach(() => load.endRequest("i-1"));
    admission.recordRequestEnd("llm", "i-1");
    await Promise.all(waits);
    t.strictSame(order, [0], "one free slot admits one request; the others are refused at their deadline");
});

t.test("the wait ends when the target can no longer be met, or the caller disconnects", async t => {
    t.clock.enter();
    const { admission, waitForCapacity, load } = startAdmission();
    ["1", "2", "3"].forEach(() => load.startRequest("i-1"));
    for (let stream = 0; stream < 200; stream++) {
        admission.recordFirstEvent("llm", 200);
    }
    const answers: boolean[] = [];
    const waiting = waitForCapacity(buildExchange(0)).then(answer => answers.push(answer));
    t.clock.advance(95);
    await Promise.resolve();
    t.strictSame(answers, [], "still waiting: 300 ms target less 200 ms average time to the first event");
    t.clock.advance(10);
    await waiting;
    t.strictSame(answers, [false]);
    const leaving = buildExchange(0, { route: { urgency: 0, targetMs: 60_000, maxPauseMs: 120 } as never });
    const left = waitForCapacity(leaving);
    leaving.abortController.abort();
    t.equal(await left, false);
});

t.test("utilization does not count requests that are queued at an endpoint", t => {
    const { admission, load } = startAdmission();
    load.startRequest("i-1");
    t.equal(admission.computeUtilization("llm"), 0.5);
    ["2", "3", "4"].forEach(() => load.startRequest("i-1"));
    t.equal(admission.computeUtilization("llm"), 1);
    t.end();
});

t.test(
    "a request waits while all endpoints have taken what they stand, and not while they are excluded otherwise",
    async t => {
        t.clock.enter();
        const { candidates, admission } = startAdmission();
        const excluded = (reason: ExclusionReason) => {
            candidates.listCandidates = () => [];
            candidates.assessEndpoints = () => [{ endpoint: { id: "i-1" } as EndpointRecord, reasons: [reason] }];
        };
        excluded(ExclusionReason.Evacuated);
        t.strictSame(await admission.waitForEndpoints(buildExchange(0), new Set(), true), []);
        const { listCandidates, assessEndpoints } = candidates;
        excluded(ExclusionReason.Cold);
        const answers: unknown[] = [];
        const waiting = admission.waitForEndpoints(buildExchange(0), new Set(), true).then(open => answers.push(open));
        t.clock.advance(100);
        await Promise.resolve();
        t.strictSame(answers, [], "its share of a cold endpoint is used up for now");
        Object.assign(candidates, { listCandidates, assessEndpoints });
        t.clock.advance(50);
        await waiting;
        t.strictSame(answers, [[]]);
        t.clock.exit();
    },
);
