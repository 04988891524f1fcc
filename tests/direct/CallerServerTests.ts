import http from "node:http";
import net from "node:net";
import t from "tap";
import { WIRE_HEADERS } from "../../platform/wireNames.js";
import { type CallerServerOptions, createCallerServer } from "../../src/direct/CallerServer.js";
import type { RouteIndex } from "../../src/direct/RouteIndex.js";
import { listenOn } from "../../src/utils/http.js";
import { waitFor } from "../../src/utils/time.js";
import type { OwningTest } from "../fixtures.js";

const ADDRESS = "127.0.0.1";
const SETTLE_MS = 50;

/** Serves one request, and returns what the caller saw and how many requests count as in progress afterwards. */
async function callServer(
    t: OwningTest,
    options: Pick<CallerServerOptions, "filters" | "onSettled">,
): Promise<{ status: number | undefined; isWhole: boolean; active: number; errors: unknown[] }> {
    const errors: unknown[] = [];
    const callers = createCallerServer({
        ...options,
        names: WIRE_HEADERS,
        getIndex: () => ({}) as RouteIndex,
        onError: error => errors.push(error),
    });
    const port = await listenOn(callers.server, 0, ADDRESS);
    t.teardown(async () => {
        callers.server.closeAllConnections();
        callers.server.close();
    });
    const seen = await new Promise<{ status: number | undefined; isWhole: boolean }>(resolve => {
        const request = http.get({ host: ADDRESS, port, agent: false }, response => {
            response.resume();
            response.on("error", () => undefined);
            response.on("close", () => resolve({ status: response.statusCode, isWhole: response.complete }));
        });
        request.on("error", () => resolve({ status: undefined, isWhole: false }));
    });
    await waitFor(SETTLE_MS);
    return { ...seen, active: callers.countActiveRequests(), errors };
}

const sendAnswer: CallerServerOptions["filters"][number] = ({ response }) => {
    response.end("done");
    return undefined;
};

t.test("a request whose account throws does not count as in progress for good", async t => {
    const seen = await callServer(t, {
        filters: [sendAnswer],
        onSettled() {
            throw new Error("no account");
        },
    });
    t.match(seen, { status: 200, isWhole: true, active: 0, errors: [/no account/] });
});

t.test("a filter that throws leaves no caller without an answer", async t => {
    const fail = (): never => {
        throw new Error("unexpected");
    };
    const seen = await callServer(t, { filters: [fail], onSettled: () => undefined });
    t.match(seen, { status: 500, isWhole: true, active: 0, errors: [/unexpected/] });
});

t.test("a filter that throws after the head was sent cuts the answer", async t => {
    const seen = await callServer(t, {
        filters: [
            ({ response }) => {
                response.writeHead(200);
                response.write("half");
                throw new Error("unexpected");
            },
        ],
        onSettled: () => undefined,
    });
    t.match(seen, { status: 200, isWhole: false, active: 0 });
});

const HEADER_TIMEOUT_MS = 1_000;
/** Time in which the server notices a slow head, in milliseconds; it checks once a second. */
const NOTICE_MS = 2_500;
const FIRST_HALF = "GET /a HTTP/1.1\r\nHost: shop.example\r\n";

/** Starts a server whose requests take a time, and a connection to it; counts what has run. */
async function startSlowServer(t: OwningTest, workMs: number, headerTimeoutMs = HEADER_TIMEOUT_MS) {
    let runs = 0;
    const callers = createCallerServer({
        filters: [
            async ({ response }) => {
                runs++;
                await waitFor(workMs);
                response.end("done");
                return undefined;
            },
        ],
        names: WIRE_HEADERS,
        getIndex: () => ({}) as RouteIndex,
        onSettled: () => undefined,
        onError: () => undefined,
    });
    const limits = { headerBytes: 16_384, bodyBytes: 1_000, headerTimeoutMs, idleTimeoutMs: 15_000 };
    callers.applyLimits(limits);
    const port = await listenOn(callers.server, 0, ADDRESS);
    const socket = net.connect({ port, host: ADDRESS, allowHalfOpen: true });
    t.teardown(async () => {
        socket.destroy();
        callers.server.closeAllConnections();
        callers.server.close();
    });
    let received = "";
    socket.on("data", chunk => (received += chunk.toString("latin1")));
    socket.on("error", () => undefined);
    const closing = new Promise<void>(resolve => socket.on("end", resolve));
    return { socket, countRuns: () => runs, getReceived: () => received, closing };
}

t.test("a request that arrives after its connection got a 408 does not run", async t => {
    const { socket, countRuns, getReceived } = await startSlowServer(t, 0);
    socket.write(FIRST_HALF);
    await waitFor(NOTICE_MS);
    t.match(getReceived(), /^HTTP\/1\.1 408 /);
    socket.write("\r\n");
    await waitFor(SETTLE_MS);
    t.equal(countRuns(), 0);
});

t.test("half a request behind one that runs does not get that one a 408", async t => {
    const { socket, countRuns, getReceived, closing } = await startSlowServer(t, NOTICE_MS + HEADER_TIMEOUT_MS);
    socket.write(`${FIRST_HALF}\r\n${FIRST_HALF}`);
    await waitFor(NOTICE_MS);
    t.equal(getReceived(), "");
    await closing;
    t.match(getReceived(), /^HTTP\/1\.1 200 [^]*done/);
    t.equal(countRuns(), 1);
});

t.test("bytes that are no request behind one that runs do not get that one a 400", async t => {
    const { socket, countRuns, getReceived, closing } = await startSlowServer(t, SETTLE_MS, 15_000);
    socket.write(`${FIRST_HALF}\r\n\0\0\0\0`);
    await closing;
    t.match(getReceived(), /^HTTP\/1\.1 200 [^]*done/);
    t.equal(countRuns(), 1);
});
