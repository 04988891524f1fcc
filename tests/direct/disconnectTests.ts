import net from "node:net";
import t from "tap";
import { waitFor } from "../../src/utils/time.js";
import type { EndpointScript } from "../../standins/endpoint/endpointStandin.js";
import type { OwningTest } from "../fixtures.js";
import { type DirectSystem, TEAM_KEY, startDirectSystem } from "./fixtures.js";

/** Time within which the work for a caller that has left must end, in milliseconds. */
const ABORT_BOUND_MS = 500;
const POLL_INTERVAL_MS = 20;
const MAX_POLLS = 100;
/** Larger than the buffers of two loopback connections, so that a caller that reads nothing stops the stream. */
const FLOOD_BYTES = 32 * 1024 * 1024;
const FLOOD_EVENT_BYTES = 32 * 1024;

/** Requests that run at the endpoints of a system, by their attempt identifiers. */
interface RunningRequests {
    running: Set<string>;
    started: string[];
}

/** Makes the endpoints run each request until its connection closes or, if `answerAfterMs` is given, until then. */
function runRequests(system: DirectSystem, answerAfterMs?: number): RunningRequests {
    const requests: RunningRequests = { running: new Set(), started: [] };
    const script: EndpointScript = (seen, socket, response) => {
        const attempt = String(seen.headers["attempt-id"]);
        requests.running.add(attempt);
        requests.started.push(attempt);
        socket.on("close", () => requests.running.delete(attempt));
        if (answerAfterMs !== undefined) {
            setTimeout(() => {
                requests.running.delete(attempt);
                response.writeHead(200, { "attempt-id": attempt, "server-stamp": "s-1" }).end(`answer ${attempt}`);
            }, answerAfterMs);
        }
    };
    system.endpoints.forEach(endpoint => endpoint.setScript(script));
    return requests;
}

function buildRequest(path: string, attempt: string): string {
    return (
        `GET ${path} HTTP/1.1\r\nhost: shop.example\r\nattempt-id: ${attempt}\r\n` +
        `deadline-ms: 8000\r\nx-api-key: ${TEAM_KEY}\r\n\r\n`
    );
}

async function connectCaller(t: OwningTest, system: DirectSystem): Promise<net.Socket> {
    const socket = net.connect({ host: system.address, port: system.port, allowHalfOpen: true });
    socket.on("error", () => undefined);
    t.teardown(() => Promise.resolve(void socket.destroy()));
    await new Promise<void>(resolve => socket.once("connect", () => resolve()));
    return socket;
}

async function waitUntil(isMet: () => boolean): Promise<void> {
    for (let poll = 0; poll < MAX_POLLS && !isMet(); poll++) {
        await waitFor(POLL_INTERVAL_MS);
    }
}

for (const leave of ["end", "destroy"] as const) {
    t.test(`no pipelined request is worked on after its caller has left (${leave})`, async t => {
        const system = await startDirectSystem(t, 2);
        const requests = runRequests(system);
        const caller = await connectCaller(t, system);
        caller.write(["a-1", "a-2", "a-3"].map(attempt => buildRequest("/stock/1", attempt)).join(""));
        await waitUntil(() => requests.running.size > 0);
        await waitFor(POLL_INTERVAL_MS);
        caller[leave]();
        await waitFor(ABORT_BOUND_MS);
        t.strictSame([...requests.running], []);
        await waitFor(ABORT_BOUND_MS);
        t.strictSame([...requests.running], [], "and none starts later");
    });

    for (const pipelined of ["", buildRequest("/stock/1", "a-2")]) {
        const name = pipelined === "" ? "" : ", with a request pipelined behind it";
        t.test(
            `a stream that its caller doesn't read ends at the endpoint when the caller leaves (${leave}${name})`,
            async t => {
                const system = await startDirectSystem(t, 1);
                let isRunning = false;
                let sentBytes = 0;
                system.endpoints[0]?.setScript((seen, socket, response) => {
                    isRunning = true;
                    socket.on("close", () => (isRunning = false));
                    response.on("error", () => undefined);
                    response.writeHead(200, {
                        "attempt-id": seen.headers["attempt-id"],
                        "server-stamp": "s-1",
                        "content-type": "text/event-stream",
                    });
                    const data = "x".repeat(FLOOD_EVENT_BYTES);
                    sendEvents();

                    function sendEvents(): void {
                        for (let isWritable = true; isWritable && isRunning && sentBytes < FLOOD_BYTES;) {
                            sentBytes += FLOOD_EVENT_BYTES;
                            isWritable = response.write(`id: ${sentBytes}\ndata: ${data}\n\n`);
                        }
                        response.once("drain", sendEvents);
                    }
                });
                const caller = await connectCaller(t, system);
                caller.pause();
                caller.write(buildRequest("/advice/1", "a-1"));
                await waitUntil(() => isRunning);
                await waitFor(ABORT_BOUND_MS);
                caller.write(pipelined);
                await waitFor(POLL_INTERVAL_MS);
                t.ok(isRunning && sentBytes < FLOOD_BYTES, "the stream is held up by its caller");
                caller[leave]();
                await waitFor(ABORT_BOUND_MS);
                t.notOk(isRunning);
            },
        );
    }
}

t.test("a request pipelined behind an answer that closes the connection is not run", async t => {
    const system = await startDirectSystem(t, 2);
    const requests = runRequests(system, 200);
    const caller = await connectCaller(t, system);
    let received = "";
    caller.on("data", (chunk: Buffer) => (received += chunk.toString("utf8")));
    const closed = new Promise<void>(resolve => caller.once("end", () => resolve()));
    const stopped = system.router.stop();
    caller.write(buildRequest("/book/1", "a-1") + buildRequest("/book/2", "a-2"));
    await closed;
    t.match(received, /connection: close/i);
    t.match(received, /answer a-1/);
    const answered = ["a-1", "a-2"].filter(attempt => received.includes(`answer ${attempt}`));
    t.strictSame(requests.started, answered, "what was run is answered");
    caller.destroy();
    await stopped;
});

t.test("pipelined requests are answered in order, each by its own answer", async t => {
    const system = await startDirectSystem(t, 2);
    runRequests(system, 20);
    const caller = await connectCaller(t, system);
    let received = "";
    caller.on("data", (chunk: Buffer) => (received += chunk.toString("utf8")));
    const attempts = ["a-1", "a-2", "a-3", "a-4"];
    caller.write(attempts.map(attempt => buildRequest("/stock/1", attempt)).join(""));
    await waitUntil(() => received.includes("answer a-4"));
    t.strictSame(
        [...received.matchAll(/answer (a-\d)/g)].map(found => found[1]),
        attempts,
    );
});

t.test("a request that times out behind a pipelined one is refused as not run", async t => {
    const system = await startDirectSystem(t, 2);
    const requests = runRequests(system, 600);
    const caller = await connectCaller(t, system);
    let received = "";
    caller.on("data", (chunk: Buffer) => (received += chunk.toString("utf8")));
    const hasty = buildRequest("/book/2", "a-2").replace("deadline-ms: 8000", "deadline-ms: 200");
    caller.write(buildRequest("/book/1", "a-1") + hasty);
    await waitUntil(() => received.includes("timed-out"));
    t.match(received, /answer a-1[^]*HTTP\/1.1 503[^]*timed-out/);
    t.strictSame(requests.started, ["a-1"]);
});
