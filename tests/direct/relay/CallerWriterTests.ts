import http from "node:http";
import t from "tap";
import { createCallerWriter } from "../../../src/direct/relay/CallerWriter.js";
import { UNCOUNTED_MEMORY } from "../../../src/memory/index.js";
import { listenOn } from "../../../src/utils/http.js";

const ADDRESS = "127.0.0.1";
const STREAM_BYTES = 100_000;
const EVENT = Buffer.alloc(10_000, "x");
/** More than the operating system takes from a process whose peer doesn't read. */
const CLOGGING_BYTES = 32 * 1024 * 1024;

t.test("a slow caller's stream is kept up to its bound, counted, and delivered whole", async t => {
    let held = 0;
    let peak = 0;
    const memory = {
        ...UNCOUNTED_MEMORY,
        limits: { ...UNCOUNTED_MEMORY.limits, streamBytes: STREAM_BYTES },
        reserve(bytes: number): boolean {
            held += bytes;
            peak = Math.max(peak, held);
            return true;
        },
        release: (bytes: number) => void (held -= bytes),
    };
    let kept = 0;
    let drained = 0;
    const server = http.createServer((request, response) => {
        const writer = createCallerWriter(response, memory);
        writer.setOnDrained(() => {
            drained++;
            writer.setOnDrained(undefined);
            writer.end(EVENT);
        });
        response.write(Buffer.alloc(CLOGGING_BYTES));
        do {
            kept++;
        } while (writer.write(EVENT));
    });
    t.teardown(() => {
        server.closeAllConnections();
        server.close();
    });
    const port = await listenOn(server, 0, ADDRESS);
    const caller = await new Promise<http.IncomingMessage>(resolve => http.get({ host: ADDRESS, port }, resolve));
    t.equal(kept, STREAM_BYTES / EVENT.length, "the endpoint is read on until the bound");
    t.equal(peak, STREAM_BYTES);
    let bytes = 0;
    caller.on("data", (chunk: Buffer) => (bytes += chunk.length));
    await new Promise(resolve => caller.on("close", resolve));
    t.equal(bytes, CLOGGING_BYTES + (kept + 1) * EVENT.length);
    t.ok(caller.complete);
    t.equal(drained, 1);
});
