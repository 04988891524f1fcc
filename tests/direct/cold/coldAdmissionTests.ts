import t from "tap";
import type { RoutedExchange } from "../../../src/direct/DirectExchange.js";
import { createEndpointCandidates } from "../../../src/direct/candidates/index.js";
import { createColdEndpoints, createColdRule } from "../../../src/direct/cold/index.js";
import { createEndpointDirectory } from "../../../src/direct/EndpointDirectory.js";
import { createLoadTracker } from "../../../src/direct/LoadTracker.js";
import { createRequestAdmission } from "../../../src/direct/RequestAdmission.js";
import { createSharedRateLimiter } from "../../../src/scheduling/index.js";
import { buildEndpoint, createTestLog } from "./coldPlay.js";

const RECORD = buildEndpoint("i-1");
const POLL_MS = 25;

/** Creates the admission of the only router, before one endpoint that is cold and tolerates one request a second. */
function startColdAdmission(coldMs: number) {
    const directory = createEndpointDirectory({
        onChange: () => undefined,
        lapseGraceMs: 0,
        entryLifetimeMs: 0,
        getStoreUptimeMs: () => 0,
    });
    directory.applyListing([RECORD]);
    const cold = createColdEndpoints({
        settings: { overshoot: 1, slack: 0 },
        own: "10.0.0.1",
        getBehavior: () => ({ startMs: 0, perSecond: 1 }),
        listRecords: () => [RECORD],
        listRouters: () => [],
        getReportedRouterCount: () => 0,
        hearsOthers: () => true,
        onHeldBack: () => undefined,
        readWallClock: () => 0,
        logger: createTestLog(),
        startedAt: Number.NEGATIVE_INFINITY,
    });
    cold.recordAnswer(RECORD, coldMs, performance.now());
    const candidates = createEndpointCandidates(directory, [createColdRule(cold)]);
    const limiter = createSharedRateLimiter({ getReportDelayMs: () => 0, getShare: () => 1, drawRandom: () => 0 });
    const pace = { recordPause: () => undefined, getAllowedShare: () => undefined };
    const load = createLoadTracker();
    const admission = createRequestAdmission({ directory, load, pace, limiter, candidates, cold });
    return {
        send: () => cold.takeSend(RECORD, performance.now())?.recordWrite(performance.now()),
        waitForEndpoints: (tried: string[], targetMs = 300) =>
            admission.waitForEndpoints(buildExchange(targetMs), new Set(tried), true),
    };
}

function buildExchange(targetMs: number): RoutedExchange {
    return {
        service: RECORD.service,
        demand: { urgency: 0, tokens: undefined, homes: [], waitedBeforeMs: 0 },
        deadlineAt: performance.now() + 5_000,
        abortController: new AbortController(),
        route: { urgency: 0, targetMs, maxPauseMs: 0 },
    } as unknown as RoutedExchange;
}

// Guards against a refusal that names no endpoint although one has room for another request in time.
t.test("a request waits for the turn of a cold endpoint that comes in time", async t => {
    t.clock.enter();
    const { send, waitForEndpoints } = startColdAdmission(60_000);
    send();
    t.clock.advance(800);
    let open: readonly unknown[] | undefined = [];
    const waiting = waitForEndpoints([]).then(endpoints => (open = endpoints));
    t.clock.advance(200);
    await Promise.resolve();
    t.strictSame(open, []);
    t.clock.advance(2 * POLL_MS);
    await waiting;
    t.strictSame(open, [RECORD]);
});

t.test("a request whose turn comes too late is refused at once, and without an endpoint it is told so", async t => {
    t.clock.enter();
    const { send, waitForEndpoints } = startColdAdmission(60_000);
    send();
    t.equal(await waitForEndpoints([]), undefined);
    t.strictSame(await waitForEndpoints([RECORD.id]), [], "the only endpoint was tried");
});

t.test("a request waits for an endpoint that is warm in time", async t => {
    t.clock.enter();
    const { send, waitForEndpoints } = startColdAdmission(200);
    send();
    const waiting = waitForEndpoints([]);
    t.clock.advance(200 + POLL_MS);
    t.strictSame(await waiting, [RECORD]);
});
