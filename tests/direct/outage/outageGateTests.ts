import t from "tap";
import { buildList } from "../../../src/utils/list.js";
import { readMonotonicMs, waitFor } from "../../../src/utils/time.js";
import type { EndpointScript } from "../../../standins/endpoint/endpointStandin.js";
import { writeKey } from "../../../standins/platform/writeKey.js";
import type { OwningTest } from "../../fixtures.js";
import { type CallerAnswer, type DirectSystem, callRouter, startDirectSystem, startSecondRouter } from "../fixtures.js";

/** Enough slots for some requests to be asked to come back, of which the router takes an eighth for its own. */
const ENDPOINTS = 24;
/** Streams that are refused until the router knows of the outage: six rejections, two for each. */
const DETECTING_CALLS = 4;
const DEADLINE_MS = 8_000;
const SETTLE_MS = 300;

const rejectScript: EndpointScript = (seen, socket, response) => {
    response.writeHead(503, { "attempt-id": seen.headers["attempt-id"], "not-executed": "1" }).end();
};

const streamScript: EndpointScript = (seen, socket, response) => {
    const headers = { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" };
    const last = Number(seen.headers["last-event-id"] ?? 0);
    response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
    response.end(buildList(4 - last, index => `id: ${last + index + 1}\ndata: x\n\n`).join(""));
};

/** Starts a router whose endpoints are the ranks of one group. */
async function startGroupSystem(t: OwningTest, isOn = true): Promise<DirectSystem> {
    const change = isOn ? { outageReturn: true } : {};
    const system = await startDirectSystem(t, ENDPOINTS, store => store, undefined, change);
    await system.writeDocument(2, document => {
        document.services = [{ name: "app", max_conns: 100, backend: { slots: 8, step_ms: 10 } }];
        // The target gives callers a gap of 3.2 s, in which an outage may end that breaks their streams.
        document.routes.forEach(route => Object.assign(route, { timeout_ms: DEADLINE_MS, slo_ms: 800 }));
    });
    for (const [index, { port }] of system.endpoints.entries()) {
        const entry = { service: "app", address: `127.0.0.1:${port}`, zone: "a", version: "v1", slots: 8 };
        const group = { name: "g", rank: index };
        const value = { ...entry, state: "ready", sequence: 2, born: 1, group, size: ENDPOINTS };
        await writeKey(system.store, `servers/i-${index}`, JSON.stringify(value));
    }
    await waitFor(SETTLE_MS);
    return system;
}

function setScripts(system: DirectSystem, script: EndpointScript): void {
    system.endpoints.forEach(endpoint => endpoint.setScript(script));
}

function callStream(system: DirectSystem, id: string, signal?: AbortSignal): Promise<CallerAnswer> {
    const headers = { "attempt-id": id, "deadline-ms": String(DEADLINE_MS) };
    return callRouter(system, { path: "/advice/1", headers, signal });
}

async function beginOutage(system: DirectSystem): Promise<void> {
    setScripts(system, rejectScript);
    await Promise.all(buildList(DETECTING_CALLS, index => callStream(system, `detecting-${index}`)));
}

function listEvents(system: DirectSystem, name: string): Record<string, unknown>[] {
    return system.lines
        .map(line => JSON.parse(line) as Record<string, unknown>)
        .filter(({ name: other }) => other === name);
}

t.test("streams wait for the end of a short outage instead of being refused, and each is run once", async t => {
    const system = await startGroupSystem(t);
    await beginOutage(system);
    const calls = buildList(6, index => callStream(system, `waiting-${index}`));
    await waitFor(600);
    setScripts(system, streamScript);
    const answers = await Promise.all(calls);
    t.strictSame(
        answers.map(({ status }) => status),
        buildList(6, () => 200),
    );
    const [ended] = listEvents(system, "OutageEnded");
    t.match(ended, { service: "app", source: "own" });
    t.equal(listEvents(system, "OutageBegan").length, 1);
    const metrics = await (await fetch(`http://127.0.0.1:${system.metricsPort}/metrics`)).text();
    t.match(metrics, /^auburnpass_outages 1$/m);
    t.match(metrics, /^auburnpass_outage_waiting 0$/m);
});

t.test("without the setting, streams in an outage are refused at once, as by earlier versions", async t => {
    const system = await startGroupSystem(t, false);
    await beginOutage(system);
    const startedAt = readMonotonicMs();
    const answers = await Promise.all(buildList(3, index => callStream(system, `refused-${index}`)));
    t.ok(answers.every(({ status, headers }) => status === 503 && headers["retry-after"] !== undefined));
    t.ok(readMonotonicMs() - startedAt < 1_000);
    t.equal(listEvents(system, "OutageBegan").length, 0);
});

t.test("a stream that is cut by an outage goes on after it with the event after its last one", async t => {
    const system = await startGroupSystem(t);
    let cut: (() => void)[] = [];
    setScripts(system, (seen, socket, response) => {
        const headers = { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" };
        response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
        response.write("id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        cut.push(() => socket.destroy());
    });
    const calls = buildList(6, index => callStream(system, `cut-${index}`));
    await waitFor(SETTLE_MS);
    setScripts(system, rejectScript);
    cut.forEach(run => run());
    cut = [];
    await waitFor(600);
    setScripts(system, streamScript);
    const answers = await Promise.all(calls);
    const whole = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n";
    t.ok(answers.every(({ body, isWhole }) => body === whole && isWhole));
});

t.test("a planned stop answers the requests that wait, with a guarantee that they have not run", async t => {
    const system = await startGroupSystem(t);
    await beginOutage(system);
    const calls = buildList(3, index => callStream(system, `draining-${index}`));
    await waitFor(100);
    const startedAt = readMonotonicMs();
    const stopping = system.router.stop();
    const answers = await Promise.all(calls);
    t.ok(readMonotonicMs() - startedAt < system.settings.drain.graceMs);
    t.ok(answers.every(({ status, headers }) => status === 503 && headers["auburnpass-outcome"] === "not-run"));
    await stopping;
});

t.test("a caller that leaves while its request waits is not served", async t => {
    const system = await startGroupSystem(t);
    await beginOutage(system);
    const controller = new AbortController();
    const left = callStream(system, "left", controller.signal).catch(() => undefined);
    await waitFor(100);
    controller.abort();
    await left;
    await waitFor(100);
    setScripts(system, streamScript);
    await callStream(system, "probe");
    await waitFor(SETTLE_MS);
    const sends = system.endpoints
        .flatMap(({ seen }) => seen)
        .filter(({ headers }) => headers["attempt-id"] === "left");
    t.ok(sends.length <= 1, "at most the probe that was rejected");
});

t.test("a stream is not sent to a group that has stalled, as it would be lost with those that run", async t => {
    const system = await startGroupSystem(t);
    const stalled = new Map<string, () => void>();
    setScripts(system, (seen, socket, response) => {
        const headers = { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" };
        response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
        response.write("id: 1\ndata: x\n\n");
        stalled.set(String(seen.headers["attempt-id"]), () => response.end("id: 2\ndata: x\n\n"));
    });
    const running = buildList(12, index => callStream(system, `running-${index}`));
    await waitFor(500);
    const late = callStream(system, "late");
    await waitFor(200);
    t.equal(stalled.has("late"), false, "held while the group is silent");
    setScripts(system, streamScript);
    stalled.forEach(run => run());
    const answers = await Promise.all([...running, late]);
    t.ok(answers.every(({ status, isWhole }) => status === 200 && isWhole));
});

t.test("a router learns from another one that an outage has ended, and how long it took", async t => {
    const system = await startGroupSystem(t);
    const second = await startSecondRouter(t, system, "127.0.0.2", system.store);
    await waitFor(SETTLE_MS);
    await Promise.all([beginOutage(system), beginOutage(second)]);
    setScripts(system, streamScript);
    await callStream(system, "first-after");
    await waitFor(SETTLE_MS);
    t.match(listEvents(system, "OutageEnded"), [{ source: "own" }]);
    t.match(listEvents(second, "OutageEnded"), [{ source: "peer" }]);
    t.equal((await callStream(second, "second-after")).status, 200);
});
