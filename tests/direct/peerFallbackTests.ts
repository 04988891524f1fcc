import http from "node:http";
import t from "tap";
import { startControlServer } from "../../src/control/index.js";
import { createEndpointDirectory } from "../../src/direct/EndpointDirectory.js";
import type { EndpointRecord } from "../../src/direct/EndpointRecord.js";
import { startPeerFallback } from "../../src/direct/PeerFallback.js";
import { createRouteIndexHolder } from "../../src/direct/RouteIndexHolder.js";
import { type RouterKnowledge, buildDirectControl } from "../../src/direct/directControl.js";
import type { PeerNews, RouterNews } from "../../src/peers/index.js";
import { createLogger } from "../../src/telemetry/logger.js";
import { listenOn } from "../../src/utils/http.js";
import { waitFor } from "../../src/utils/time.js";
import type { OwningTest } from "../fixtures.js";

const ADDRESS = "127.0.0.1";
const KEY = "key-of-the-tests";
const SILENCE_MS = 5_000;
const SETTLE_MS = 900;

function buildRecord(id: string): EndpointRecord {
    const place = { host: ADDRESS, port: 1, zone: "a", slots: 1 };
    return { id, service: "app", ...place, isLeaving: false, bornAt: 1, group: undefined };
}

/** A peer that knows something, and a router that the platform does not answer. */
async function startSilencedRouter(t: OwningTest, knowledge: RouterKnowledge, ownRevision: number) {
    const server = http.createServer();
    const port = await listenOn(server, 0, ADDRESS);
    const control = startControlServer(
        server,
        buildDirectControl(() => knowledge),
        [KEY],
    );
    const heard = { address: ADDRESS, version: 0, platformAgeMs: 0 } as RouterNews;
    const directory = createEndpointDirectory({ lapseGraceMs: 1, getStoreUpMs: () => 1, onChange: () => undefined });
    const holder = createRouteIndexHolder(() => undefined);
    const fallback = startPeerFallback({
        processKey: KEY,
        seeds: [],
        controlPort: port,
        ownAddress: "127.0.0.2",
        news: { listHeard: () => [heard] } as unknown as PeerNews,
        holder,
        directory,
        getPlatformAgeMs: () => SILENCE_MS,
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

t.test("a router that the platform turns away learns routes and endpoints from a peer", async t => {
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const document = { version: 4, routes: [], services: [], limits, teams: undefined };
    const knowledge = { document, endpoints: [buildRecord("1")], endpointRevision: 7 };
    const { directory, holder, fallback } = await startSilencedRouter(t, knowledge, 0);
    await waitFor(SETTLE_MS);
    t.equal(holder.getVersion(), 4);
    t.equal(directory.listServing("app").length, 1);
    t.equal(fallback.getEndpointRevision(), 7);
});

t.test("a peer that knows less brings no endpoint back that is gone", async t => {
    const knowledge = { document: undefined, endpoints: [buildRecord("gone")], endpointRevision: 7 };
    const { directory } = await startSilencedRouter(t, knowledge, 9);
    directory.applyListing([buildRecord("1")]);
    await waitFor(SETTLE_MS);
    t.strictSame(
        directory.listServing("app").map(record => record.id),
        ["1"],
    );
});
