import dgram from "node:dgram";
import t from "tap";
import { type RouterNews, startPeerNews } from "../../src/peers/index.js";
import { createLogger } from "../../src/telemetry/logger.js";
import { waitFor } from "../../src/utils/time.js";
import { findFreePorts } from "../../bench/fleet/ports.js";
import type { OwningTest } from "../fixtures.js";

const SETTLE_MS = 600;

function startNews(t: OwningTest, address: string, port: number, seeds: string[], zone = "a") {
    const heard: RouterNews[] = [];
    const lines: string[] = [];
    const news = startPeerNews({
        address,
        port,
        seeds,
        zone,
        buildNews: () => ({
            host: address,
            zone,
            version: 3,
            platformAgeMs: 0,
            platformUpMs: 0,
            load: { "i-1": 2 },
            suspects: [],
            isLeaving: false,
        }),
        onNews: message => heard.push(message),
        logger: createLogger(address, { writeLine: line => lines.push(line), flush: () => Promise.resolve() }),
    });
    t.teardown(() => news.stop());
    return { news, heard, lines };
}

t.test("routers that know one seed find each other", async t => {
    const [port = 0] = await findFreePorts(1);
    const first = startNews(t, "127.0.0.1", port, []);
    const second = startNews(t, "127.0.0.2", port, ["127.0.0.1"]);
    const third = startNews(t, "127.0.0.3", port, ["127.0.0.1"]);
    await waitFor(SETTLE_MS);
    for (const router of [first, second, third]) {
        t.equal(router.news.countRouters(), 3);
        t.equal(router.news.listHeard(1_000).length, 2);
    }
    t.match(second.heard[0], { version: 3, load: { "i-1": 2 } });
});

t.test("a stranger's datagram changes nothing", async t => {
    const [port = 0] = await findFreePorts(1);
    const router = startNews(t, "127.0.0.1", port, []);
    const socket = dgram.createSocket("udp4");
    t.teardown(async () => void socket.close());
    const forged = { host: "x", zone: "a", address: "10.9.9.9", version: 99, platformAgeMs: 0, load: {}, suspects: [] };
    const datagrams = ["", "{", "null", "[1]", JSON.stringify({ ...forged, routers: [], isLeaving: false })];
    for (const datagram of datagrams) {
        socket.send(datagram, port, "127.0.0.1");
    }
    await waitFor(SETTLE_MS);
    t.strictSame(router.heard, []);
    t.equal(router.news.countRouters(), 1);
    t.equal(router.lines.filter(line => line.includes("PeerRejected")).length, datagrams.length);
});

t.test("routers of other zones are told less often in a large fleet", async t => {
    const [port = 0] = await findFreePorts(1);
    const addresses = Array.from({ length: 24 }, (unused, index) => `127.0.0.${index + 1}`);
    const routers = addresses.map((address, index) => startNews(t, address, port, ["127.0.0.1"], `z${index % 3}`));
    await waitFor(2 * SETTLE_MS);
    const [first] = routers;
    t.equal(first?.news.countRouters(), addresses.length);
    first?.heard.splice(0);
    await waitFor(2 * SETTLE_MS);
    const heardFrom = (address: string) => first?.heard.filter(news => news.address === address).length ?? 0;
    t.ok(heardFrom("127.0.0.4") > 2 * heardFrom("127.0.0.2"), "the own zone more often than another one");
    t.ok(heardFrom("127.0.0.2") > 0);
});
