import t from "tap";
import type { EndpointScript } from "../../standins/endpoint/endpointStandin.js";
import { type DirectSystem, callRouter, startDirectSystem } from "./fixtures.js";
import { callRaw } from "./rawCaller.js";

/** Bound on an answer, in milliseconds; the timeout of the routes is 2,000 ms. */
const MAX_ANSWER_MS = 1_000;
const WAIT_MS = 3_000;
const UPGRADE = "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: websocket\r\n";
const STATUS_BAD_GATEWAY = 502;

const upgrades: Record<string, EndpointScript> = {
    "and closes the connection": (seen, socket) => socket.end(`${UPGRADE}\r\n`),
    "and leaves the connection open": (seen, socket) => socket.write(`${UPGRADE}\r\n`),
    "with the attempt and a signature": (seen, socket) =>
        socket.end(`${UPGRADE}Attempt-Id: ${String(seen.headers["attempt-id"])}\r\nServer-Stamp: s-1\r\n\r\n`),
    "with a mark that it did not run": (seen, socket) => socket.end(`${UPGRADE}Not-Executed: 1\r\n\r\n`),
    "and sends bytes of another protocol": (seen, socket) => socket.end(`${UPGRADE}\r\n\u0081\u0003abc`),
};
const calls = [
    { kind: "safe", method: "GET", path: "/stock/1", sends: 2 },
    { kind: "unsafe", method: "POST", path: "/book/1", sends: 1 },
    { kind: "streamed", method: "POST", path: "/advice/1", sends: 2 },
];

function countSeen(system: DirectSystem): number {
    return system.endpoints.reduce((sum, { seen }) => sum + seen.length, 0);
}

for (const [name, script] of Object.entries(upgrades)) {
    t.test(`a request whose endpoint switches protocols ${name} is not left without an answer`, async t => {
        const system = await startDirectSystem(t);
        for (const { kind, method, path, sends } of calls) {
            system.endpoints.forEach(endpoint => endpoint.setScript(script));
            const before = countSeen(system);
            const answer = await callRaw(system, { method, path, attempt: `a-${kind}`, waitMs: WAIT_MS });
            t.match(answer, { status: STATUS_BAD_GATEWAY, isWhole: true, rest: "" }, kind);
            t.ok(answer.lastedMs < MAX_ANSWER_MS, `${kind}: ${Math.round(answer.lastedMs)} ms`);
            t.equal(countSeen(system) - before, sends, `${kind}: sends`);
        }
        system.endpoints.forEach(endpoint =>
            endpoint.setScript((seen, socket, response) =>
                response
                    .writeHead(200, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-2" })
                    .end("done"),
            ),
        );
        t.match(await callRouter(system, { path: "/stock/2" }), { status: 200, body: "done", isWhole: true });
    });
}

t.test("a planned stop does not wait for requests whose endpoint has switched protocols", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript((seen, socket) => socket.end(`${UPGRADE}\r\n`));
    await callRaw(system, { method: "POST", path: "/book/1", attempt: "a-1", waitMs: MAX_ANSWER_MS });
    await system.router.stop();
    const stopped = system.lines.find(line => line.includes('"ProcessStopped"'));
    t.match(stopped, /"concurrent":0/);
});
