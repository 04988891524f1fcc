import t from "tap";
import { ErrorCode, createError } from "../../src/errors/index.js";
import type { KeyValueService } from "../../src/platform/index.js";
import { readMonotonicMs, waitFor } from "../../src/utils/time.js";
import type { EndpointScript } from "../../standins/endpoint/endpointStandin.js";
import type { KeyValueStore } from "../../standins/platform/KeyValueStore.js";
import { writeKey } from "../../standins/platform/writeKey.js";
import { type DirectSystem, callRouter, startDirectSystem, startSecondRouter } from "./fixtures.js";

const SECOND_ADDRESS = "127.0.0.2";
/** Time in which a leaving endpoint is to be left alone, in milliseconds; the settings of the fixture have the same. */
const LEAVING_MS = 2_000;
const CUT_MS = 600;
/** Time that the client of the store allows for an answer, in milliseconds. */
const CLIENT_LIMIT_MS = 700;
const CALL_PERIOD_MS = 25;
const WATCHED_MS = 4_000;

const answerSuccess: EndpointScript = (seen, socket, response) => {
    response.writeHead(200, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" }).end("done");
};

/** What one router sees of a store that serves all others. */
interface CutService {
    service: KeyValueService;
    isCut: boolean;
    /** Hangs the next watch call for endpoints, as on a connection that is dead, and tells when. */
    hangNextWatch(): Promise<void>;
}

function createCutService(store: KeyValueStore): CutService {
    let onHang: (() => void) | undefined;
    const service = Object.create(store) as KeyValueService;
    const cut: CutService = {
        service,
        isCut: false,
        hangNextWatch: () => new Promise(resolve => (onHang = resolve)),
    };
    const fail = (): Promise<never> =>
        Promise.reject(createError({ code: ErrorCode.PlatformUncertain, expected: "an answer", got: "silence" }));
    service.watchEntries = async (...call) => {
        const [prefix, , waitMs, signal] = call;
        if (onHang !== undefined && prefix === "servers/") {
            onHang();
            onHang = undefined;
            await waitFor(waitMs + CLIENT_LIMIT_MS, signal);
            return fail();
        }
        return cut.isCut ? fail() : store.watchEntries(...call);
    };
    service.listSnapshot = (...call) => (cut.isCut ? fail() : store.listSnapshot(...call));
    return cut;
}

/** Sends requests through a router and gets how long after a time the last one reached an endpoint. */
async function playRequests(system: DirectSystem, index: number, since: number): Promise<number> {
    let lastAt = since;
    system.endpoints.forEach((endpoint, at) =>
        endpoint.setScript((...request) => {
            lastAt = at === index ? readMonotonicMs() : lastAt;
            answerSuccess(...request);
        }),
    );
    while (readMonotonicMs() - since < WATCHED_MS) {
        await callRouter(system, { path: "/stock/1" });
        await waitFor(CALL_PERIOD_MS);
    }
    return lastAt - since;
}

t.test("an endpoint that left while one router was cut off from the store gets no request past the bound", async t => {
    const first = await startDirectSystem(t, 2);
    const cut = createCutService(first.store);
    const second = await startSecondRouter(t, first, SECOND_ADDRESS, cut.service);
    cut.isCut = true;
    await first.writeEndpoint(1);
    await waitFor(CUT_MS);
    cut.isCut = false;
    await writeKey(first.store, "servers/i-0", undefined);
    const lastMs = await playRequests(second, 0, readMonotonicMs());
    t.ok(lastMs <= LEAVING_MS, `the last request came after ${Math.round(lastMs)} ms`);
});

t.test("an endpoint that leaves while a watch hangs on a dead connection gets no request past the bound", async t => {
    let hung = Promise.resolve();
    const system = await startDirectSystem(t, 1, store => {
        const cut = createCutService(store);
        hung = cut.hangNextWatch();
        return cut.service;
    });
    await hung;
    await system.writeEndpoint(0, "draining");
    const lastMs = await playRequests(system, 0, readMonotonicMs());
    t.ok(lastMs <= LEAVING_MS, `the last request came after ${Math.round(lastMs)} ms`);
});

t.test("an endpoint that a peer told of, and that left, gets no request past the bound", async t => {
    const first = await startDirectSystem(t, 3);
    const cut = createCutService(first.store);
    await writeKey(first.store, "servers/i-2", undefined);
    const second = await startSecondRouter(t, first, SECOND_ADDRESS, cut.service);
    cut.isCut = true;
    await first.writeEndpoint(2);
    while (!second.lines.some(line => line.includes('"added","endpoint":"i-2"'))) {
        await waitFor(CALL_PERIOD_MS);
    }
    cut.isCut = false;
    await writeKey(first.store, "servers/i-2", undefined);
    const lastMs = await playRequests(second, 2, readMonotonicMs());
    t.ok(lastMs <= LEAVING_MS, `the last request came after ${Math.round(lastMs)} ms`);
});
