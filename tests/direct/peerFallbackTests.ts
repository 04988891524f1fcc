import http from "node:http";
import t from "tap";
import { z } from "zod";
import { buildRouter, processProcedure, startControlServer } from "../../src/control/index.js";
import { createDocumentServer } from "../../src/direct/DocumentServer.js";
import { createEndpointDirectory } from "../../src/direct/EndpointDirectory.js";
import type { EndpointRecord } from "../../src/direct/EndpointRecord.js";
import { createDocumentKnowledge } from "../../src/direct/DocumentKnowledge.js";
import { createEndpointKnowledge } from "../../src/direct/EndpointKnowledge.js";
import { startPeerFallback } from "../../src/direct/PeerFallback.js";
import { createRouteIndexHolder } from "../../src/direct/RouteIndexHolder.js";
import { type RouterSnapshot, buildDirectControl } from "../../src/direct/directControl.js";
import { UNKNOWN_ERA } from "../../src/platform/index.js";
import type { PeerGossip, GossipMessage } from "../../src/peers/index.js";
import { createLogger } from "../../src/telemetry/logger.js";
import { listenOn } from "../../src/utils/http.js";
import { waitFor } from "../../src/utils/time.js";
import type { OwningTest } from "../fixtures.js";

const ADDRESS = "127.0.0.1";
const KEY = "key-of-the-tests";
const ERA = 3;
const PLATFORM_AGE_MS = 5_000;
const SETTLE_MS = 900;
const PROMPT_MS = 200;
const LIMITS = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

function buildRecord(id: string): EndpointRecord {
    const place = { host: ADDRESS, port: 1, zone: "a", slots: 1 };
    return { id, service: "app", ...place, isLeaving: false, bornAt: 1, group: undefined };
}

/** Starts a peer with a snapshot and the fallback of a router that gets no answer from the platform. */
async function startDisconnectedRouter(
    t: OwningTest,
    peerSnapshot: RouterSnapshot,
    ownRevision: number,
    ownAgeMs = PLATFORM_AGE_MS,
    peerAgeMs = 0,
) {
    const server = http.createServer();
    const port = await listenOn(server, 0, ADDRESS);
    const documentServer = createDocumentServer(() => peerSnapshot.document);
    const control = startControlServer(
        server,
        buildDirectControl({
            getSnapshot: () => peerSnapshot,
            explainPlacement: () => Promise.resolve(undefined),
            answerDocumentRequest: request => documentServer.answerRequest(request),
        }),
        [KEY],
    );
    t.teardown(async () => {
        control.close();
        server.close();
    });
    return startFallback(t, port, ownRevision, ownAgeMs, peerAgeMs);
}

/** Starts the fallback of a router that has one peer. */
function startFallback(t: OwningTest, port: number, ownRevision: number, ownAgeMs: number, peerAgeMs = 0) {
    const peerMessage = { address: ADDRESS, version: 0, endpointAgeMs: peerAgeMs } as GossipMessage;
    const directory = createEndpointDirectory({
        lapseGraceMs: 1,
        entryLifetimeMs: 5_000,
        getStoreUptimeMs: () => 1,
        onChange: () => undefined,
    });
    const holder = createRouteIndexHolder(() => undefined);
    const knowledge = createEndpointKnowledge();
    const evacuated: string[] = [];
    if (ownRevision > 0) {
        knowledge.recordPosition({ era: ERA, revision: ownRevision }, ownAgeMs);
    }
    const fallback = startPeerFallback({
        processKey: KEY,
        seeds: [],
        controlPort: port,
        ownAddress: "127.0.0.2",
        gossip: { listRecent: () => [peerMessage] } as unknown as PeerGossip,
        holder,
        directory,
        ownZone: "a",
        applyMs: 2_000,
        knowledge,
        evacuations: { mergeReport: report => evacuated.push(...(report.zones ?? [])) },
        documentKnowledge: createDocumentKnowledge(() => holder.getVersion()),
        isReadingStore: () => ownAgeMs === PLATFORM_AGE_MS,
        logger: createLogger("test", { writeLine: () => undefined, flush: () => Promise.resolve() }),
    });
    t.teardown(() => fallback.stop());
    return { directory, holder, fallback, knowledge, evacuated };
}

function buildMessage(change: Partial<GossipMessage>): GossipMessage {
    const position = { storeEra: ERA, endpointRevision: 7, endpointAgeMs: 40 };
    const message = { address: ADDRESS, zone: "a", version: 0, ...position, ...change };
    return message as GossipMessage;
}

t.test("a router without answers from the platform gets routes and endpoints from a peer", async t => {
    const document = { version: 4, routes: [], services: [], limits: LIMITS, teams: undefined };
    const peerSnapshot = {
        document,
        endpoints: [buildRecord("1")],
        storeEra: ERA,
        endpointRevision: 7,
        endpointAgeMs: 0,
        evacuations: { zones: ["b"], era: ERA, revision: 7, ageMs: 0 },
    };
    const { directory, holder, knowledge, evacuated } = await startDisconnectedRouter(t, peerSnapshot, 0);
    await waitFor(SETTLE_MS);
    t.equal(holder.getVersion(), 4);
    t.equal(directory.listServing("app").length, 1);
    t.equal(knowledge.getPosition().revision, 7);
    t.strictSame(evacuated.slice(0, 1), ["b"], "before it serves, a router must know what is evacuated");
});

t.test("a router takes the document of a router of an earlier version, which sends it only as a whole", async t => {
    const server = http.createServer();
    const port = await listenOn(server, 0, ADDRESS);
    const document = { version: 4, routes: [], services: [], limits: LIMITS, teams: undefined };
    const earlier = buildRouter({
        getKnowledge: processProcedure.input(z.object({ version: z.number() }).optional()).query(({ input }) => ({
            document: (input?.version ?? 0) < document.version ? document : undefined,
            endpoints: [],
            endpointRevision: 0,
            endpointAgeMs: 0,
        })),
    });
    const control = startControlServer(server, earlier, [KEY]);
    const { holder, fallback } = startFallback(t, port, 5, 900);
    t.teardown(async () => {
        control.close();
        server.close();
    });
    fallback.handleMessage(buildMessage({ version: 4, endpointRevision: 5 }));
    await waitFor(PROMPT_MS);
    t.equal(holder.getVersion(), 4);
});

t.test("a peer's older snapshot does not restore a removed endpoint", async t => {
    const peerSnapshot = {
        document: undefined,
        endpoints: [buildRecord("gone")],
        storeEra: ERA,
        endpointRevision: 7,
        endpointAgeMs: 0,
    };
    const { directory } = await startDisconnectedRouter(t, peerSnapshot, 9);
    directory.applyListing([buildRecord("1")]);
    await waitFor(SETTLE_MS);
    t.strictSame(
        directory.listServing("app").map(record => record.id),
        ["1"],
    );
});

t.test("a router that does not read the store takes the list of a peer of its zone as soon as it differs", async t => {
    const peerSnapshot = {
        document: undefined,
        endpoints: [buildRecord("2")],
        storeEra: ERA,
        endpointRevision: 7,
        endpointAgeMs: 40,
    };
    const { directory, knowledge, fallback } = await startDisconnectedRouter(t, peerSnapshot, 5, 900);
    directory.applyListing([buildRecord("1")]);
    fallback.handleMessage(buildMessage({ zone: "b", endpointDigest: 1 }));
    fallback.handleMessage(buildMessage({ endpointRevision: 4, endpointDigest: 1 }));
    await waitFor(PROMPT_MS);
    t.equal(directory.listServing("app")[0]?.id, "1", "neither another zone nor an older list is asked for");
    fallback.handleMessage(buildMessage({ endpointDigest: 1 }));
    await waitFor(PROMPT_MS);
    t.equal(directory.listServing("app")[0]?.id, "2");
    t.equal(knowledge.getPosition().revision, 7);
    t.ok(knowledge.getAgeMs() >= 40, "the age is that of the peer's list");
});

t.test("a peer with the same list confirms it without a call, and one with an older revision does not", async t => {
    const peerSnapshot = { document: undefined, endpoints: [], storeEra: ERA, endpointRevision: 9, endpointAgeMs: 0 };
    const { directory, knowledge, fallback } = await startDisconnectedRouter(t, peerSnapshot, 5, 900);
    directory.applyListing([buildRecord("1")]);
    const endpointDigest = directory.getDigest();
    fallback.handleMessage(buildMessage({ endpointRevision: 4, endpointDigest }));
    t.ok(knowledge.getAgeMs() >= 900);
    fallback.handleMessage(buildMessage({ endpointRevision: 8, endpointDigest }));
    t.equal(knowledge.getPosition().revision, 8);
    t.ok(knowledge.getAgeMs() < 900);
    await waitFor(PROMPT_MS);
    t.equal(directory.listServing("app").length, 1);
});

t.test(
    "a router restarted while the store is down does not keep a stale peer's list when another peer knows more",
    async t => {
        const peerSnapshot = {
            document: undefined,
            endpoints: [buildRecord("2")],
            storeEra: ERA,
            endpointRevision: 7,
            endpointAgeMs: 6_000,
        };
        const { directory, knowledge, fallback } = await startDisconnectedRouter(
            t,
            peerSnapshot,
            5,
            PLATFORM_AGE_MS,
            6_000,
        );
        directory.applyListing([buildRecord("left"), buildRecord("2")]);
        fallback.handleMessage(buildMessage({ zone: "b", endpointAgeMs: 6_000, endpointDigest: 1 }));
        await waitFor(PROMPT_MS);
        t.strictSame(
            directory.listServing("app").map(({ id }) => id),
            ["2"],
        );
        t.equal(knowledge.getPosition().revision, 7);
    },
);

t.test("a router takes the list of a router of an earlier version, which tells no age of it", async t => {
    const peerSnapshot = {
        document: undefined,
        endpoints: [buildRecord("1")],
        storeEra: undefined,
        endpointRevision: 7,
        endpointAgeMs: undefined,
    };
    const { directory, knowledge } = await startDisconnectedRouter(t, peerSnapshot, 5);
    await waitFor(SETTLE_MS);
    t.equal(directory.listServing("app").length, 1);
    t.ok(knowledge.getAgeMs() >= 2_000, "it counts as old");
});

t.test("a list of the history before a restore is not put over one of the restored store", async t => {
    const peerSnapshot = {
        document: undefined,
        endpoints: [buildRecord("gone")],
        storeEra: ERA,
        endpointRevision: 900,
        endpointAgeMs: 0,
    };
    const { directory, knowledge, fallback } = await startDisconnectedRouter(t, peerSnapshot, 5, PLATFORM_AGE_MS);
    directory.applyListing([buildRecord("1")]);
    knowledge.recordPosition({ era: ERA + 1, revision: 7 }, PLATFORM_AGE_MS);
    fallback.handleMessage(buildMessage({ endpointRevision: 900, endpointDigest: 1 }));
    await waitFor(SETTLE_MS);
    t.strictSame(
        directory.listServing("app").map(({ id }) => id),
        ["1"],
    );
    t.strictSame(knowledge.getPosition(), { era: ERA + 1, revision: 7 });
});

t.test("a peer that has read the restored store confirms and sends its list, though its revision is lower", async t => {
    const peerSnapshot = {
        document: undefined,
        endpoints: [buildRecord("2")],
        storeEra: ERA + 1,
        endpointRevision: 7,
        endpointAgeMs: 0,
    };
    const { directory, knowledge, fallback } = await startDisconnectedRouter(t, peerSnapshot, 900, 900);
    directory.applyListing([buildRecord("1")]);
    const position = { storeEra: ERA + 1, endpointRevision: 5 };
    fallback.handleMessage(buildMessage({ ...position, endpointDigest: directory.getDigest() }));
    t.ok(knowledge.getAgeMs() < 900, "the same list");
    fallback.handleMessage(buildMessage({ ...position, endpointRevision: 7, endpointDigest: 1 }));
    await waitFor(PROMPT_MS);
    t.equal(directory.listServing("app")[0]?.id, "2");
});

t.test("a router of an earlier version, which tells no era, counts as of the time before a restore", t => {
    const knowledge = createEndpointKnowledge();
    t.notOk(knowledge.recordEra(ERA), "the first era is no restore");
    t.strictSame(knowledge.locateRevision(UNKNOWN_ERA, 9), { era: ERA, revision: 9 });
    t.ok(knowledge.recordEra(ERA + 1));
    t.strictSame(knowledge.locateRevision(UNKNOWN_ERA, 9), { era: ERA, revision: 9 });
    t.end();
});
