import t from "tap";
import type { EndpointScript, SeenRequest } from "../../standins/endpoint/endpointStandin.js";
import { type DirectSystem, startDirectSystem } from "./fixtures.js";
import { callRaw } from "./rawCaller.js";

/** Bound on an answer to a response that is spoiled and ended, in milliseconds; the timeout of the routes is 2,000 ms. */
const MAX_ANSWER_MS = 1_000;
const WAIT_MS = 3_000;
const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_BAD_GATEWAY = 502;
const EVENT = "id: 1\ndata: a\n\n";

const calls = [
    { kind: "safe", method: "GET", path: "/stock/1" },
    { kind: "unsafe", method: "POST", path: "/book/1" },
    { kind: "streamed", method: "POST", path: "/advice/1" },
];

function answerSoundly(seen: SeenRequest, response: Parameters<EndpointScript>[2]): void {
    const { "attempt-id": attempt } = seen.headers;
    response.writeHead(STATUS_OK, { "attempt-id": attempt, "server-stamp": "s-sound" }).end(EVENT);
}

/** Makes the endpoints answer the first request that any of them gets with the given head, and all others soundly. */
function replaceFirstAnswer(system: DirectSystem, status: string, header: string): void {
    let answers = 0;
    const script: EndpointScript = (seen, socket, response) => {
        answers++;
        if (answers > 1) {
            answerSoundly(seen, response);
            return;
        }
        const lines = [`HTTP/1.1 ${status}`, `Attempt-Id: ${String(seen.headers["attempt-id"])}`, "Server-Stamp: s-1"];
        socket.end(`${[...lines, header, `Content-Length: ${EVENT.length}`].join("\r\n")}\r\n\r\n${EVENT}`, "latin1");
    };
    system.endpoints.forEach(endpoint => {
        endpoint.seen.splice(0);
        endpoint.setScript(script);
    });
}

function countSeen(system: DirectSystem): number {
    return system.endpoints.reduce((sum, { seen }) => sum + seen.length, 0);
}

const spoiledHeads = {
    "a status of zeros": { status: "000 OK", header: "X-Other: a" },
    "a status below 100": { status: "020 OK", header: "X-Other: a" },
    "an interim status": { status: "101 OK", header: "X-Other: a" },
    "an interim status and an upgrade without its connection header": {
        status: "101 OK",
        header: "Upgrade: websocket",
    },
    "an undefined status": { status: "900 OK", header: "X-Other: a" },
    "a blank in a header's name": { status: "200 OK", header: "Conte t-Type: text/event-stream" },
    "a blank after a header's name": { status: "200 OK", header: "Content-Type : text/event-stream" },
    "a header without a name": { status: "200 OK", header: ": text/event-stream" },
};

for (const [name, { status, header }] of Object.entries(spoiledHeads)) {
    t.test(`a response with ${name} leaves no caller without an answer, and is not passed on`, async t => {
        const system = await startDirectSystem(t);
        for (const { kind, method, path } of calls) {
            replaceFirstAnswer(system, status, header);
            const answer = await callRaw(system, { method, path, attempt: `a-${kind}`, waitMs: WAIT_MS });
            const isRepeatable = kind !== "unsafe";
            t.match(answer, { status: isRepeatable ? STATUS_OK : STATUS_BAD_GATEWAY, isWhole: true, rest: "" }, kind);
            t.equal(answer.body === EVENT, isRepeatable, `${kind}: body`);
            t.ok(answer.lastedMs < MAX_ANSWER_MS, `${kind}: ${Math.round(answer.lastedMs)} ms`);
            t.equal(countSeen(system), isRepeatable ? 2 : 1, `${kind}: sends`);
        }
        t.match(
            system.lines.filter(line => line.includes("spoiled: ")),
            { length: calls.length },
            "the log names the fault",
        );
    });
}

for (const header of ["Bad Name: a", ": a", "Length : 5"]) {
    t.test(`a request with the header '${header}' is refused at once instead of failing on its way out`, async t => {
        const system = await startDirectSystem(t);
        for (const { kind, method, path } of calls) {
            const request = { method, path, attempt: `a-${kind}`, headerLine: header, waitMs: WAIT_MS };
            t.match(await callRaw(system, request), { status: STATUS_BAD_REQUEST, isWhole: true }, kind);
        }
        t.equal(countSeen(system), 0);
    });
}

t.test(
    "a stream whose endpoints send a broken body with status 204 ends with an answer, not with a closed connection",
    async t => {
        const system = await startDirectSystem(t);
        system.endpoints.forEach(endpoint =>
            endpoint.setScript((seen, socket) => {
                const facts = `Attempt-Id: ${String(seen.headers["attempt-id"])}\r\nServer-Stamp: s-1\r\n`;
                const chunk = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`;
                socket.on("error", () => undefined);
                socket.write(
                    `HTTP/1.1 204 No Content\r\n${facts}Transfer-Encoding: chunked\r\n\r\n${chunk}\u0003`,
                    () => socket.resetAndDestroy(),
                );
            }),
        );
        const answer = await callRaw(system, { method: "POST", path: "/advice/1", attempt: "a-1", waitMs: WAIT_MS });
        t.match(answer, { status: STATUS_BAD_GATEWAY, isWhole: true });
    },
);
