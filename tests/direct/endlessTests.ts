import type { Socket } from "node:net";
import t from "tap";
import { readMonotonicMs, waitFor } from "../../src/utils/time.js";
import type { EndpointScript, SeenRequest } from "../../standins/endpoint/endpointStandin.js";
import { callRouter, startDirectSystem } from "./fixtures.js";

/** Time in which an endless answer must have been given up, in milliseconds; the route's time is 2,000. */
const GIVEN_UP_MS = 1_500;
/** Memory that the answers of one test may take, in bytes: what an answer may hold, twice, and the test's own buffers. */
const MAX_GROWTH_BYTES = 64 * 1024 * 1024;
const PIECE_BYTES = 65_536;
const SETTLE_MS = 100;
const ROUNDS = 4;

function buildHead(seen: SeenRequest, more = ""): string {
    return `HTTP/1.1 200 OK\r\nAttempt-Id: ${String(seen.headers["attempt-id"])}\r\nServer-Stamp: s-1\r\n${more}`;
}

/** Sends a beginning, and then the same bytes until the connection is closed. */
function sendEndlessly(socket: Socket, beginning: string, repeated: string): void {
    const piece = Buffer.from(repeated.repeat(Math.ceil(PIECE_BYTES / repeated.length)));
    const send = (): void => {
        while (!socket.destroyed && socket.write(piece)) {
            // Goes on until the socket's buffer is full.
        }
    };
    socket.on("drain", send);
    socket.on("error", () => undefined);
    socket.write(beginning);
    send();
}

const endlessAnswers: Record<string, EndpointScript> = {
    "one header": (seen, socket) => sendEndlessly(socket, buildHead(seen, "X-More: "), "x"),
    "many headers": (seen, socket) => sendEndlessly(socket, buildHead(seen), "X-More: more\r\n"),
    "empty lines before the head": (seen, socket) => sendEndlessly(socket, "", "\r\n"),
    "informational answers": (seen, socket) => sendEndlessly(socket, "", "HTTP/1.1 102 Processing\r\n\r\n"),
    "bytes that are no head": (seen, socket) => sendEndlessly(socket, "", "\0"),
    "a body without a length": (seen, socket) => sendEndlessly(socket, buildHead(seen, "\r\n"), "x"),
    "a body past its length": (seen, socket) =>
        sendEndlessly(socket, buildHead(seen, "Content-Length: 99999999999\r\n\r\n"), "x"),
    chunks: (seen, socket) =>
        sendEndlessly(socket, buildHead(seen, "Transfer-Encoding: chunked\r\n\r\n"), "4\r\nxxxx\r\n"),
    "a chunk's extension": (seen, socket) =>
        sendEndlessly(socket, buildHead(seen, "Transfer-Encoding: chunked\r\n\r\n4;"), "x"),
    trailers: (seen, socket) =>
        sendEndlessly(socket, buildHead(seen, "Transfer-Encoding: chunked\r\n\r\n0\r\n"), "X-More: more\r\n"),
};

const endlessStreams: Record<string, EndpointScript> = {
    ...endlessAnswers,
    "an event": (seen, socket) => sendEndlessly(socket, buildHead(seen, "\r\nid: 1\ndata: "), "x"),
    "events without an identifier": (seen, socket) => sendEndlessly(socket, buildHead(seen, "\r\n"), "data: x\n\n"),
    "empty lines": (seen, socket) => sendEndlessly(socket, buildHead(seen, "\r\n"), "\n"),
};

/** Plays an endpoint that sends without end beside one that answers, and tells when each endless answer was closed. */
async function startTrouble(t: Parameters<typeof startDirectSystem>[0], script: EndpointScript, body: string) {
    const system = await startDirectSystem(t);
    const lasted: number[] = [];
    let calls = 0;
    for (const endpoint of system.endpoints) {
        endpoint.setScript((seen, socket, response) => {
            calls++;
            if (calls % 2 === 0) {
                response.writeHead(200, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-2" }).end(body);
                return;
            }
            const beganAt = readMonotonicMs();
            socket.on("close", () => lasted.push(readMonotonicMs() - beganAt));
            script(seen, socket, response);
        });
    }
    return { system, lasted, skipSuccess: () => calls++ };
}

for (const [name, script] of Object.entries(endlessAnswers)) {
    t.test(`an endpoint that sends ${name} without end is cut off, and the answer is true`, async t => {
        const { system, lasted, skipSuccess } = await startTrouble(t, script, "done");
        const before = process.memoryUsage().rss;
        for (let round = 0; round < ROUNDS; round++) {
            t.match(await callRouter(system, { path: "/stock/1" }), { status: 200, body: "done", isWhole: true });
        }
        const booked = await callRouter(system, { method: "POST", path: "/book/1", body: "x" });
        t.equal(booked.status, 502, "it may have run, so nothing is promised");
        skipSuccess();
        await waitFor(SETTLE_MS);
        t.equal(lasted.length, ROUNDS + 1);
        t.ok(Math.max(...lasted) < GIVEN_UP_MS, `closed after ${lasted.map(Math.round).join(", ")} ms`);
        t.ok(process.memoryUsage().rss - before < MAX_GROWTH_BYTES);
    });
}

for (const [name, script] of Object.entries(endlessStreams)) {
    t.test(`a stream whose endpoint sends ${name} without end goes on at another one`, async t => {
        const { system, lasted } = await startTrouble(t, script, "id: 1\ndata: a\n\n");
        const before = process.memoryUsage().rss;
        const answer = await callRouter(system, { path: "/advice/1" });
        t.match(answer, { status: 200, isWhole: true });
        t.ok(answer.body.endsWith("id: 1\ndata: a\n\n"));
        t.ok(answer.body.length < PIECE_BYTES * 2, `the caller gets ${answer.body.length} bytes`);
        await waitFor(SETTLE_MS);
        t.ok(Math.max(...lasted) < GIVEN_UP_MS, `closed after ${lasted.map(Math.round).join(", ")} ms`);
        t.ok(process.memoryUsage().rss - before < MAX_GROWTH_BYTES);
    });
}
