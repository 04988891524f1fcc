import t from "tap";
import type { KeyValueService } from "../../src/platform/index.js";
import { ErrorCode, createError } from "../../src/errors/index.js";
import { EventId } from "../../src/telemetry/EventId.js";
import { buildList } from "../../src/utils/list.js";
import { readMonotonicMs, waitFor } from "../../src/utils/time.js";
import { type LinkStandin, startLinkStandin } from "../../standins/network/linkStandin.js";
import type { OwningTest } from "../fixtures.js";
import { type DirectSystem, type WireDocument, callRouter, startDirectSystem, startSecondRouter } from "./fixtures.js";

/** Bound until a document is in force of the deployments with narrow links, and of the others, in milliseconds. */
const LINKED_APPLY_MS = 3_000;
const APPLY_MS = 2_000;
/** Link of most entry hosts of these deployments: 28 Mbit/s, in bytes a second. */
const LINK_BYTES_PER_SECOND = 3_500_000;
const ROUTERS = 11;
const ADDED_ROUTES = 1_640;
/** Allowed for control at the size aimed at: bytes a second and host, with that many changes of the configuration a second. */
const CONTROL_BYTES_PER_SECOND = 19_000;
const CHANGES_PER_SECOND = 36_000 / 86_400;
const OBSERVATION_MS = 8_000;
const SETTLE_MS = 2_500;
const POLL_MS = 20;

/** A router's store whose calls on the document can be made to hang or to fail, while those on endpoints are answered. */
function createFaultyStore(store: DirectSystem["store"]) {
    const service = Object.create(store) as KeyValueService;
    const faulty = { service, documentCalls: 0, isHanging: false, isFailing: false };
    const call = async <T>(prefix: string, run: () => Promise<T>, signal?: AbortSignal): Promise<T> => {
        if (!prefix.startsWith("op/")) {
            return run();
        }
        faulty.documentCalls++;
        if (faulty.isHanging) {
            await waitFor(OBSERVATION_MS, signal);
        }
        if (faulty.isHanging || faulty.isFailing) {
            throw createError({ code: ErrorCode.PlatformUncertain, expected: "an answer", got: "silence" });
        }
        return run();
    };
    service.watchEntries = (prefix, after, waitMs, signal) =>
        call(prefix, () => store.watchEntries(prefix, after, waitMs, signal), signal);
    service.listSnapshot = prefix => call(prefix, () => store.listSnapshot(prefix));
    return faulty;
}

/** Starts the routers of one zone, each behind a link of its own. */
async function startLinkedZone(t: OwningTest) {
    const stores: ReturnType<typeof createFaultyStore>[] = [];
    const links: LinkStandin[] = [];
    const first = await startDirectSystem(t, 1, createStore, "127.0.1.1");
    const { port } = first.settings.listen.control;
    const systems = [first];
    await startLink(1);
    for (const index of buildList(ROUTERS - 1, place => place + 2)) {
        await startLink(index);
        const service = createStore(first.store);
        systems.push(await startSecondRouter(t, first, `127.0.0.${index}`, service, `127.0.1.${index}`));
    }
    await waitFor(SETTLE_MS);
    return {
        systems,
        countDocumentCalls: () => stores.map(({ documentCalls }) => documentCalls),
        countSentBytes: () => links.reduce((sum, link) => sum + link.countServerBytes(), 0),
    };

    function createStore(store: DirectSystem["store"]): KeyValueService {
        const counted = createFaultyStore(store);
        stores.push(counted);
        return counted.service;
    }

    async function startLink(index: number): Promise<void> {
        const places = { address: `127.0.0.${index}`, port, targetAddress: `127.0.1.${index}` };
        const link = await startLinkStandin(port, places);
        link.faults.bytesPerSecond = LINK_BYTES_PER_SECOND;
        links.push(link);
        t.teardown(() => link.close());
    }
}

/** Gets the versions that a router has applied. */
function listVersions({ lines }: DirectSystem): number[] {
    return lines
        .map(line => JSON.parse(line) as { event: number; version: number })
        .filter(({ event }) => event === Number(EventId.DocumentApplied))
        .map(({ version }) => version);
}

/** Waits until all routers have applied a version, and returns how long that took. */
async function waitForVersion(systems: readonly DirectSystem[], version: number): Promise<number> {
    const startedAt = readMonotonicMs();
    while (readMonotonicMs() - startedAt < OBSERVATION_MS) {
        if (systems.every(system => listVersions(system).some(applied => applied >= version))) {
            break;
        }
        await waitFor(POLL_MS);
    }
    return readMonotonicMs() - startedAt;
}

/** Adds routes to a document of the tests. */
function addRoutes(document: WireDocument, count: number): void {
    const [base] = document.routes;
    const added = buildList(count, index => ({ ...base, name: `added-${index}`, path_prefix: `/added-${index}/` }));
    document.routes.push(...added);
}

t.test("a large document reaches all routers of a zone in time over narrow links", async t => {
    const { systems } = await startLinkedZone(t);
    await systems[0]?.writeDocument(2, document => addRoutes(document, ADDED_ROUTES));
    const lastMs = await waitForVersion(systems, 2);
    t.ok(lastMs <= LINKED_APPLY_MS, `in force after ${Math.round(lastMs)} ms`);
});

t.test("a change of a large document sends little, and one router reads it from the store", async t => {
    const { systems, countDocumentCalls, countSentBytes } = await startLinkedZone(t);
    await systems[0]?.writeDocument(2, document => addRoutes(document, ADDED_ROUTES));
    await waitForVersion(systems, 2);
    await waitFor(SETTLE_MS);
    const callsBefore = countDocumentCalls();
    const bytesBefore = countSentBytes();
    const versions = [3, 4, 5, 6];
    for (const version of versions) {
        await systems[0]?.writeDocument(version, document => addRoutes(document, ADDED_ROUTES + version));
        const lastMs = await waitForVersion(systems, version);
        t.ok(lastMs <= LINKED_APPLY_MS, `in force after ${Math.round(lastMs)} ms`);
    }
    const readers = countDocumentCalls().filter((calls, index) => calls > (callsBefore[index] ?? 0) + 1);
    t.equal(readers.length, 1, "routers that read the store");
    const bytesPerChange = (countSentBytes() - bytesBefore) / versions.length / systems.length;
    const allowedBytes = CONTROL_BYTES_PER_SECOND / CHANGES_PER_SECOND;
    t.ok(bytesPerChange < allowedBytes, `${Math.round(bytesPerChange)} bytes a change and router`);
});

t.test("a document reaches all routers in time while the watch of the one that reads it hangs", async t => {
    const stores: ReturnType<typeof createFaultyStore>[] = [];
    const wrapStore = (store: DirectSystem["store"]): KeyValueService => {
        const faulty = createFaultyStore(store);
        stores.push(faulty);
        return faulty.service;
    };
    const first = await startDirectSystem(t, 1, wrapStore);
    const systems = [first];
    for (const address of ["127.0.0.2", "127.0.0.3", "127.0.0.4"]) {
        systems.push(await startSecondRouter(t, first, address, wrapStore(first.store)));
    }
    await waitFor(SETTLE_MS);
    const before = stores.map(({ documentCalls }) => documentCalls);
    await waitFor(SETTLE_MS);
    const reader = stores.find(({ documentCalls }, index) => documentCalls > (before[index] ?? 0));
    t.ok(reader, "a router reads the document");
    if (reader !== undefined) {
        reader.isHanging = true;
    }
    await first.writeDocument(2);
    // The call under way gets this change; the next one hangs.
    await waitForVersion(systems, 2);
    await first.writeDocument(3);
    const lastMs = await waitForVersion(systems, 3);
    t.ok(lastMs <= APPLY_MS, `in force after ${Math.round(lastMs)} ms`);
});

t.test(
    "a router that gets answers on endpoints, but none on its document, denies no route that it doesn't know",
    async t => {
        let faulty: ReturnType<typeof createFaultyStore> | undefined;
        const system = await startDirectSystem(t, 1, store => {
            faulty = createFaultyStore(store);
            return faulty.service;
        });
        t.equal(
            (await callRouter(system, { path: "/added/1" })).status,
            404,
            "while the document is known to be the newest",
        );
        if (faulty !== undefined) {
            faulty.isFailing = true;
        }
        await waitFor(SETTLE_MS);
        await system.writeDocument(2);
        await waitFor(APPLY_MS);
        t.equal((await callRouter(system, { path: "/added/1" })).status, 503, "a newer one may have it");
        t.equal((await callRouter(system, { path: "/stock/1", headers: { "x-api-key": "key-added" } })).status, 503);
    },
);
