import t from "tap";
import type { KeyValueService } from "../../src/platform/index.js";
import { ErrorCode, createError } from "../../src/errors/index.js";
import { createEndpointDirectory } from "../../src/direct/EndpointDirectory.js";
import { PLATFORM_SILENCE_MS, createEndpointKnowledge } from "../../src/direct/EndpointKnowledge.js";
import type { EndpointRecord } from "../../src/direct/EndpointRecord.js";
import { computeWatchTimes } from "../../src/direct/computeWatchTimes.js";
import { type DutyRouter, isOnStoreDuty } from "../../src/direct/storeDuty.js";
import { buildList } from "../../src/utils/list.js";
import { readMonotonicMs, waitFor } from "../../src/utils/time.js";
import type { KeyValueStore } from "../../standins/platform/KeyValueStore.js";
import type { EndpointScript } from "../../standins/endpoint/endpointStandin.js";
import type { OwningTest } from "../fixtures.js";
import { type DirectSystem, callRouter, startDirectSystem, startSecondRouter } from "./fixtures.js";

const LIMITS = {
    maxKnowledgeAgeMs: 800,
    maxDocumentAgeMs: 1_400,
    maxDocumentBehindMs: 800,
    maxSilenceMs: 1_500,
    maxEvacuationAgeMs: 3_500,
};
/** Bound of the fixture's settings until a leaving endpoint gets no more requests, in milliseconds. */
const LEAVING_MS = 2_000;
/** Time until a document must be in force at all routers of the deployments, in milliseconds. */
const DOCUMENT_MS = 2_000;
const SETTLE_MS = 2_500;
const OBSERVATION_MS = 3_500;
const POLL_MS = 25;

function buildRouters(count: number): DutyRouter[] {
    return buildList(count, index => ({
        address: `10.1.0.${index}`,
        zone: `zone-${index % 3}`,
        isLeaving: false,
        platformAgeMs: 100,
    }));
}

function listOnDuty(
    routers: readonly DutyRouter[],
    knowledgeAgeMs = 100,
    documentAgeMs = 1_100,
    documentBehindMs = 700,
    evacuationAgeMs = 1_500,
): string[] {
    const ages = { knowledgeAgeMs, documentAgeMs, documentBehindMs, evacuationAgeMs };
    return routers
        .filter(own => isOnStoreDuty({ own, ...ages, ...LIMITS, peers: routers.filter(peer => peer !== own) }))
        .map(({ address }) => address);
}

t.test("one router of each zone reads the store, and the next one takes over from one that is silent or leaves", t => {
    const routers = buildRouters(99);
    const onDuty = listOnDuty(routers);
    t.equal(onDuty.length, 3, "as many as zones, whatever the number of routers");
    t.equal(new Set(routers.filter(({ address }) => onDuty.includes(address)).map(({ zone }) => zone)).size, 3);
    for (const change of [{ platformAgeMs: 1_600 }, { platformAgeMs: -1 }, { isLeaving: true }]) {
        const changed = routers.map(router => (router.address === onDuty[0] ? { ...router, ...change } : router));
        const remaining = changed.filter(router => router.address !== onDuty[0]);
        t.equal(listOnDuty(remaining).length, 3, "a router that is gone");
        t.equal(listOnDuty(changed).filter(address => !onDuty.includes(address)).length, 1, JSON.stringify(change));
    }
    t.equal(listOnDuty(routers, LIMITS.maxKnowledgeAgeMs).length, 99, "all routers whose list is too old");
    t.equal(listOnDuty(routers, 100, LIMITS.maxDocumentAgeMs).length, 99, "all routers whose document is too old");
    t.equal(listOnDuty(routers, 100, 100, LIMITS.maxDocumentBehindMs).length, 99, "all routers that get no news");
    t.equal(listOnDuty(routers, 100, 100, 0, LIMITS.maxEvacuationAgeMs).length, 99, "all with old evacuations");
    t.end();
});

t.test("the digest of a directory depends on its listed records only", t => {
    const build = (ids: readonly string[], uptimeMs: number) => {
        const directory = createEndpointDirectory({
            lapseGraceMs: 1_000,
            entryLifetimeMs: 5_000,
            getStoreUptimeMs: () => uptimeMs,
            onChange: () => undefined,
        });
        ids.forEach(id => directory.applyRecord(buildRecord(id)));
        return directory;
    };
    const expected = build(["1", "2"], 5_000).getDigest();
    t.equal(build(["2", "1", "1"], 5_000).getDigest(), expected);
    for (const uptimeMs of [0, 5_000]) {
        const directory = build(["3", "1", "2"], uptimeMs);
        t.not(directory.getDigest(), expected);
        directory.removeRecord("3");
        directory.removeRecord("3");
        t.equal(directory.getDigest(), expected, "removed or lapsed");
        directory.applyRecord({ ...buildRecord("2"), isLeaving: true });
        t.not(directory.getDigest(), expected);
        directory.applyListing([buildRecord("1"), buildRecord("2")]);
        t.equal(directory.getDigest(), expected);
        directory.applyListing([]);
        t.equal(directory.getDigest(), 0);
    }
    t.end();
});

t.test(
    "a quiet store that answers within 0.3 s never counts as silent, whatever the bound of a leaving endpoint",
    t => {
        const ANSWER_MS = 300;
        for (let leavingMs = 500; leavingMs <= 20_000; leavingMs += 500) {
            const { periodMs, waitMs, answerTimeoutMs } = computeWatchTimes(leavingMs);
            t.ok(periodMs + waitMs + ANSWER_MS <= PLATFORM_SILENCE_MS, `${leavingMs} ms: ${periodMs} and ${waitMs} ms`);
            t.ok(waitMs > 0 && periodMs + waitMs + answerTimeoutMs < leavingMs);
        }
        t.end();
    },
);

t.test(
    "the store's uptime lasts while its answers come, from whomever, and ends with a silence or an own failure",
    t => {
        t.clock.enter();
        const knowledge = createEndpointKnowledge();
        t.equal(knowledge.getUptimeMs(), 0);
        for (let passed = 0; passed < 4; passed++) {
            knowledge.recordPosition({ era: 1, revision: passed }, 100);
            t.clock.advance(1_300);
        }
        t.equal(knowledge.getUptimeMs(), 5_300);
        knowledge.recordPosition({ era: 1, revision: 9 }, 0);
        t.clock.advance(PLATFORM_SILENCE_MS);
        t.equal(knowledge.getUptimeMs(), 0, "silent");
        knowledge.recordPosition({ era: 1, revision: 10 }, 0);
        t.clock.advance(200);
        t.equal(knowledge.getUptimeMs(), 200, "counts anew");
        knowledge.recordFailure();
        t.equal(knowledge.getUptimeMs(), 0);
        knowledge.recordPosition({ era: 1, revision: 8 }, 50);
        t.strictSame([knowledge.getPosition().revision, knowledge.getAgeMs()], [10, 50], "the revision never falls");
        t.clock.exit();
        t.end();
    },
);

function buildRecord(id: string): EndpointRecord {
    const place = { host: "127.0.0.1", port: 1, zone: "a", slots: 1 };
    return { id, service: "app", ...place, isLeaving: false, bornAt: 1, group: undefined };
}

/** A router's connection to the shared store, which counts its calls and can be made silent for this router only. */
function createCountedStore(store: KeyValueStore) {
    const service = Object.create(store) as KeyValueService;
    const counted = { service, calls: 0, isSilent: false };
    const call = async <T>(run: () => Promise<T>): Promise<T> => {
        counted.calls++;
        if (counted.isSilent) {
            await waitFor(500);
            throw createError({ code: ErrorCode.PlatformUncertain, expected: "an answer", got: "silence" });
        }
        return run();
    };
    service.watchEntries = (...args) => call(() => store.watchEntries(...args));
    service.listSnapshot = (...args) => call(() => store.listSnapshot(...args));
    return counted;
}

/** Starts four routers of one zone with endpoints that write a heartbeat twice a second. */
async function startZone(t: OwningTest) {
    const stores: ReturnType<typeof createCountedStore>[] = [];
    const count = (store: KeyValueStore): KeyValueService => {
        const counted = createCountedStore(store);
        stores.push(counted);
        return counted.service;
    };
    const first = await startDirectSystem(t, 2, count);
    const systems: DirectSystem[] = [first];
    for (const address of ["127.0.0.2", "127.0.0.3", "127.0.0.4"]) {
        systems.push(await startSecondRouter(t, first, address, count(first.store)));
    }
    const heartbeat = setInterval(() => void first.writeEndpoint(1), 500);
    t.teardown(async () => clearInterval(heartbeat));
    await waitFor(SETTLE_MS);
    return { first, systems, stores, countCalls: () => stores.map(({ calls }) => calls) };
}

/** Sends requests through all routers, and returns how long after `since` the last one reached endpoint 0 by each of them. */
async function watchEndpoint(systems: readonly DirectSystem[], since: number): Promise<number> {
    let lastMs = 0;
    const succeed: EndpointScript = (seen, socket, response) => {
        response.writeHead(200, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" }).end("done");
    };
    systems[0]?.endpoints.forEach((endpoint, index) =>
        endpoint.setScript((...request) => {
            lastMs = index === 0 ? readMonotonicMs() - since : lastMs;
            succeed(...request);
        }),
    );
    while (readMonotonicMs() - since < OBSERVATION_MS) {
        await Promise.all(systems.map(system => callRouter(system, { path: "/stock/1" })));
        await waitFor(POLL_MS);
    }
    return lastMs;
}

t.test("one of four routers of a zone calls the store, and all take over a new document in time", async t => {
    const { first, systems, countCalls } = await startZone(t);
    const before = countCalls();
    await waitFor(SETTLE_MS);
    const calling = countCalls().filter((calls, index) => calls > (before[index] ?? 0) + 1);
    t.equal(calling.length, 1, `calls ${before.join(", ")} and then ${countCalls().join(", ")}`);
    await first.writeDocument(2, document => {
        document.routes = document.routes.filter(route => route.path_prefix !== "/stock/");
    });
    await waitFor(DOCUMENT_MS);
    const statuses = await Promise.all(systems.map(system => callRouter(system, { path: "/stock/1" })));
    t.strictSame(
        statuses.map(({ status }) => status),
        [404, 404, 404, 404],
    );
});

t.test(
    "an endpoint that drains while the store is silent for the router that reads it gets no request past the bound",
    async t => {
        const { first, systems, stores, countCalls } = await startZone(t);
        const before = countCalls();
        await waitFor(SETTLE_MS);
        const reader = countCalls().findIndex((calls, index) => calls > (before[index] ?? 0) + 1);
        const silenced = stores[reader];
        t.ok(silenced);
        if (silenced !== undefined) {
            silenced.isSilent = true;
        }
        await first.writeEndpoint(0, "draining");
        const since = readMonotonicMs();
        const others = systems.filter((system, index) => index !== reader);
        const lastMs = await watchEndpoint(others, since);
        t.ok(lastMs <= LEAVING_MS, `the last request came after ${Math.round(lastMs)} ms`);
    },
);

t.test("an endpoint that drains as the router that reads the store stops gets no request past the bound", async t => {
    const { first, systems, countCalls } = await startZone(t);
    const before = countCalls();
    await waitFor(SETTLE_MS);
    const reader = countCalls().findIndex((calls, index) => calls > (before[index] ?? 0) + 1);
    t.ok(reader >= 0, "a router reads the store");
    void systems[reader]?.router.stop();
    await first.writeEndpoint(0, "draining");
    const others = systems.filter((system, index) => index !== reader);
    const lastMs = await watchEndpoint(others, readMonotonicMs());
    t.ok(lastMs <= LEAVING_MS, `the last request came after ${Math.round(lastMs)} ms`);
});
