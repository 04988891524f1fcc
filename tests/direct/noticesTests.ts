import t from "tap";
import { buildList } from "../../src/utils/list.js";
import { readMonotonicMs, waitFor } from "../../src/utils/time.js";
import type { EndpointScript } from "../../standins/endpoint/endpointStandin.js";
import { writeKey } from "../../standins/platform/writeKey.js";
import type { OwningTest } from "../fixtures.js";
import { type CallerAnswer, type DirectSystem, callRouter, startDirectSystem, startSecondRouter } from "./fixtures.js";

/** Window in which requests to an endpoint with a limit are counted, in milliseconds. */
const WINDOW_MS = 4_000;
/** Time after which a limit that an endpoint has named binds, in milliseconds. */
const CONTACT_MS = 3_000;
/** What an endpoint may get beyond its limit in a window: a share of it, and a number of requests. */
const EXCESS_SHARE = 0.5;
const EXCESS_REQUESTS = 5;
const LIMIT_PER_SECOND = 3;
const ROUTERS = 4;
const CALL_PERIOD_MS = 50;
const SETTLE_MS = 1_000;
/** Target of the route of these tests, in milliseconds: nobody waits for longer to be refused. */
const TARGET_MS = 300;
/** Time that an endpoint takes which is to be loaded, in milliseconds. */
const SLOW_MS = 300;

/** Answers like a sound endpoint after a time, with headers that say something of the endpoint itself. */
function createScript(headers: Record<string, string>, delayMs = 0): EndpointScript {
    return (seen, socket, response) => {
        const echoed = { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" };
        setTimeout(() => response.writeHead(200, { ...echoed, ...headers }).end("done"), delayMs);
    };
}

/** Starts several routers of one zone. */
async function startRouters(t: OwningTest, endpoints: number): Promise<DirectSystem[]> {
    const first = await startDirectSystem(t, endpoints);
    const systems = [first];
    for (const index of buildList(ROUTERS - 1, place => place + 2)) {
        systems.push(await startSecondRouter(t, first, `127.0.0.${index}`, first.store));
    }
    await waitFor(SETTLE_MS);
    return systems;
}

/** Answer with the time that the caller waited for it, in milliseconds. */
type TimedAnswer = CallerAnswer & { lastedMs: number };

async function callTimed(system: DirectSystem, headers: Record<string, string>): Promise<TimedAnswer> {
    const startedAt = readMonotonicMs();
    const answer = await callRouter(system, { path: "/stock/1", headers });
    return { ...answer, lastedMs: readMonotonicMs() - startedAt };
}

/** Sends requests through all routers for a time; each call has its own identifier. */
async function sendRequests(systems: readonly DirectSystem[], lastsMs: number): Promise<TimedAnswer[]> {
    const calls: Promise<TimedAnswer>[] = [];
    const startedAt = readMonotonicMs();
    while (readMonotonicMs() - startedAt < lastsMs) {
        systems.forEach(system => {
            const headers = { "attempt-id": `a-${calls.length}` };
            calls.push(callTimed(system, headers));
        });
        await waitFor(CALL_PERIOD_MS);
    }
    return Promise.all(calls);
}

/** Counts the most requests in any window that begins after a time. */
function countInWorstWindow(times: readonly number[], from: number): number {
    const late = times.filter(at => at >= from);
    return Math.max(0, ...late.map(start => late.filter(at => at >= start && at < start + WINDOW_MS).length));
}

t.test("endpoints that name a limit get no more than it allows from all routers together, and no less", async t => {
    const systems = await startRouters(t, 3);
    const arrivals: number[][] = [[], [], []];
    systems[0]?.endpoints.forEach((endpoint, index) => {
        // The endpoint without a limit has more requests than slots, so that the others are wanted too.
        const answer =
            index === 2 ? createScript({}, SLOW_MS) : createScript({ "server-limit": String(LIMIT_PER_SECOND) });
        endpoint.setScript((...request) => {
            arrivals[index]?.push(readMonotonicMs());
            answer(...request);
        });
    });
    const lastsMs = CONTACT_MS + 2 * WINDOW_MS;
    const answers = await sendRequests(systems, lastsMs);
    const statuses = answers.map(({ status }) => status);
    t.equal(statuses.filter(status => status !== 200).length, 0, "the endpoint without a limit serves the rest");
    const allowed = LIMIT_PER_SECOND * (WINDOW_MS / 1_000);
    for (const times of arrivals.slice(0, 2)) {
        const worst = countInWorstWindow(times, (times[0] ?? 0) + CONTACT_MS);
        t.ok(worst <= allowed * (1 + EXCESS_SHARE) + EXCESS_REQUESTS, `${worst} in a window, named are ${allowed}`);
        const bound = times.filter(at => at >= (times[0] ?? 0) + CONTACT_MS).length;
        const usedShare = bound / ((lastsMs - CONTACT_MS) / 1_000) / LIMIT_PER_SECOND;
        t.ok(usedShare >= 0.75, `${usedShare.toFixed(2)} of the limit is used`);
    }
});

t.test("requests beyond the limits of all endpoints are refused at once, as not run, with a delay", async t => {
    const systems = await startRouters(t, 2);
    const arrivals: number[][] = [[], []];
    systems[0]?.endpoints.forEach((endpoint, index) => {
        const answer = createScript({ "server-limit": String(LIMIT_PER_SECOND) });
        endpoint.setScript((...request) => {
            arrivals[index]?.push(readMonotonicMs());
            answer(...request);
        });
    });
    const lastsMs = CONTACT_MS + 2 * WINDOW_MS;
    const answers = await sendRequests(systems, lastsMs);
    const allowed = LIMIT_PER_SECOND * (WINDOW_MS / 1_000);
    for (const times of arrivals) {
        const worst = countInWorstWindow(times, (times[0] ?? 0) + CONTACT_MS);
        t.ok(worst <= allowed * (1 + EXCESS_SHARE) + EXCESS_REQUESTS, `${worst} in a window, named are ${allowed}`);
        const bound = times.filter(at => at >= (times[0] ?? 0) + CONTACT_MS).length;
        const usedShare = bound / ((lastsMs - CONTACT_MS) / 1_000) / LIMIT_PER_SECOND;
        t.ok(usedShare >= 0.75, `${usedShare.toFixed(2)} of the limit is used`);
    }
    const refused = answers.filter(({ status }) => status !== 200);
    t.ok(refused.length > 0);
    t.ok(refused.every(({ status, headers }) => status === 503 && Number(headers["retry-after"]) > 0));
    const lasted = refused.map(({ lastedMs }) => lastedMs).sort((left, right) => left - right);
    const medianMs = lasted[Math.floor(lasted.length / 2)] ?? 0;
    t.ok(medianMs < TARGET_MS / 2, `half of the refusals came after ${Math.round(medianMs)} ms`);
});

t.test("an endpoint that ends its limit gets all requests again", async t => {
    const systems = await startRouters(t, 1);
    const endpoint = systems[0]?.endpoints[0];
    endpoint?.setScript(createScript({ "server-limit": "1" }));
    await sendRequests(systems, 1_000);
    endpoint?.setScript(createScript({}));
    await sendRequests(systems, WINDOW_MS);
    const answers = await sendRequests(systems, 1_000);
    t.ok(answers.every(({ status }) => status === 200));
});

t.test(
    "an endpoint that says that it leaves gets no request past the bound, though its entry says nothing",
    async t => {
        const systems = await startRouters(t, 2);
        const [leaving, other] = systems[0]?.endpoints ?? [];
        const arrivals: number[] = [];
        leaving?.setScript((...request) => {
            arrivals.push(readMonotonicMs());
            createScript({ "server-leaving": "1" })(...request);
        });
        other?.setScript(createScript({}));
        const startedAt = readMonotonicMs();
        const leavingMs = systems[0]?.settings.leavingMs ?? 0;
        const answers = await sendRequests(systems, leavingMs + SETTLE_MS);
        t.ok(arrivals.length > 0);
        t.equal(arrivals.filter(at => at - startedAt > leavingMs).length, 0, "late requests");
        t.ok(answers.every(({ status }) => status === 200));
    },
);

t.test("an endpoint that said that it leaves stays out when its entry vanishes and comes back", async t => {
    const system = await startDirectSystem(t, 2);
    const [leaving, other] = system.endpoints;
    let arrivals = 0;
    leaving?.setScript((...request) => {
        arrivals++;
        createScript({ "server-leaving": "1" })(...request);
    });
    other?.setScript(createScript({}, SLOW_MS));
    await sendRequests([system], SETTLE_MS);
    t.ok(arrivals > 0);
    await writeKey(system.store, "servers/i-0", undefined);
    await waitFor(system.settings.lapseGraceMs + SETTLE_MS);
    await sendRequests([system], CALL_PERIOD_MS);
    await system.writeEndpoint(0);
    await waitFor(SETTLE_MS);
    arrivals = 0;
    await sendRequests([system], SETTLE_MS);
    t.equal(arrivals, 0);
});

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
    await writeKey(system.store, "servers/i-0", undefined);
    await waitFor(system.settings.lapseGraceMs + SETTLE_MS);
    await sendRequests([system], CALL_PERIOD_MS);
    await system.writeEndpoint(0);
    await waitFor(SETTLE_MS);
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
        for (const { status, headers, lastedMs } of await Promise.all(burst)) {
            t.equal(status, 503);
            const delaySeconds = Number(headers["retry-after"]);
            // The caller has two seconds left, a third of which it would wait at most.
            t.ok(delaySeconds > 0 && delaySeconds <= leftSeconds + 0.1, `${delaySeconds} s, ${leftSeconds} s are left`);
            t.ok(lastedMs < TARGET_MS, `refused after ${Math.round(lastedMs)} ms`);
        }
        t.ok((await Promise.all(other)).every(({ status }) => status === 200));
    },
);
