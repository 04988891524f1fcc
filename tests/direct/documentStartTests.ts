import dgram from "node:dgram";
import http from "node:http";
import t from "tap";
import { createPlatformCodec } from "../../platform/PlatformCodec.js";
import { decodeConfiguration } from "../../platform/decodeConfiguration.js";
import { WIRE_HEADERS } from "../../platform/wireNames.js";
import { startControlServer } from "../../src/control/index.js";
import { createDocumentServer } from "../../src/direct/DocumentServer.js";
import { buildDirectControl } from "../../src/direct/directControl.js";
import { startDirectRouter } from "../../src/direct/index.js";
import { ErrorCode, createError } from "../../src/errors/index.js";
import type { KeyValueService } from "../../src/platform/index.js";
import { createLogger } from "../../src/telemetry/logger.js";
import { listenOn } from "../../src/utils/http.js";
import { waitFor } from "../../src/utils/time.js";
import type { OwningTest } from "../fixtures.js";
import {
    type DirectSystem,
    type WireDocument,
    buildDocument,
    callRouter,
    readStatus,
    startDirectSystem,
} from "./fixtures.js";

const GOSSIP_PERIOD_MS = 50;
const NEWS_MS = 400;
const PROMPT_MS = 500;

/** Another router as far as the network shows it: it tells its version, and sends its document. */
async function startPeer(
    t: OwningTest,
    system: DirectSystem,
    address: string,
    document: WireDocument,
    documentAgeMs: number,
): Promise<void> {
    const { listen, newsPort } = system.settings;
    const decoded = decodeConfiguration(JSON.stringify(document), () => undefined);
    if ("problem" in decoded) {
        throw new Error(decoded.problem);
    }
    const documents = createDocumentServer(() => decoded.value);
    const place = { host: "127.0.0.1", port: system.endpoints[0]?.port ?? 0, zone: "a", slots: 8 };
    const endpoint = { id: "i-0", service: "app", ...place, isLeaving: false, bornAt: 0, group: undefined };
    const control = buildDirectControl({
        getSnapshot: () => ({
            document: undefined,
            endpoints: [endpoint],
            storeEra: undefined,
            endpointRevision: 9,
            endpointAgeMs: 0,
        }),
        explainPlacement: () => Promise.resolve(undefined),
        answerDocumentRequest: request => documents.answerRequest(request),
    });
    const server = http.createServer();
    await listenOn(server, listen.control.port, address);
    const calls = startControlServer(server, control, [system.settings.processKey]);
    const socket = dgram.createSocket("udp4");
    await new Promise<void>(resolve => socket.bind(newsPort, address, resolve));
    const message = {
        host: address,
        zone: "a",
        address,
        version: document.version,
        documentAgeMs,
        platformAgeMs: -1,
        endpointRevision: 9,
        endpointAgeMs: 0,
        load: {},
        suspects: [],
        routers: [],
        isLeaving: false,
    };
    const timer = setInterval(() => {
        socket.send(JSON.stringify(message), newsPort, NEW_ROUTER_ADDRESS, () => undefined);
    }, GOSSIP_PERIOD_MS);
    t.teardown(async () => {
        clearInterval(timer);
        socket.close();
        calls.close();
        server.close();
    });
}

const NEW_ROUTER_ADDRESS = "127.0.0.9";

/** Starts a router to which the store gives no answer, on the ports of a system. */
function startWithoutStore(t: OwningTest, system: DirectSystem): Promise<DirectSystem> {
    const fail = (): Promise<never> =>
        Promise.reject(createError({ code: ErrorCode.PlatformUnavailable, expected: "an answer", got: "silence" }));
    return startRouter(t, system, { listSnapshot: fail, watchEntries: fail } as unknown as KeyValueService);
}

/** Starts a router on the ports of a system; it is not ready yet. */
async function startRouter(t: OwningTest, system: DirectSystem, service: KeyValueService): Promise<DirectSystem> {
    const address = NEW_ROUTER_ADDRESS;
    const move = (place: { port: number }) => ({ address, port: place.port });
    const { listen } = system.settings;
    const settings = {
        ...system.settings,
        host: "r9",
        address,
        listen: {
            callers: move(listen.callers),
            readiness: move(listen.readiness),
            control: move(listen.control),
            metrics: move(listen.metrics),
        },
    };
    const lines: string[] = [];
    const logger = createLogger("r9", { writeLine: line => lines.push(line), flush: () => Promise.resolve() });
    const platform = { service, codec: createPlatformCodec(logger), names: WIRE_HEADERS };
    const router = await startDirectRouter(settings, platform, logger);
    t.teardown(() => router.stop());
    return { ...system, router, settings, address, lines };
}

t.test(
    "a router that starts serves no old document of a peer, with its withdrawn keys, before it knows the newest",
    async t => {
        const system = await startDirectSystem(t, 1);
        system.endpoints[0]?.setScript((seen, socket, response) => {
            response.writeHead(200, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" }).end("done");
        });
        await startPeer(t, system, "127.0.0.5", buildDocument(1), 60_000);
        const started = await startWithoutStore(t, system);
        await waitFor(NEWS_MS);
        const early = await callRouter(started, { path: "/stock/1" });
        t.equal(early.status, 503, "a document that nobody has confirmed for a minute");
        t.equal(await readStatus(started.readinessPort, started.address), 503);
        const withdrawn = buildDocument(2);
        withdrawn["tenants"] = [{ name: "one", api_keys: ["key-new"] }];
        await startPeer(t, system, "127.0.0.6", withdrawn, 0);
        await waitFor(PROMPT_MS);
        t.equal((await callRouter(started, { path: "/stock/1" })).status, 401);
        const headers = { "x-api-key": "key-new" };
        t.equal((await callRouter(started, { path: "/stock/1", headers })).status, 200);
    },
);

t.test("a router that starts while nobody can confirm a document serves the newest that it finds", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript((seen, socket, response) => {
        response.writeHead(200, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" }).end("done");
    });
    await startPeer(t, system, "127.0.0.5", buildDocument(1), 60_000);
    const started = await startWithoutStore(t, system);
    await waitFor(system.settings.applyMs + PROMPT_MS);
    t.equal((await callRouter(started, { path: "/stock/1" })).status, 200);
    t.equal(await readStatus(started.readinessPort, started.address), 200);
});

t.test(
    "a router that starts does not serve the older document of a restored store before it hears of a higher version",
    async t => {
        const system = await startDirectSystem(t, 1);
        system.endpoints[0]?.setScript((seen, socket, response) => {
            response.writeHead(200, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" }).end("done");
        });
        const started = await startRouter(t, system, system.store);
        await waitFor(NEWS_MS / 2);
        t.equal((await callRouter(started, { path: "/stock/1" })).status, 503, "as long as it has heard of nobody");
        const withdrawn = buildDocument(2);
        withdrawn["tenants"] = [{ name: "one", api_keys: ["key-new"] }];
        await startPeer(t, system, "127.0.0.6", withdrawn, 0);
        await waitFor(PROMPT_MS);
        t.equal((await callRouter(started, { path: "/stock/1" })).status, 401);
        const headers = { "x-api-key": "key-new" };
        t.equal((await callRouter(started, { path: "/stock/1", headers })).status, 200);
    },
);

t.test("a router that starts alone serves the document that the store confirms", async t => {
    const system = await startDirectSystem(t, 1);
    system.endpoints[0]?.setScript((seen, socket, response) => {
        response.writeHead(200, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" }).end("done");
    });
    const started = await startRouter(t, system, system.store);
    await waitFor(system.settings.applyMs / 2);
    t.equal((await callRouter(started, { path: "/stock/1" })).status, 200);
});
