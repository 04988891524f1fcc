import net from "node:net";
import * as fc from "fast-check";
import t from "tap";
import type { EndpointScript } from "../../standins/endpoint/endpointStandin.js";
import { type DirectSystem, TEAM_KEY, callRouter, readStatus, startDirectSystem } from "./fixtures.js";

const RUNS = 150;
const WAIT_MS = 150;
const SMUGGLED = "/stock/smuggled";
const HIDDEN = `GET ${SMUGGLED} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: hidden\r\nX-Api-Key: ${TEAM_KEY}\r\n\r\n`;

const answer: EndpointScript = (seen, socket, response) => {
    const { "attempt-id": attempt } = seen.headers;
    if (attempt === undefined) {
        // The caller has named the header as one of its connection only.
        response.writeHead(400, { "not-executed": "1" }).end();
        return;
    }
    response.writeHead(200, { "attempt-id": attempt, "server-stamp": "s-1" }).end("done");
};

/** Ways to say how long a body is, most of them wrong. */
const framings = fc.constantFrom(
    `Content-Length: ${HIDDEN.length}`,
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
    HIDDEN,
    `0\r\n\r\n${HIDDEN}`,
    `5\r\nhello\r\n0\r\n\r\n${HIDDEN}`,
    `ffffffffffffffff\r\n${HIDDEN}`,
    `5;ext=\n\r\nhello\r\n0\r\n\r\n${HIDDEN}`,
    `-1\r\n${HIDDEN}`,
);
const lines = fc.constantFrom(
    "POST /book/a HTTP/1.1",
    "GET /stock/a HTTP/1.1",
    "GET /stock/a HTTP/1.0",
    "POST /book/a HTTP/9.9",
);
const extras = fc.array(
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

/** Sends bytes as they are, and collects what comes until the router closes or a short time is over. */
function sendBytes(system: DirectSystem, bytes: string): Promise<string> {
    return new Promise(resolve => {
        let received = "";
        const socket = net.connect(system.port, "127.0.0.1", () => socket.write(bytes, "latin1"));
        socket.setTimeout(WAIT_MS, () => socket.destroy());
        socket.on("data", chunk => (received += chunk.toString("latin1")));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(received));
    });
}

t.test("no bytes of a caller bring the router down or reach an endpoint as another request", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript(answer);
    await fc.assert(
        fc.asyncProperty(lines, framings, extras, bodies, async (line, framing, extra, body) => {
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
            // Bytes after a body whose end is plain (its length, or a last coding of chunks) are the caller's next request.
            const isNextRequest = length === 0 || /^Transfer-Encoding:\s*(identity, )?chunked$/.test(framing);
            const wrong = seen.filter(request => request.path === SMUGGLED && !isNextRequest);
            t.strictSame(wrong, [], `${framing} ${JSON.stringify(body.slice(0, 20))}`);
            t.ok(received === "" || received.startsWith("HTTP/1.1 "), "what comes is an answer");
            const bodyOf = (path: string): string[] => seen.filter(request => request.path === path).map(r => r.body);
            t.ok([...bodyOf("/book/a"), ...bodyOf("/stock/a")].every(sent => body.includes(sent) || sent === "hello"));
        }),
        { numRuns: RUNS, seed: 1 },
    );
    t.equal(await readStatus(system.readinessPort), 200);
    t.equal((await callRouter(system, { path: "/stock/1" })).status, 200);
});
