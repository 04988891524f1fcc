import dgram from "node:dgram";
import t from "tap";
import { type GossipMessage, startPeerGossip } from "../../src/peers/index.js";
import { createLogger } from "../../src/telemetry/logger.js";
import { waitFor } from "../../src/utils/time.js";
import { findFreePorts } from "../../bench/fleet/ports.js";
import type { OwningTest } from "../fixtures.js";

const SETTLE_MS = 600;

function startGossip(t: OwningTest, address: string, port: number, seeds: string[], zone = "a") {
    const received: GossipMessage[] = [];
    const lines: string[] = [];
    const gossip = startPeerGossip({
        address,
        port,
        seeds,
        zone,
        buildMessage: () => ({
            host: address,
            zone,
            version: 3,
            platformAgeMs: 0,
            platformUpMs: 0,
            endpointRevision: 0,
            endpointAgeMs: 0,
            endpointDigest: 0,
            load: { "i-1": 2 },
            suspects: [],
            isLeaving: false,
        }),
        onMessage: message => received.push(message),
        logger: createLogger(address, { writeLine: line => lines.push(line), flush: () => Promise.resolve() }),
    });
    t.teardown(() => gossip.stop());
    return { gossip, received, lines };
}

t.test("routers that share one seed discover each other", async t => {
    const [port = 0] = await findFreePorts(1);
    const first = startGossip(t, "127.0.0.1", port, []);
    const second = startGossip(t, "127.0.0.2", port, ["127.0.0.1"]);
    const third = startGossip(t, "127.0.0.3", port, ["127.0.0.1"]);
    await waitFor(SETTLE_MS);
    for (const router of [first, second, third]) {
        t.equal(router.gossip.getPeakRouterCount(), 3);
        t.equal(router.gossip.listRecent(1_000).length, 2);
    }
    t.match(second.received[0], { version: 3, load: { "i-1": 2 } });
});

t.test("datagrams that are malformed or have a forged address are rejected", async t => {
    const [port = 0] = await findFreePorts(1);
    const router = startGossip(t, "127.0.0.1", port, []);
    const socket = dgram.createSocket("udp4");
    t.teardown(async () => void socket.close());
    const forged = { host: "x", zone: "a", address: "10.9.9.9", version: 99, platformAgeMs: 0, load: {}, suspects: [] };
    const datagrams = ["", "{", "null", "[1]", JSON.stringify({ ...forged, routers: [], isLeaving: false })];
    for (const datagram of datagrams) {
        socket.send(datagram, port, "127.0.0.1");
    }
    await waitFor(SETTLE_MS);
    t.strictSame(router.received, []);
    t.equal(router.gossip.getPeakRouterCount(), 1);
    t.equal(router.lines.filter(line => line.includes("PeerRejected")).length, datagrams.length);
});

t.test("messages are sent to other zones less often in a large fleet", async t => {
    const [port = 0] = await findFreePorts(1);
    const addresses = Array.from({ length: 24 }, (unused, index) => `127.0.0.${index + 1}`);
    const routers = addresses.map((address, index) => startGossip(t, address, port, ["127.0.0.1"], `z${index % 3}`));
    await waitFor(2 * SETTLE_MS);
    const [first] = routers;
    t.equal(first?.gossip.getPeakRouterCount(), addresses.length);
    first?.received.splice(0);
    await waitFor(2 * SETTLE_MS);
    const countFrom = (address: string) => first?.received.filter(message => message.address === address).length ?? 0;
    t.ok(countFrom("127.0.0.4") > 2 * countFrom("127.0.0.2"), "the same zone sends more often than another one");
    t.ok(countFrom("127.0.0.2") > 0);
});
