import http from "node:http";
import net from "node:net";
import t from "tap";
import type { EndpointScript, SeenRequest } from "../../standins/endpoint/endpointStandin.js";
import { waitFor } from "../../src/utils/time.js";
import { callRouter, startDirectSystem } from "./fixtures.js";

const BODY = "the whole answer";

/** Head of a well-formed answer, up to the framing. */
function buildHead(seen: SeenRequest, more = ""): string {
    const attempt = String(seen.headers["attempt-id"]);
    return `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nServer-Stamp: s-1\r\n${more}\r\n`;
}

const answerWhole: EndpointScript = (seen, socket) => {
    socket.end(buildHead(seen, `Content-Length: ${BODY.length}\r\n`) + BODY);
};

const brokenAnswers: Record<string, EndpointScript> = {
    "an answer without a length that ends in a reset": (seen, socket) => {
        socket.write(buildHead(seen) + BODY.slice(0, 5), () => setTimeout(() => socket.resetAndDestroy(), 20));
    },
    "an answer without a length whose reset arrives together with it": (seen, socket) => {
        socket.write(buildHead(seen) + BODY.slice(0, 5), () => socket.resetAndDestroy());
    },
    "an answer shorter than its length": (seen, socket) => {
        socket.end(buildHead(seen, `Content-Length: ${BODY.length}\r\n`) + BODY.slice(0, 5));
    },
    "a chunked answer without its last chunk": (seen, socket) => {
        socket.end(`${buildHead(seen, "Transfer-Encoding: chunked\r\n")}5\r\n${BODY.slice(0, 5)}\r\n`);
    },
    "an answer to another attempt": (seen, socket) => {
        const other = { ...seen, headers: { "attempt-id": "a-other" } };
        socket.end(buildHead(other, `Content-Length: ${BODY.length}\r\n`) + BODY);
    },
    "bytes that are no answer": (seen, socket) => socket.end("garbage\r\n\r\n"),
    "a success without a signature": (seen, socket) => {
        const attempt = String(seen.headers["attempt-id"]);
        socket.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nContent-Length: 2\r\n\r\nok`);
    },
    "a body with an encoding": (seen, socket) => {
        socket.end(buildHead(seen, "Content-Encoding: gzip\r\nContent-Length: 2\r\n") + "ok");
    },
    "a refusal that doesn't say that nothing ran": (seen, socket, response) => {
        response.writeHead(503, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" }).end("busy");
    },
};

for (const [name, script] of Object.entries(brokenAnswers)) {
    t.test(`${name}: a repeatable request is sent once more, another one fails without a promise`, async t => {
        const system = await startDirectSystem(t);
        let calls = 0;
        for (const endpoint of system.endpoints) {
            endpoint.setScript((seen, socket, response) => {
                calls++;
                (calls === 1 ? script : answerWhole)(seen, socket, response);
            });
        }
        const repeated = await callRouter(system, { path: "/stock/1" });
        t.match(repeated, { status: 200, body: BODY, isWhole: true });
        t.equal(calls, 2);
        calls = 0;
        const once = await callRouter(system, { method: "POST", path: "/book/1", body: "order" });
        t.equal(once.status, 502);
        t.equal(once.headers["server-stamp"], undefined);
        t.equal(calls, 1, "a booking reaches one endpoint only");
    });
}

t.test("an answer without a length that ends in order is whole", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript((seen, socket) => socket.end(buildHead(seen) + BODY));
    t.match(await callRouter(system, { path: "/stock/1" }), { status: 200, body: BODY, isWhole: true });
});

t.test("an endpoint that declares that nothing ran: the promise is passed on, or another endpoint answers", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript((seen, socket, response) => {
        response.writeHead(503, { "attempt-id": seen.headers["attempt-id"], "not-executed": "1" }).end();
    });
    const refused = await callRouter(system, { method: "POST", path: "/book/1", body: "order" });
    t.equal(refused.status, 503);
    t.ok(Number(refused.headers["retry-after"]) > 0);
});

t.test("the endpoint gets the caller's request, without the key and with what the router sets", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript(answerWhole);
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

t.test("unknown routes and keys are refused without a send", async t => {
    const system = await startDirectSystem(t, 1);
    t.equal((await callRouter(system, { path: "/nowhere/1" })).status, 404);
    t.equal((await callRouter(system, { path: "/stock/1", headers: { "x-api-key": "wrong" } })).status, 401);
    t.equal(system.endpoints[0]?.seen.length, 0);
});

/** Events of a stream from one on. */
function buildEvents(from: number, to: number): string {
    let text = "";
    for (let id = from; id <= to; id++) {
        text += `id: ${id}\ndata: token ${id}\n\n`;
    }
    return text;
}

t.test("a stream that is cut inside an event goes on at another endpoint, without a lost or doubled event", async t => {
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

t.test("a stream that can't go on ends as a broken connection", async t => {
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

t.test("a caller that leaves ends the work at the endpoint", async t => {
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
    t.equal(system.endpoints[0]?.seen.length, 1, "nothing is sent once more");
});

t.test("the time of a route ends the wait: 504 after a send", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript(() => undefined);
    const answer = await callRouter(system, { path: "/stock/1", headers: { "deadline-ms": "200" } });
    t.equal(answer.status, 504);
});

t.test("a planned stop serves requests on open connections, closes them in order, and ends", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript((seen, socket) =>
        setTimeout(() => answerWhole(seen, socket, undefined as never), 200),
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

t.test("a planned stop closes connections whose answer had begun before it, and ones without a request", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript((seen, socket, response) => {
        const { "attempt-id": attempt } = seen.headers;
        response.writeHead(200, { "attempt-id": attempt, "server-stamp": "s-1", "content-type": "text/event-stream" });
        response.write(buildEvents(1, 2));
        setTimeout(() => response.end(buildEvents(3, 4)), seen.path.endsWith("long") ? 1_800 : 600);
    });
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    t.teardown(() => agent.destroy());
    const unused = net.connect(system.port, "127.0.0.1");
    unused.on("error", () => undefined);
    const unusedClosed = new Promise(resolve => unused.once("close", resolve));
    const long = callRouter(system, { path: "/advice/long", headers: { "deadline-ms": "4000" } });
    const streaming = callRouter(system, { path: "/advice/1", agent });
    await waitFor(200);
    const stopping = system.router.stop();
    t.match(await streaming, { status: 200, isWhole: true, headers: { connection: "keep-alive" } });
    await waitFor(50);
    await t.rejects(callRouter(system, { path: "/stock/2", agent }), "no request is taken on the old connection");
    await unusedClosed;
    t.equal(await Promise.race([long.then(() => "ended"), waitFor(0).then(() => "running")]), "running");
    t.ok((await long).isWhole);
    await stopping;
});
