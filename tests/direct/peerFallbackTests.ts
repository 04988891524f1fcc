import http from "node:http";
import t from "tap";
import { startControlServer } from "../../src/control/index.js";
import { createEndpointDirectory } from "../../src/direct/EndpointDirectory.js";
import type { EndpointRecord } from "../../src/direct/EndpointRecord.js";
import { startPeerFallback } from "../../src/direct/PeerFallback.js";
import { createRouteIndexHolder } from "../../src/direct/RouteIndexHolder.js";
import { type RouterSnapshot, buildDirectControl } from "../../src/direct/directControl.js";
import type { PeerGossip, GossipMessage } from "../../src/peers/index.js";
import { createLogger } from "../../src/telemetry/logger.js";
import { listenOn } from "../../src/utils/http.js";
import { waitFor } from "../../src/utils/time.js";
import type { OwningTest } from "../fixtures.js";

const ADDRESS = "127.0.0.1";
const KEY = "key-of-the-tests";
const PLATFORM_AGE_MS = 5_000;
const SETTLE_MS = 900;

function buildRecord(id: string): EndpointRecord {
    const place = { host: ADDRESS, port: 1, zone: "a", slots: 1 };
    return { id, service: "app", ...place, isLeaving: false, bornAt: 1, group: undefined };
}

/** Starts a peer with a snapshot and the fallback of a router that gets no answer from the platform. */
async function startDisconnectedRouter(t: OwningTest, peerSnapshot: RouterSnapshot, ownRevision: number) {
    const server = http.createServer();
    const port = await listenOn(server, 0, ADDRESS);
    const control = startControlServer(
        server,
        buildDirectControl(() => peerSnapshot),
        [KEY],
    );
    const peerMessage = { address: ADDRESS, version: 0, platformAgeMs: 0 } as GossipMessage;
    const directory = createEndpointDirectory({
        lapseGraceMs: 1,
        getStoreUptimeMs: () => 1,
        onChange: () => undefined,
    });
    const holder = createRouteIndexHolder(() => undefined);
    const fallback = startPeerFallback({
        processKey: KEY,
        seeds: [],
        controlPort: port,
        ownAddress: "127.0.0.2",
        gossip: { listRecent: () => [peerMessage] } as unknown as PeerGossip,
        holder,
        directory,
        getPlatformAgeMs: () => PLATFORM_AGE_MS,
        getEndpointRevision: () => ownRevision,
        logger: createLogger("test", { writeLine: () => undefined, flush: () => Promise.resolve() }),
    });
    t.teardown(async () => {
        await fallback.stop();
        control.close();
        server.close();
    });
    return { directory, holder, fallback };
}

t.test("a router without answers from the platform gets routes and endpoints from a peer", async t => {
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const document = { version: 4, routes: [], services: [], limits, teams: undefined };
    const peerSnapshot = { document, endpoints: [buildRecord("1")], endpointRevision: 7 };
    const { directory, holder, fallback } = await startDisconnectedRouter(t, peerSnapshot, 0);
    await waitFor(SETTLE_MS);
    t.equal(holder.getVersion(), 4);
    t.equal(directory.listServing("app").length, 1);
    t.equal(fallback.getEndpointRevision(), 7);
});

t.test("a peer's older snapshot does not restore a removed endpoint", async t => {
    const peerSnapshot = { document: undefined, endpoints: [buildRecord("gone")], endpointRevision: 7 };
    const { directory } = await startDisconnectedRouter(t, peerSnapshot, 9);
    directory.applyListing([buildRecord("1")]);
    await waitFor(SETTLE_MS);
    t.strictSame(
        directory.listServing("app").map(record => record.id),
        ["1"],
    );
});
