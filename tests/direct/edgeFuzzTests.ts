import net from "node:net";
import * as fc from "fast-check";
import t from "tap";
import type { EndpointScript } from "../../standins/endpoint/endpointStandin.js";
import { type DirectSystem, TEAM_KEY, callRouter, readStatus, startDirectSystem } from "./fixtures.js";

const RUNS = 150;
const RESPONSE_WAIT_MS = 150;
const SMUGGLED_PATH = "/stock/smuggled";
const SMUGGLED_REQUEST = `GET ${SMUGGLED_PATH} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: hidden\r\nX-Api-Key: ${TEAM_KEY}\r\n\r\n`;

const answerRequest: EndpointScript = (seen, socket, response) => {
    const { "attempt-id": attempt } = seen.headers;
    if (attempt === undefined) {
        // The caller listed the header in Connection, so it was not forwarded.
        response.writeHead(400, { "not-executed": "1" }).end();
        return;
    }
    response.writeHead(200, { "attempt-id": attempt, "server-stamp": "s-1" }).end("done");
};

/** Headers that frame a body, most of them invalid. */
const framings = fc.constantFrom(
    `Content-Length: ${SMUGGLED_REQUEST.length}`,
    "Content-Length: 0",
    "Content-Length: 5\r\nContent-Length: 6",
    "Content-Length: -1",
    "Content-Length: 1e3",
    "Content-Length: 99999999999999999999",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: chunked\r\nContent-Length: 4",
    "Transfer-Encoding: xchunked",
    "Transfer-Encoding: identity, chunked",
    "Transfer-Encoding : chunked",
    "Transfer-Encoding:\tchunked",
    " Transfer-Encoding: chunked",
);
const bodies = fc.constantFrom(
    SMUGGLED_REQUEST,
    `0\r\n\r\n${SMUGGLED_REQUEST}`,
    `5\r\nhello\r\n0\r\n\r\n${SMUGGLED_REQUEST}`,
    `ffffffffffffffff\r\n${SMUGGLED_REQUEST}`,
    `5;ext=\n\r\nhello\r\n0\r\n\r\n${SMUGGLED_REQUEST}`,
    `-1\r\n${SMUGGLED_REQUEST}`,
);
const requestLines = fc.constantFrom(
    "POST /book/a HTTP/1.1",
    "GET /stock/a HTTP/1.1",
    "GET /stock/a HTTP/1.0",
    "POST /book/a HTTP/9.9",
);
const extraHeaders = fc.array(
    fc.constantFrom(
        "Host: other.example",
        "Connection: close, attempt-id",
        "Expect: 100-continue",
        `X-Long: ${"x".repeat(20_000)}`,
        "Bad Name: x",
        "X-Nul: a\u0000b",
        "Deadline-Ms: -5",
        "Deadline-Ms: NaN",
        "Last-Event-Id: \u00ff",
    ),
    { maxLength: 3 },
);

/** Sends raw bytes, and collects the response until the router closes the connection or is silent for a short time. */
function sendBytes(system: DirectSystem, bytes: string): Promise<string> {
    return new Promise(resolve => {
        let received = "";
        const socket = net.connect(system.port, "127.0.0.1", () => socket.write(bytes, "latin1"));
        socket.setTimeout(RESPONSE_WAIT_MS, () => socket.destroy());
        socket.on("data", chunk => (received += chunk.toString("latin1")));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(received));
    });
}

t.test("malformed requests neither crash the router nor reach an endpoint as smuggled requests", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript(answerRequest);
    await fc.assert(
        fc.asyncProperty(requestLines, framings, extraHeaders, bodies, async (line, framing, extra, body) => {
            const head = [
                line,
                "Host: shop.example",
                "Attempt-Id: a-fuzz",
                `X-Api-Key: ${TEAM_KEY}`,
                framing,
                ...extra,
            ];
            const received = await sendBytes(system, `${head.join("\r\n")}\r\n\r\n${body}`);
            const seen = system.endpoints[0]?.seen.splice(0) ?? [];
            const isFramed = !/transfer-encoding/i.test(framing) && framing.split("\r\n").length === 1;
            const length = isFramed ? Number(framing.replace("Content-Length: ", "")) : Number.NaN;
            // Bytes after a body with valid framing (a length, or chunked as the last coding) are the caller's next request.
            const isNextRequest = length === 0 || /^Transfer-Encoding:\s*(identity, )?chunked$/.test(framing);
            const wrong = seen.filter(request => request.path === SMUGGLED_PATH && !isNextRequest);
            t.strictSame(wrong, [], `${framing} ${JSON.stringify(body.slice(0, 20))}`);
            t.ok(received === "" || received.startsWith("HTTP/1.1 "), "any response is HTTP/1.1");
            const bodyOf = (path: string): string[] => seen.filter(request => request.path === path).map(r => r.body);
            t.ok([...bodyOf("/book/a"), ...bodyOf("/stock/a")].every(sent => body.includes(sent) || sent === "hello"));
        }),
        { numRuns: RUNS, seed: 1 },
    );
    t.equal(await readStatus(system.readinessPort), 200);
    t.equal((await callRouter(system, { path: "/stock/1" })).status, 200);
});
