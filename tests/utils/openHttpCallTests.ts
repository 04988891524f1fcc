import http from "node:http";
import net from "node:net";
import t from "tap";
import { openHttpCall } from "../../src/utils/openHttpCall.js";
import { sendHttpCall } from "../../src/utils/http.js";
import { readMonotonicMs } from "../../src/utils/time.js";
import type { OwningTest } from "../fixtures.js";

const TIMEOUT_MS = 300;
/** Time past the timeout in which a call has certainly ended, in milliseconds. */
const MARGIN_MS = 200;
const UPGRADE = "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n";

/** Starts a server that reacts to each request with the given function. */
async function startRawServer(t: OwningTest, react: (socket: net.Socket) => void): Promise<number> {
    const sockets = new Set<net.Socket>();
    const server = net.createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("data", () => react(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(async () => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return (server.address() as net.AddressInfo).port;
}

/** Tells how a promise ended, or that it is pending after a time. */
async function waitForEnd(promise: Promise<unknown>, waitMs: number): Promise<string> {
    let timer: NodeJS.Timeout | undefined;
    const pending = new Promise<string>(resolve => (timer = setTimeout(() => resolve("pending"), waitMs)));
    const end = await Promise.race([
        promise.then(
            () => "resolved",
            () => "rejected",
        ),
        pending,
    ]);
    clearTimeout(timer);
    return end;
}

const reactions: Record<string, (socket: net.Socket) => void> = {
    "an upgrade that was not requested": socket => void socket.end(UPGRADE),
    "an upgrade on a connection that stays open": socket => void socket.write(UPGRADE),
    "an upgrade and bytes of another protocol": socket => void socket.write(`${UPGRADE}\u0081\u0003abc`),
    "no byte before the connection closes": socket => void socket.end(),
    "a reset": socket => void socket.resetAndDestroy(),
    "half a head": socket => void socket.end("HTTP/1.1 200 OK\r\nContent-Le"),
    "half a body": socket => void socket.end("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
    "bytes that are not HTTP": socket => void socket.end("\0\0\0\0"),
    "interim responses only": socket => void socket.end("HTTP/1.1 102 Processing\r\n\r\n"),
    silence: () => undefined,
    "a head and silence": socket => void socket.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"),
};

for (const [name, react] of Object.entries(reactions)) {
    for (const keepAlive of [false, true]) {
        t.test(`a call that gets ${name} is not left pending (keep-alive: ${keepAlive})`, async t => {
            const agent = new http.Agent({ keepAlive });
            t.teardown(() => agent.destroy());
            const url = `http://127.0.0.1:${await startRawServer(t, react)}/`;
            const startedAt = readMonotonicMs();
            const call = sendHttpCall({ method: "GET", url, timeoutMs: TIMEOUT_MS, agent });
            t.equal(await waitForEnd(call, TIMEOUT_MS + MARGIN_MS), "rejected");
            t.ok(readMonotonicMs() - startedAt < TIMEOUT_MS + MARGIN_MS);
        });
    }
}

t.test("a call whose reader throws or never ends is not left pending", async t => {
    const port = await startRawServer(t, socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"));
    const target = { host: "127.0.0.1", port, path: "/", agent: false };
    const throwing = openHttpCall({
        target,
        readResponse: () => {
            throw new Error("unreadable");
        },
    });
    t.equal(await waitForEnd(throwing.result, MARGIN_MS), "rejected");
    t.ok(throwing.request.destroyed || throwing.request.socket?.destroyed);
    const endless = openHttpCall({ target, timeoutMs: TIMEOUT_MS, readResponse: () => new Promise(() => undefined) });
    t.equal(await waitForEnd(endless.result, TIMEOUT_MS + MARGIN_MS), "rejected");
});

for (const [name, react] of Object.entries({ silence: () => undefined, "half a body": reactions["half a body"] })) {
    t.test(`an abort ends a call that gets ${name}`, async t => {
        const abort = new AbortController();
        const url = `http://127.0.0.1:${await startRawServer(t, react ?? (() => undefined))}/`;
        const call = sendHttpCall({ method: "GET", url, timeoutMs: 10 * TIMEOUT_MS, signal: abort.signal });
        setTimeout(() => abort.abort(), MARGIN_MS / 2);
        t.equal(await waitForEnd(call, MARGIN_MS * 2), "rejected");
        const late = sendHttpCall({ method: "GET", url, timeoutMs: 10 * TIMEOUT_MS, signal: abort.signal });
        t.equal(await waitForEnd(late, MARGIN_MS), "rejected", "aborted before the call");
    });
}
