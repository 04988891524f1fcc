import t from "tap";
import { buildList } from "../../src/utils/list.js";
import { readMonotonicMs, waitFor } from "../../src/utils/time.js";
import { writeKey } from "../../standins/platform/writeKey.js";
import { startDirectSystem, callRouter } from "./fixtures.js";
import {
    WINDOW_MS,
    CALL_PERIOD_MS,
    SETTLE_MS,
    TARGET_MS,
    SLOW_MS,
    createScript,
    startRouters,
    callTimed,
    sendRequests,
    dropEntryForATime,
} from "./noticesFixtures.js";

/** Log line of a refused request. */
interface RefusalLine {
    event: number;
    attempt: string;
    lastedMs: number;
    sends: string;
}

t.test("an endpoint that wants a pause is left alone when its entry vanishes and comes back", async t => {
    const system = await startDirectSystem(t, 2);
    const [busy, other] = system.endpoints;
    let arrivals = 0;
    busy?.setScript((seen, socket, response) => {
        arrivals++;
        const headers = { "attempt-id": seen.headers["attempt-id"], "not-executed": "1", "retry-after": "20" };
        response.writeHead(503, headers).end("busy");
    });
    other?.setScript(createScript({}, SLOW_MS));
    await sendRequests([system], SETTLE_MS);
    t.ok(arrivals > 0);
    await dropEntryForATime(system);
    arrivals = 0;
    await sendRequests([system], SETTLE_MS);
    t.equal(arrivals, 0);
});

t.test("an endpoint that turns requests away for a time gets none from that router meanwhile", async t => {
    const system = await startDirectSystem(t, 2);
    const [busy, other] = system.endpoints;
    const arrivals: number[] = [];
    busy?.setScript((seen, socket, response) => {
        arrivals.push(readMonotonicMs());
        const isAskedToWait = arrivals.length === 1;
        const headers = { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" };
        response
            .writeHead(isAskedToWait ? 503 : 200, {
                ...headers,
                ...(isAskedToWait ? { "not-executed": "1", "retry-after": "2" } : {}),
            })
            .end("done");
    });
    other?.setScript(createScript({}, SLOW_MS));
    await sendRequests([system], 4_000);
    const [first = 0] = arrivals;
    const meanwhile = arrivals.filter(at => at > first && at < first + 2_000);
    t.equal(meanwhile.length, 0, "requests while it wants none");
    t.ok(
        arrivals.some(at => at >= first + 2_000),
        "and some afterwards",
    );
});

t.test("requests are served by sound endpoints while others turn requests away and name pauses", async t => {
    const systems = await startRouters(t, 4);
    const endpoints = systems[0]?.endpoints ?? [];
    let rejections = 0;
    endpoints.slice(0, 2).forEach(endpoint =>
        endpoint.setScript((seen, socket, response) => {
            rejections++;
            const headers = { "attempt-id": seen.headers["attempt-id"], "not-executed": "1", "retry-after": "0.6" };
            response.writeHead(503, headers).end("busy");
        }),
    );
    endpoints.slice(2).forEach(endpoint => endpoint.setScript(createScript({}, CALL_PERIOD_MS)));
    const answers = await sendRequests(systems, 2 * WINDOW_MS);
    const refused = answers.filter(({ status }) => status !== 200);
    t.equal(refused.length, 0, `${refused.length} of ${answers.length} refused, ${rejections} rejections`);
    endpoints.slice(0, 2).forEach(endpoint => endpoint.setScript(createScript({}, CALL_PERIOD_MS)));
    await sendRequests(systems, SETTLE_MS);
    let arrivals = 0;
    endpoints[0]?.setScript((...request) => {
        arrivals++;
        createScript({}, CALL_PERIOD_MS)(...request);
    });
    await sendRequests(systems, SETTLE_MS);
    t.ok(arrivals > 0, "an endpoint that takes requests again gets its share");
});

t.test(
    "while all endpoints of a service pause, a burst is refused at once until the first one ends, and others are served",
    async t => {
        const system = await startDirectSystem(t, 3);
        await system.writeDocument(2, document => {
            const [stock] = document.routes;
            document.routes.push({ ...stock, name: "other", path_prefix: "/other/", service: "other" });
            document["services"] = ["app", "other"].map(name => ({ name, health_path: "/healthz", max_conns: 100 }));
        });
        const entry = { service: "other", address: `127.0.0.1:${system.endpoints[2]?.port ?? 0}`, zone: "a", slots: 8 };
        await writeKey(
            system.store,
            "servers/i-2",
            JSON.stringify({ ...entry, version: "v1", state: "ready", sequence: 1 }),
        );
        system.endpoints.slice(0, 2).forEach((endpoint, index) =>
            endpoint.setScript((seen, socket, response) => {
                const headers = { "attempt-id": seen.headers["attempt-id"], "not-executed": "1" };
                response.writeHead(503, { ...headers, "retry-after": String(2 + index) }).end("busy");
            }),
        );
        system.endpoints[2]?.setScript(createScript({}));
        await waitFor(SETTLE_MS);
        await callTimed(system, { "attempt-id": "first" });
        const toldAt = readMonotonicMs();
        await waitFor(SETTLE_MS / 2);
        const burst = buildList(100, index => callTimed(system, { "attempt-id": `a-${index}` }));
        const other = buildList(20, index =>
            callRouter(system, { path: "/other/1", headers: { "attempt-id": `b-${index}` } }),
        );
        const leftSeconds = 2 - (readMonotonicMs() - toldAt) / 1_000;
        for (const { status, headers } of await Promise.all(burst)) {
            t.equal(status, 503);
            const delaySeconds = Number(headers["retry-after"]);
            // The caller has two seconds left, a third of which it would wait at most.
            t.ok(delaySeconds > 0 && delaySeconds <= leftSeconds + 0.1, `${delaySeconds} s, ${leftSeconds} s are left`);
        }
        // By the router's log, as the callers share this process and wait for one another.
        const refusals = system.lines
            .map(line => JSON.parse(line) as RefusalLine)
            .filter(({ event }) => event === 2_001);
        const ofBurst = refusals.filter(({ attempt }) => attempt.startsWith("a-"));
        t.equal(ofBurst.length, burst.length);
        t.ok(ofBurst.every(({ lastedMs, sends }) => lastedMs < TARGET_MS / 2 && sends === ""));
        t.ok((await Promise.all(other)).every(({ status }) => status === 200));
    },
);
