import dgram from "node:dgram";
import t from "tap";
import { type GossipMessage, startPeerGossip } from "../../src/peers/index.js";
import { createLogger } from "../../src/telemetry/logger.js";
import { computeDigest } from "../../src/utils/digest.js";
import { buildList } from "../../src/utils/list.js";
import { waitFor } from "../../src/utils/time.js";
import { findFreePorts } from "../../bench/fleet/ports.js";
import type { OwningTest } from "../fixtures.js";

const SETTLE_MS = 600;

function startGossip(
    t: OwningTest,
    address: string,
    port: number,
    seeds: string[],
    zone = "a",
    suspects: GossipMessage["suspects"] = [],
) {
    const received: GossipMessage[] = [];
    const lines: string[] = [];
    const gossip = startPeerGossip({
        address,
        port,
        seeds,
        zone,
        buildMessage: isToOtherZones => ({
            host: address,
            zone,
            version: 3,
            documentAgeMs: 0,
            platformAgeMs: 0,
            platformUpMs: 0,
            storeEra: 0,
            pauses: [],
            endpointRevision: 0,
            endpointAgeMs: 0,
            endpointDigest: 0,
            load: { "i-1": 2 },
            isZoneLoad: isToOtherZones,
            suspects,
            parts: [],
            limits: {},
            attempts: {},
            leaving: [],
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

t.test("a router that suspects more requests than fit a datagram is still heard, with the newest of them", async t => {
    const [port = 0] = await findFreePorts(1);
    const suspects = buildList(1_000, index => ({ digest: computeDigest(`${index}`), losses: 1, generation: 0 }));
    startGossip(t, "127.0.0.1", port, [], "a", suspects);
    const second = startGossip(t, "127.0.0.2", port, ["127.0.0.1"]);
    await waitFor(SETTLE_MS);
    const [message] = second.gossip.listRecent(SETTLE_MS);
    t.match(message, { host: "127.0.0.1", load: { "i-1": 2 } });
    t.strictSame(message?.suspects.at(-1), suspects.at(-1));
    t.ok((message?.suspects.length ?? 0) > 100);
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

t.test("each router hears from all of its zone often, and from one router of each other zone", async t => {
    const [port = 0] = await findFreePorts(1);
    const addresses = Array.from({ length: 24 }, (unused, index) => `127.0.0.${index + 1}`);
    const routers = addresses.map((address, index) => startGossip(t, address, port, ["127.0.0.1"], `z${index % 3}`));
    await waitFor(4 * SETTLE_MS);
    routers.forEach(({ gossip, received }) => {
        t.equal(gossip.getPeakRouterCount(), addresses.length, "all know of all");
        t.equal(gossip.listRouterAddresses().length, addresses.length - 1);
        t.equal(gossip.getReportedRouterCount(), addresses.length);
        received.splice(0);
    });
    await waitFor(2 * SETTLE_MS);
    routers.forEach(({ received }, index) => {
        const ofZone = (zone: number) => received.filter(message => message.zone === `z${zone}`);
        const senders = (zone: number) => new Set(ofZone(zone).map(({ address }) => address)).size;
        t.strictSame(
            [0, 1, 2].map(zone => senders(zone)),
            [0, 1, 2].map(zone => (zone === index % 3 ? addresses.length / 3 - 1 : 1)),
        );
        const others = received.filter(message => message.zone !== `z${index % 3}`);
        t.ok(others.length > 0 && others.every(message => message.isZoneLoad));
        t.ok(ofZone(index % 3).length > 4 * others.length, "the same zone sends more often than another one");
        t.ok(ofZone(index % 3).every(message => !message.isZoneLoad));
    });
});

t.test("when the router that speaks for a zone falls silent, another one does", async t => {
    const [port = 0] = await findFreePorts(1);
    const addresses = ["127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4"];
    const routers = addresses.map((address, index) =>
        startGossip(t, address, port, ["127.0.0.1"], index === 0 ? "a" : "b"),
    );
    await waitFor(2 * SETTLE_MS);
    const [listener] = routers;
    const findSpeakers = (): Set<string> =>
        new Set(listener?.received.filter(({ zone }) => zone === "b").map(({ address }) => address));
    listener?.received.splice(0);
    await waitFor(SETTLE_MS);
    const [speaker] = findSpeakers();
    await routers[addresses.indexOf(speaker ?? "")]?.gossip.stop();
    await waitFor(3 * SETTLE_MS);
    listener?.received.splice(0);
    await waitFor(SETTLE_MS);
    t.equal(findSpeakers().size, 1);
    t.notOk(findSpeakers().has(speaker ?? ""));
});

t.test("a message of an earlier version, or whose admission levels can't be read, is still taken in", async t => {
    const [port = 0] = await findFreePorts(1);
    const router = startGossip(t, "127.0.0.1", port, []);
    const socket = dgram.createSocket("udp4");
    await new Promise<void>(resolve => socket.bind(0, "127.0.0.9", resolve));
    t.teardown(async () => void socket.close());
    const earlier = {
        host: "x",
        zone: "a",
        address: "127.0.0.9",
        version: 3,
        platformAgeMs: 0,
        load: {},
        suspects: [],
    };
    for (const admission of [undefined, { llm: [7, "many"] }, { llm: [0.5, 3, 10, 1] }]) {
        socket.send(JSON.stringify({ ...earlier, routers: [], isLeaving: false, admission }), port, "127.0.0.1");
    }
    await waitFor(SETTLE_MS);
    t.strictSame(
        router.received.map(({ admission }) => admission),
        [undefined, undefined, { llm: [0.5, 3, 10, 1] }],
    );
});
