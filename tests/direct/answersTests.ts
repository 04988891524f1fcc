import http from "node:http";
import net from "node:net";
import t from "tap";
import type { EndpointScript, SeenRequest } from "../../standins/endpoint/endpointStandin.js";
import { waitFor } from "../../src/utils/time.js";
import { callRouter, startDirectSystem } from "./fixtures.js";

const BODY = "complete answer!";

/** Builds the head of a valid response; `extraHeaders` holds additional header lines. */
function buildHead(seen: SeenRequest, extraHeaders = ""): string {
    const attempt = String(seen.headers["attempt-id"]);
    return `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nServer-Stamp: s-1\r\n${extraHeaders}\r\n`;
}

const sendCompleteResponse: EndpointScript = (seen, socket) => {
    socket.end(buildHead(seen, `Content-Length: ${BODY.length}\r\n`) + BODY);
};

const invalidResponses: Record<string, EndpointScript> = {
    "a response without a length that ends with a reset": (seen, socket) => {
        socket.write(buildHead(seen) + BODY.slice(0, 5), () => setTimeout(() => socket.resetAndDestroy(), 20));
    },
    "a response without a length whose reset arrives together with the data": (seen, socket) => {
        socket.write(buildHead(seen) + BODY.slice(0, 5), () => socket.resetAndDestroy());
    },
    "a response shorter than its Content-Length": (seen, socket) => {
        socket.end(buildHead(seen, `Content-Length: ${BODY.length}\r\n`) + BODY.slice(0, 5));
    },
    "a chunked response without its last chunk": (seen, socket) => {
        socket.end(`${buildHead(seen, "Transfer-Encoding: chunked\r\n")}5\r\n${BODY.slice(0, 5)}\r\n`);
    },
    "a response to another attempt": (seen, socket) => {
        const other = { ...seen, headers: { "attempt-id": "a-other" } };
        socket.end(buildHead(other, `Content-Length: ${BODY.length}\r\n`) + BODY);
    },
    "bytes that are not HTTP": (seen, socket) => socket.end("garbage\r\n\r\n"),
    "a successful response without a signature": (seen, socket) => {
        const attempt = String(seen.headers["attempt-id"]);
        socket.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nContent-Length: 2\r\n\r\nok`);
    },
    "a response with a content encoding": (seen, socket) => {
        socket.end(buildHead(seen, "Content-Encoding: gzip\r\nContent-Length: 2\r\n") + "ok");
    },
    "status 503 without the not-executed header": (seen, socket, response) => {
        response.writeHead(503, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" }).end("busy");
    },
};

for (const [name, script] of Object.entries(invalidResponses)) {
    t.test(`${name}: an idempotent request is retried, a non-idempotent one fails with an unknown outcome`, async t => {
        const system = await startDirectSystem(t);
        let calls = 0;
        for (const endpoint of system.endpoints) {
            endpoint.setScript((seen, socket, response) => {
                calls++;
                (calls === 1 ? script : sendCompleteResponse)(seen, socket, response);
            });
        }
        const repeated = await callRouter(system, { path: "/stock/1" });
        t.match(repeated, { status: 200, body: BODY, isWhole: true });
        t.equal(calls, 2);
        calls = 0;
        const once = await callRouter(system, { method: "POST", path: "/book/1", body: "order" });
        t.equal(once.status, 502);
        t.equal(once.headers["server-stamp"], undefined);
        t.equal(calls, 1, "a non-idempotent request is sent to one endpoint only");
    });
}

t.test("a response without a length is complete if its connection ends normally", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript((seen, socket) => socket.end(buildHead(seen) + BODY));
    t.match(await callRouter(system, { path: "/stock/1" }), { status: 200, body: BODY, isWhole: true });
});

t.test("if no endpoint executed the request, the caller gets 503 with Retry-After", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript((seen, socket, response) => {
        response.writeHead(503, { "attempt-id": seen.headers["attempt-id"], "not-executed": "1" }).end();
    });
    const refused = await callRouter(system, { method: "POST", path: "/book/1", body: "order" });
    t.equal(refused.status, 503);
    t.ok(Number(refused.headers["retry-after"]) > 0);
});

t.test("the endpoint receives the caller's request without the API key and with the headers of the router", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript(sendCompleteResponse);
    await callRouter(system, {
        method: "POST",
        path: "/book/1?x=%20y",
        body: "order",
        headers: { tenant: "forged", "expect-instance": "forged", "x-own": "kept" },
    });
    const [seen] = system.endpoints[0]?.seen ?? [];
    t.match(seen, { method: "POST", path: "/book/1?x=%20y", body: "order" });
    t.match(seen?.headers, { tenant: "one", "expect-instance": "i-0", "x-own": "kept", host: "shop.example" });
    t.equal(seen?.headers["x-api-key"], undefined);
    t.ok(Number(seen?.headers["deadline-ms"]) <= 2_000);
});

t.test("unknown routes and API keys are refused, and nothing is sent to an endpoint", async t => {
    const system = await startDirectSystem(t, 1);
    t.equal((await callRouter(system, { path: "/nowhere/1" })).status, 404);
    t.equal((await callRouter(system, { path: "/stock/1", headers: { "x-api-key": "wrong" } })).status, 401);
    t.equal(system.endpoints[0]?.seen.length, 0);
});

/** Builds the events of a stream with the identifiers `from` to `to`. */
function buildEvents(from: number, to: number): string {
    let text = "";
    for (let id = from; id <= to; id++) {
        text += `id: ${id}\ndata: token ${id}\n\n`;
    }
    return text;
}

t.test("a stream truncated within an event resumes at another endpoint without lost or duplicate events", async t => {
    const system = await startDirectSystem(t);
    let calls = 0;
    for (const endpoint of system.endpoints) {
        endpoint.setScript((seen, socket) => {
            calls++;
            const head = buildHead(seen, "Content-Type: text/event-stream\r\n");
            if (calls === 1) {
                socket.write(`${head}${buildEvents(1, 3)}id: 4\nda`, () =>
                    setTimeout(() => socket.resetAndDestroy(), 20),
                );
            } else {
                socket.end(head + buildEvents(Number(seen.headers["last-event-id"]) + 1, 6));
            }
        });
    }
    const answer = await callRouter(system, { method: "POST", path: "/advice/1", body: "question" });
    t.equal(answer.body, buildEvents(1, 6));
    t.ok(answer.isWhole);
});

for (const [framing, headers, encode, end] of [
    ["neither a length nor chunks", "", (text: string) => text, ""],
    ["chunks", "Transfer-Encoding: chunked\r\n", encodeChunk, "0\r\n\r\n"],
] as const) {
    t.test(`a stream with ${framing} that ends inside an event has been broken off`, async t => {
        const system = await startDirectSystem(t);
        let calls = 0;
        let isEndless = false;
        for (const endpoint of system.endpoints) {
            endpoint.setScript((seen, socket) => {
                calls++;
                const head = buildHead(seen, `Content-Type: text/event-stream\r\n${headers}`);
                const next = Number(seen.headers["last-event-id"] ?? 0) + 1;
                const isCut = isEndless || calls === 1;
                socket.end(head + encode(isCut ? `${buildEvents(1, 3)}id: 4\ndata: 4` : buildEvents(next, 6)) + end);
            });
        }
        const resumed = await callRouter(system, { method: "POST", path: "/advice/1", body: "question" });
        t.equal(resumed.body, buildEvents(1, 6));
        t.ok(resumed.isWhole);
        isEndless = true;
        const broken = await callRouter(system, { method: "POST", path: "/advice/1", body: "question" });
        t.notOk(broken.isWhole, "the caller sees that the rest is missing");
        t.notMatch(broken.body, /data: 4/);
    });
}

function encodeChunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

t.test("a stream that cannot be resumed ends with a broken connection", async t => {
    const system = await startDirectSystem(t);
    system.endpoints.forEach(endpoint =>
        endpoint.setScript((seen, socket) => {
            const head = buildHead(seen, "Content-Type: text/event-stream\r\n");
            socket.write(head + buildEvents(1, 2), () => setTimeout(() => socket.resetAndDestroy(), 20));
        }),
    );
    const answer = await callRouter(system, { method: "POST", path: "/advice/1", body: "question" });
    t.equal(answer.isWhole, false);
});

t.test("the connection to the endpoint closes when the caller disconnects", async t => {
    const system = await startDirectSystem(t, 1);
    const controller = new AbortController();
    const closed = new Promise<void>(resolve =>
        system.endpoints[0]?.setScript((seen, socket) => {
            socket.on("close", () => resolve());
            controller.abort();
        }),
    );
    await t.rejects(callRouter(system, { path: "/stock/1", signal: controller.signal }));
    await closed;
    t.equal(system.endpoints[0]?.seen.length, 1, "the request is not retried");
});

t.test("a request that times out after it was sent is answered with 504", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript(() => undefined);
    const answer = await callRouter(system, { path: "/stock/1", headers: { "deadline-ms": "200" } });
    t.equal(answer.status, 504);
});

t.test("a stalled stream that sends comments now and then ends with its route's timeout", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript((seen, socket, response) => {
        response.writeHead(200, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" });
        response.write("id: 1\ndata: a\n\n");
        const timer = setInterval(() => response.write(": still here\n\n"), 50);
        socket.on("close", () => clearInterval(timer));
    });
    const startedAt = Date.now();
    const answer = await callRouter(system, { path: "/advice/1" });
    const tookMs = Date.now() - startedAt;
    t.equal(answer.isWhole, false, "a broken connection, not a success");
    t.ok(tookMs < 2_500, `ended after ${tookMs} ms of a timeout of 2,000 ms`);
});

t.test("a graceful shutdown completes running requests, closes their connections and ends", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript((seen, socket) =>
        setTimeout(() => sendCompleteResponse(seen, socket, undefined as never), 200),
    );
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    t.teardown(() => agent.destroy());
    t.equal((await callRouter(system, { path: "/stock/1", agent })).headers.connection, "keep-alive");
    const running = callRouter(system, { path: "/stock/2", agent });
    const stopping = system.router.stop();
    const answer = await running;
    t.match(answer, { status: 200, body: BODY, isWhole: true });
    t.equal(answer.headers.connection, "close");
    await stopping;
    await t.rejects(callRouter(system, { path: "/stock/3" }));
});

t.test("a graceful shutdown closes unused connections and those whose response began before it", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript((seen, socket, response) => {
        const { "attempt-id": attempt } = seen.headers;
        response.writeHead(200, { "attempt-id": attempt, "server-stamp": "s-1", "content-type": "text/event-stream" });
        response.write(buildEvents(1, 2));
        setTimeout(() => response.end(buildEvents(3, 4)), seen.path.endsWith("long") ? 1_800 : 600);
    });
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    t.teardown(() => agent.destroy());
    const idleSocket = net.connect(system.port, "127.0.0.1");
    idleSocket.on("error", () => undefined);
    const idleSocketClosed = new Promise(resolve => idleSocket.once("close", resolve));
    const long = callRouter(system, { path: "/advice/long", headers: { "deadline-ms": "4000" } });
    const streaming = callRouter(system, { path: "/advice/1", agent });
    await waitFor(200);
    const stopping = system.router.stop();
    t.match(await streaming, { status: 200, isWhole: true, headers: { connection: "keep-alive" } });
    await waitFor(50);
    await t.rejects(callRouter(system, { path: "/stock/2", agent }), "no request is accepted on the old connection");
    await idleSocketClosed;
    t.equal(await Promise.race([long.then(() => "ended"), waitFor(0).then(() => "running")]), "running");
    t.ok((await long).isWhole);
    await stopping;
});
