import t from "tap";
import { ErrorCode, createError } from "../../src/errors/index.js";
import type { KeyValueService } from "../../src/platform/index.js";
import { readMonotonicMs, waitFor } from "../../src/utils/time.js";
import type { EndpointScript } from "../../standins/endpoint/endpointStandin.js";
import type { KeyValueStore } from "../../standins/platform/KeyValueStore.js";
import { writeKey } from "../../standins/platform/writeKey.js";
import { type DirectSystem, callRouter, startDirectSystem, startSecondRouter } from "./fixtures.js";

const SECOND_ADDRESS = "127.0.0.2";
/** Maximum time until a leaving endpoint gets no more requests, in milliseconds, as in the fixture's settings. */
const LEAVING_MS = 2_000;
const DISCONNECTED_MS = 600;
/** Answer timeout of the store's client, in milliseconds. */
const STORE_CLIENT_TIMEOUT_MS = 700;
const CALL_PERIOD_MS = 25;
const OBSERVATION_MS = 4_000;

const answerSuccess: EndpointScript = (seen, socket, response) => {
    response.writeHead(200, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" }).end("done");
};

/** One router's connection to the shared store, which can be interrupted for this router only. */
interface InterruptibleStore {
    service: KeyValueService;
    isDisconnected: boolean;
    /** Leaves the next endpoint watch without an answer, as on a dead connection; resolves when that call is made. */
    hangNextWatch(): Promise<void>;
}

function createInterruptibleStore(store: KeyValueStore): InterruptibleStore {
    let onHang: (() => void) | undefined;
    const service = Object.create(store) as KeyValueService;
    const interruptible: InterruptibleStore = {
        service,
        isDisconnected: false,
        hangNextWatch: () => new Promise(resolve => (onHang = resolve)),
    };
    const fail = (): Promise<never> =>
        Promise.reject(
            createError({ code: ErrorCode.PlatformUncertain, expected: "an answer from the store", got: "silence" }),
        );
    service.watchEntries = async (...call) => {
        const [prefix, , waitMs, signal] = call;
        if (onHang !== undefined && prefix === "servers/") {
            onHang();
            onHang = undefined;
            await waitFor(waitMs + STORE_CLIENT_TIMEOUT_MS, signal);
            return fail();
        }
        return interruptible.isDisconnected ? fail() : store.watchEntries(...call);
    };
    service.listSnapshot = (...call) => (interruptible.isDisconnected ? fail() : store.listSnapshot(...call));
    return interruptible;
}

/** Sends requests through a router and returns how long after `since` the last one reached an endpoint. */
async function sendRequests(system: DirectSystem, index: number, since: number): Promise<number> {
    let lastAt = since;
    system.endpoints.forEach((endpoint, at) =>
        endpoint.setScript((...request) => {
            lastAt = at === index ? readMonotonicMs() : lastAt;
            answerSuccess(...request);
        }),
    );
    while (readMonotonicMs() - since < OBSERVATION_MS) {
        await callRouter(system, { path: "/stock/1" });
        await waitFor(CALL_PERIOD_MS);
    }
    return lastAt - since;
}

t.test("an endpoint removed after a router was disconnected from the store gets no request past the bound", async t => {
    const first = await startDirectSystem(t, 2);
    const connection = createInterruptibleStore(first.store);
    const second = await startSecondRouter(t, first, SECOND_ADDRESS, connection.service);
    connection.isDisconnected = true;
    await first.writeEndpoint(1);
    await waitFor(DISCONNECTED_MS);
    connection.isDisconnected = false;
    await writeKey(first.store, "servers/i-0", undefined);
    const lastMs = await sendRequests(second, 0, readMonotonicMs());
    t.ok(lastMs <= LEAVING_MS, `the last request came after ${Math.round(lastMs)} ms`);
});

t.test("an endpoint that drains while a watch hangs on a dead connection gets no request past the bound", async t => {
    let hung = Promise.resolve();
    const system = await startDirectSystem(t, 1, store => {
        const connection = createInterruptibleStore(store);
        hung = connection.hangNextWatch();
        return connection.service;
    });
    await hung;
    await system.writeEndpoint(0, "draining");
    const lastMs = await sendRequests(system, 0, readMonotonicMs());
    t.ok(lastMs <= LEAVING_MS, `the last request came after ${Math.round(lastMs)} ms`);
});

t.test("an endpoint learned from a peer and then removed gets no request past the bound", async t => {
    const first = await startDirectSystem(t, 3);
    const connection = createInterruptibleStore(first.store);
    await writeKey(first.store, "servers/i-2", undefined);
    const second = await startSecondRouter(t, first, SECOND_ADDRESS, connection.service);
    connection.isDisconnected = true;
    await first.writeEndpoint(2);
    while (!second.lines.some(line => line.includes('"added","endpoint":"i-2"'))) {
        await waitFor(CALL_PERIOD_MS);
    }
    connection.isDisconnected = false;
    await writeKey(first.store, "servers/i-2", undefined);
    const lastMs = await sendRequests(second, 2, readMonotonicMs());
    t.ok(lastMs <= LEAVING_MS, `the last request came after ${Math.round(lastMs)} ms`);
});
