import net from "node:net";
import t from "tap";
import { createHttpKeyValueService } from "../../src/platform/index.js";
import { readMonotonicMs } from "../../src/utils/time.js";
import type { OwningTest } from "../fixtures.js";

const WATCH_MS = 2_000;
/** Bound on noticing that a watch has failed, in milliseconds. */
const MAX_NOTICE_MS = 500;

/** Starts a store that answers each call with the given bytes and keeps the connection open. */
async function startRawStore(t: OwningTest, bytes: string): Promise<string> {
    const sockets = new Set<net.Socket>();
    const server = net.createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("data", () => socket.write(bytes));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(async () => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

t.test("a watch whose answer switches protocols fails at once instead of waiting in vain", async t => {
    const upgrade = "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n";
    const service = createHttpKeyValueService({ url: await startRawStore(t, upgrade) });
    const startedAt = readMonotonicMs();
    await t.rejects(service.watchEntries("a/", 1, WATCH_MS), /upgrade that was not requested/);
    t.ok(readMonotonicMs() - startedAt < MAX_NOTICE_MS);
});

t.test("a watch without events ends after its time, and at once when it is aborted", async t => {
    const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const service = createHttpKeyValueService({ url: await startRawStore(t, head) });
    const empty = { position: { revision: 7 }, changed: [], deleted: [] };
    t.match(await service.watchEntries("a/", 7, MAX_NOTICE_MS), empty);
    const abort = new AbortController();
    setTimeout(() => abort.abort(), 50);
    const startedAt = readMonotonicMs();
    t.match(await service.watchEntries("a/", 7, WATCH_MS, abort.signal), empty);
    t.ok(readMonotonicMs() - startedAt < MAX_NOTICE_MS);
});

t.test("a watch whose events can't be read fails at once instead of waiting in vain", async t => {
    const body = "no JSON\n";
    const head = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length + 1}\r\n\r\n`;
    const service = createHttpKeyValueService({ url: await startRawStore(t, head + body) });
    const startedAt = readMonotonicMs();
    await t.rejects(service.watchEntries("a/", 1, WATCH_MS), /events of a watch/);
    t.ok(readMonotonicMs() - startedAt < MAX_NOTICE_MS);
});
