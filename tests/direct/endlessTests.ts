import type { Socket } from "node:net";
import t from "tap";
import { readMonotonicMs, waitFor } from "../../src/utils/time.js";
import type { EndpointScript, SeenRequest } from "../../standins/endpoint/endpointStandin.js";
import { callRouter, startDirectSystem } from "./fixtures.js";

/** Maximum time until the connection of an endless response is closed, in milliseconds; the route's timeout is 2,000 ms. */
const MAX_CLOSE_MS = 1_500;
/** Maximum growth of memory in one test, in bytes: twice the buffer limit of a response, and the test's own buffers. */
const MAX_GROWTH_BYTES = 64 * 1024 * 1024;
const BLOCK_BYTES = 65_536;
const CLOSE_WAIT_MS = 100;
const ROUNDS = 4;

function buildHead(seen: SeenRequest, extraHeaders = ""): string {
    return `HTTP/1.1 200 OK\r\nAttempt-Id: ${String(seen.headers["attempt-id"])}\r\nServer-Stamp: s-1\r\n${extraHeaders}`;
}

/** Sends `start`, and then `repeated` again and again until the connection is closed. */
function sendEndlessly(socket: Socket, start: string, repeated: string): void {
    const block = Buffer.from(repeated.repeat(Math.ceil(BLOCK_BYTES / repeated.length)));
    const fillBuffer = (): void => {
        while (!socket.destroyed && socket.write(block)) {
            // Writes until the buffer of the socket is full.
        }
    };
    socket.on("drain", fillBuffer);
    socket.on("error", () => undefined);
    socket.write(start);
    fillBuffer();
}

const endlessResponses: Record<string, EndpointScript> = {
    "one header": (seen, socket) => sendEndlessly(socket, buildHead(seen, "X-More: "), "x"),
    "many headers": (seen, socket) => sendEndlessly(socket, buildHead(seen), "X-More: more\r\n"),
    "empty lines before the status line": (seen, socket) => sendEndlessly(socket, "", "\r\n"),
    "informational responses": (seen, socket) => sendEndlessly(socket, "", "HTTP/1.1 102 Processing\r\n\r\n"),
    "bytes that are not HTTP": (seen, socket) => sendEndlessly(socket, "", "\0"),
    "a body without a length": (seen, socket) => sendEndlessly(socket, buildHead(seen, "\r\n"), "x"),
    "a body with a huge Content-Length": (seen, socket) =>
        sendEndlessly(socket, buildHead(seen, "Content-Length: 99999999999\r\n\r\n"), "x"),
    chunks: (seen, socket) =>
        sendEndlessly(socket, buildHead(seen, "Transfer-Encoding: chunked\r\n\r\n"), "4\r\nxxxx\r\n"),
    "a chunk extension": (seen, socket) =>
        sendEndlessly(socket, buildHead(seen, "Transfer-Encoding: chunked\r\n\r\n4;"), "x"),
    trailers: (seen, socket) =>
        sendEndlessly(socket, buildHead(seen, "Transfer-Encoding: chunked\r\n\r\n0\r\n"), "X-More: more\r\n"),
};

const endlessStreams: Record<string, EndpointScript> = {
    ...endlessResponses,
    "an incomplete event": (seen, socket) => sendEndlessly(socket, buildHead(seen, "\r\nid: 1\ndata: "), "x"),
    "events without an identifier": (seen, socket) => sendEndlessly(socket, buildHead(seen, "\r\n"), "data: x\n\n"),
    "empty lines": (seen, socket) => sendEndlessly(socket, buildHead(seen, "\r\n"), "\n"),
};

/** Starts a system whose endpoints alternate between an endless and a complete response, and measures the endless ones. */
async function startEndlessSystem(t: Parameters<typeof startDirectSystem>[0], script: EndpointScript, body: string) {
    const system = await startDirectSystem(t);
    const durationsMs: number[] = [];
    let calls = 0;
    for (const endpoint of system.endpoints) {
        endpoint.setScript((seen, socket, response) => {
            calls++;
            if (calls % 2 === 0) {
                response.writeHead(200, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-2" }).end(body);
                return;
            }
            const startedAt = readMonotonicMs();
            socket.on("close", () => durationsMs.push(readMonotonicMs() - startedAt));
            script(seen, socket, response);
        });
    }
    return { system, durationsMs, skipCompleteResponse: () => calls++ };
}

for (const [name, script] of Object.entries(endlessResponses)) {
    t.test(
        `the connection to an endpoint that sends ${name} endlessly is closed, and the request is retried`,
        async t => {
            const { system, durationsMs, skipCompleteResponse } = await startEndlessSystem(t, script, "done");
            const rssBefore = process.memoryUsage().rss;
            for (let round = 0; round < ROUNDS; round++) {
                t.match(await callRouter(system, { path: "/stock/1" }), { status: 200, body: "done", isWhole: true });
            }
            const nonIdempotent = await callRouter(system, { method: "POST", path: "/book/1", body: "x" });
            t.equal(nonIdempotent.status, 502, "the request may have run");
            skipCompleteResponse();
            await waitFor(CLOSE_WAIT_MS);
            t.equal(durationsMs.length, ROUNDS + 1);
            t.ok(Math.max(...durationsMs) < MAX_CLOSE_MS, `closed after ${durationsMs.map(Math.round).join(", ")} ms`);
            t.ok(process.memoryUsage().rss - rssBefore < MAX_GROWTH_BYTES);
        },
    );
}

for (const [name, script] of Object.entries(endlessStreams)) {
    t.test(`a stream whose endpoint sends ${name} endlessly resumes at another endpoint`, async t => {
        const { system, durationsMs } = await startEndlessSystem(t, script, "id: 1\ndata: a\n\n");
        const rssBefore = process.memoryUsage().rss;
        const answer = await callRouter(system, { path: "/advice/1" });
        t.match(answer, { status: 200, isWhole: true });
        t.ok(answer.body.endsWith("id: 1\ndata: a\n\n"));
        t.ok(answer.body.length < BLOCK_BYTES * 2, `the caller receives ${answer.body.length} bytes`);
        await waitFor(CLOSE_WAIT_MS);
        t.ok(Math.max(...durationsMs) < MAX_CLOSE_MS, `closed after ${durationsMs.map(Math.round).join(", ")} ms`);
        t.ok(process.memoryUsage().rss - rssBefore < MAX_GROWTH_BYTES);
    });
}
