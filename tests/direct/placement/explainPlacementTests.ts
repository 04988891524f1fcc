import t from "tap";
import { createPlacementClient } from "../../../src/cli/PlacementClient.js";
import { PlacementDecision, type PlacementQuery } from "../../../src/direct/placement/index.js";
import { ExclusionReason } from "../../../src/direct/candidates/index.js";
import { Cause } from "../../../src/protocol/index.js";
import {
    createOutageDetector,
    createOutageHistory,
    createOutageQueue,
    createRequestValuer,
} from "../../../src/scheduling/index.js";
import { waitFor } from "../../../src/utils/time.js";
import { writeKey } from "../../../standins/platform/writeKey.js";
import { TEAM_KEY, callRouter, startDirectSystem } from "../fixtures.js";

const EVACUATE_MS = 2_000;
const QUERY: PlacementQuery = { host: "shop.example", path: "/stock/1", teamKey: TEAM_KEY, headers: [] };

// Guards against an explanation that differs from what the router does, and against one that sends or counts a request.
t.test("a router explains where a request would go, and sends nothing", async t => {
    const system = await startDirectSystem(t, 2, store => store, undefined, { evacuateMs: EVACUATE_MS });
    system.endpoints.forEach(endpoint =>
        endpoint.setScript((seen, socket, response) => {
            response.writeHead(200, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" }).end("done");
        }),
    );
    const { address, port } = system.settings.listen.control;
    const client = createPlacementClient(`${address}:${port}`, system.settings.processKey);
    const report = await client.explainPlacement(QUERY);
    t.match(report, { route: "stock", service: "app", team: "one", decision: PlacementDecision.Sent, excluded: [] });
    t.equal(report.endpoint, report.candidates[0]?.endpoint, "the lowest score");
    t.equal(report.candidates.length, 2);
    t.strictSame(
        system.endpoints.map(({ seen }) => seen.length),
        [0, 0],
    );
    await callRouter(system, { path: "/stock/1" });
    t.equal(system.endpoints[report.endpoint === "i-0" ? 0 : 1]?.seen.length, 1, "the request goes there");

    const unknownRoute = await client.explainPlacement({ ...QUERY, path: "/nowhere/1" });
    t.match(unknownRoute, { route: undefined, refusal: { status: 404, cause: Cause.UnknownTarget } });
    const unknownKey = await client.explainPlacement({ ...QUERY, teamKey: "other" });
    t.match(unknownKey, { route: "stock", refusal: { status: 401, cause: Cause.UnknownTeam } });
    const stranger = createPlacementClient(`${address}:${port}`, "other");
    await t.rejects(stranger.explainPlacement(QUERY), /accepted process key/);

    await writeKey(system.store, "op/evacuate/a", "{}");
    await waitFor(EVACUATE_MS);
    const evacuated = await client.explainPlacement(QUERY);
    t.match(evacuated, {
        decision: PlacementDecision.Refused,
        refusal: { cause: Cause.ZoneEvacuated },
        candidates: [],
        excluded: [{ reasons: [ExclusionReason.Evacuated] }, { reasons: [ExclusionReason.Evacuated] }],
    });
    t.ok((evacuated.refusal?.retryAfterMs ?? 0) > 0);
});

// Guards against a question that takes the place of a probe, or is learnt from as if it were a request.
t.test("a preview of a decision leaves no trace", t => {
    const outages = createOutageDetector();
    for (let send = 0; send < 6; send++) {
        outages.recordRejection("app", `i-${send}`, 0);
    }
    t.equal(outages.previewRequest("app", 3_000, 100), 1_000);
    t.equal(outages.previewRequest("app", 3_000, 200), undefined, "a probe is due");
    t.equal(outages.checkRequest("app", 3_000, 200), undefined, "and still is");
    t.equal(outages.previewRequest("app", 3_000, 200), 1_000);

    const [asked, unasked] = [createRequestValuer(() => 0.9), createRequestValuer(() => 0.9)];
    asked.previewValue({ urgency: 0, workMs: 1, isReturned: false });
    const request = { urgency: 1, workMs: 10, isReturned: false };
    t.strictSame(asked.computeValue(request), unasked.computeValue(request));
    t.end();
});

t.test("a preview of an outage's queue decides as the queue does, and holds nothing", t => {
    const history = createOutageHistory({ readNow: () => 0, onChange: () => undefined });
    for (let send = 0; send < 6; send++) {
        history.detector.recordRejection("app", `i-${send}`, 0);
    }
    const queue = createOutageQueue({
        service: "app",
        history,
        countFreeSlots: () => 0,
        countSlots: () => 6,
        countRouters: () => 1,
        getSpreadMs: () => 100,
        getDurations: () => ({ firstEventMs: 10, runMs: 100 }),
        maxWaiting: 10,
        drawRandom: () => 0,
    });
    const request = {
        arrivedAt: 0,
        deadlineAt: 8_000,
        targetAt: 400,
        targetMs: 400,
        gapMs: 2_000,
        gapFrom: 0,
        hasBegun: false,
        hasReturned: true,
        mayHaveRun: false,
    };
    const entry = { request, sendsLeft: 2 };
    const first = queue.previewRequest(entry, 1);
    t.strictSame(queue.previewRequest(entry, 1), first);
    t.equal(queue.countWaiting(), 0);
    t.strictSame(queue.offerRequest(entry, 1), first);
    t.not(queue.previewRequest(entry, 2)?.isSent, true, "the probe was taken by the request");
    t.end();
});
