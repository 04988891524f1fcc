import t from "tap";
import { UNKNOWN_DEMAND, createEndpointCandidates } from "../../../src/direct/candidates/index.js";
import type { RoutedExchange } from "../../../src/direct/DirectExchange.js";
import type { EndpointRecord } from "../../../src/direct/EndpointRecord.js";
import { createEvacuationRule, createUsableEndpoints } from "../../../src/direct/evacuation/index.js";
import { createLoadTracker } from "../../../src/direct/LoadTracker.js";
import { createRequestAdmission } from "../../../src/direct/RequestAdmission.js";
import { createSharedRateLimiter } from "../../../src/scheduling/index.js";

const POLL_MS = 25;

t.test("slots of evacuated zones are no capacity, and a queued request that has no other leaves the queue", async t => {
    t.clock.enter();
    const serving = ["a", "b"].map(zone => ({ id: `i-${zone}`, service: "llm", zone, slots: 2 }) as EndpointRecord);
    const evacuated = new Set<string>();
    const evacuations = { isEvacuated: (zone: string) => evacuated.has(zone), isEmpty: () => evacuated.size === 0 };
    const listed = { listServing: () => serving };
    const load = createLoadTracker();
    const admission = createRequestAdmission({
        directory: createUsableEndpoints(listed, evacuations),
        load,
        cold: { estimateTurns: () => 0, hasCold: () => false },
        pace: { recordPause: () => undefined, getAllowedShare: () => 1 },
        limiter: createSharedRateLimiter({ getReportDelayMs: () => 0, getShare: () => 1, drawRandom: () => 0 }),
        candidates: createEndpointCandidates(listed, [createEvacuationRule(evacuations)]),
    });
    const exchange = {
        service: "llm",
        deadlineAt: performance.now() + 5_000,
        abortController: new AbortController(),
        route: { urgency: 0, targetMs: 1_000, maxPauseMs: 120 },
        demand: UNKNOWN_DEMAND,
    } as RoutedExchange;
    ["i-a", "i-a", "i-a", "i-b"].forEach(id => load.startRequest(id));
    t.equal(admission.computeUtilization("llm"), 0.75);
    evacuated.add("b");
    t.equal(admission.computeUtilization("llm"), 1);
    const waiting = admission.waitForEndpoints(exchange, new Set(), true);
    t.clock.advance(4 * POLL_MS);
    t.equal(await Promise.race([waiting, Promise.resolve("waits")]), "waits", "zone a is full, and b does not count");
    evacuated.add("a");
    t.clock.advance(POLL_MS);
    t.strictSame(await waiting, [], "refused at once, and not at its target");
    t.strictSame(await admission.waitForEndpoints(exchange, new Set(), true), []);
});
