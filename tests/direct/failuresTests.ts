import t from "tap";
import { sendHttpCall } from "../../src/utils/http.js";
import type { EndpointScript, EndpointStandin } from "../../standins/endpoint/endpointStandin.js";
import { callRouter, startDirectSystem } from "./fixtures.js";

const FAILURE = "failure answer of the endpoint";

const answerFailure: EndpointScript = (seen, socket, response) => {
    const head = { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" };
    response.writeHead(500, head).end(FAILURE);
};

const answerSuccess: EndpointScript = (seen, socket, response) => {
    const head = { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" };
    response.writeHead(200, head).end("done");
};

/** Closes the endpoint in the middle of a request, as a crash does. */
function closeEndpoint(endpoint: EndpointStandin): EndpointScript {
    return () => void endpoint.close();
}

t.test("an endpoint's failure answer is passed on when no other endpoint is left to try", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript(answerFailure);
    const answer = await callRouter(system, { path: "/stock/1" });
    t.match(answer, { status: 500, body: FAILURE, isWhole: true });
    t.equal(answer.headers["server-stamp"], "s-1");
    t.equal(system.endpoints[0]?.seen.length, 1);
});

t.test("a request that crashed two endpoints is not sent to a third, while other requests are served", async t => {
    const system = await startDirectSystem(t, 4);
    for (const endpoint of system.endpoints) {
        endpoint.setScript((seen, ...rest) =>
            (seen.path.endsWith("crash") ? closeEndpoint(endpoint) : answerSuccess)(seen, ...rest),
        );
    }
    const first = await callRouter(system, { path: "/stock/crash" });
    t.equal(first.status, 502);
    const second = await callRouter(system, { path: "/stock/crash", headers: { "attempt-id": "a-2" } });
    t.equal(second.status, 503, "refused before it is sent to an endpoint");
    const crashes = system.endpoints.flatMap(({ seen }) => seen).filter(({ path }) => path.endsWith("crash"));
    t.equal(crashes.length, 2);
    t.equal((await callRouter(system, { path: "/stock/other" })).status, 200);
});

t.test("a complete run clears the suspicion against a request that crashed an endpoint", async t => {
    const system = await startDirectSystem(t, 4);
    let crashesLeft = 1;
    for (const endpoint of system.endpoints) {
        endpoint.setScript((seen, ...rest) =>
            (crashesLeft-- > 0 ? closeEndpoint(endpoint) : answerSuccess)(seen, ...rest),
        );
    }
    t.equal((await callRouter(system, { path: "/stock/1" })).status, 200, "the second endpoint answers");
    crashesLeft = 1;
    t.equal((await callRouter(system, { path: "/stock/1" })).status, 200, "only one crash since the last complete run");
});

t.test("the metrics port reports outcomes, sends, teams and the state of the router", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript(answerSuccess);
    await callRouter(system, { path: "/stock/1" });
    await callRouter(system, { path: "/nowhere/1" });
    const scrape = await sendHttpCall({
        method: "GET",
        url: `http://127.0.0.1:${system.metricsPort}/metrics`,
        timeoutMs: 2_000,
    });
    t.equal(scrape.status, 200);
    const text = scrape.body.toString("utf8");
    for (const line of [
        'auburnpass_requests_total{route="stock",urgency="2",outcome="ran",cause="none"} 1',
        'auburnpass_requests_total{route="none",urgency="",outcome="not-run",cause="unknown-target"} 1',
        'auburnpass_team_requests_total{team="one",outcome="ran"} 1',
        'auburnpass_sends_total{service="app",result="answered"} 1',
        'auburnpass_first_byte_seconds_count{service="app",urgency="2"} 1',
        "auburnpass_document_version 1",
        "auburnpass_known_endpoints 1",
    ]) {
        t.ok(text.split("\n").includes(line), line);
    }
    t.match(text, /auburnpass_store_calls_total\{operation="list",result="answered"\} \d/);
});

t.test("a router starts without a failed task in its log", async t => {
    const system = await startDirectSystem(t, 1);
    t.strictSame(
        system.lines.filter(line => line.includes('"name":"TaskFailed"')),
        [],
    );
});
