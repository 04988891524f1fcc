import t from "tap";
import { waitFor } from "../../../src/utils/time.js";
import { writeKey } from "../../../standins/platform/writeKey.js";
import type { EndpointScript } from "../../../standins/endpoint/endpointStandin.js";
import type { KeyValueStore } from "../../../standins/platform/KeyValueStore.js";
import { callRouter, startDirectSystem, startSecondRouter } from "../fixtures.js";

const EVACUATE_MS = 2_000;
const SECOND_ADDRESS = "127.0.0.2";

const answerWhole: EndpointScript = (seen, socket, response) => {
    response.writeHead(200, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" }).end("done");
};

t.test("no router sends to an evacuated zone, and the refusal names the cause at once", async t => {
    const first = await startDirectSystem(t, 1, store => store, undefined, { evacuateMs: EVACUATE_MS });
    first.endpoints[0]?.setScript(answerWhole);
    const second = await startSecondRouter(t, first, SECOND_ADDRESS, first.store, SECOND_ADDRESS, {
        evacuateMs: EVACUATE_MS,
    });
    t.equal((await callRouter(first, { path: "/stock/1" })).status, 200);
    await writeKey(first.store, "op/evacuate/a", "{}");
    await waitFor(EVACUATE_MS);
    for (const system of [first, second]) {
        const answer = await callRouter(system, { path: "/stock/1" });
        t.equal(answer.status, 503);
        t.match(answer.body, '"cause":"zone-evacuated"');
        t.ok(Number(answer.headers["retry-after"]) > 0.4, "as long as the caller honours");
    }
    t.equal(first.endpoints[0]?.seen.length, 1);
    await writeKey(first.store, "op/evacuate/a", undefined);
    await waitFor(EVACUATE_MS);
    for (const system of [first, second]) {
        t.equal((await callRouter(system, { path: "/stock/1" })).status, 200);
    }
});

t.test("a router that can reach only a peer serves no zone that was evacuated before it started", async t => {
    const first = await startDirectSystem(t, 1, store => store, undefined, { evacuateMs: EVACUATE_MS });
    first.endpoints[0]?.setScript(answerWhole);
    await writeKey(first.store, "op/evacuate/a", "not even JSON");
    const refuse = (): Promise<never> => Promise.reject(new Error("store is cut off"));
    const cutOff = Object.assign(Object.create(first.store) as KeyValueStore, {
        listSnapshot: refuse,
        watchEntries: refuse,
    });
    const second = await startSecondRouter(t, first, SECOND_ADDRESS, cutOff, SECOND_ADDRESS, {
        evacuateMs: EVACUATE_MS,
    });
    const answer = await callRouter(second, { path: "/stock/1" });
    t.match(answer.body, '"cause":"zone-evacuated"');
    t.equal(first.endpoints[0]?.seen.length, 0);
    t.match(second.lines.find(line => line.includes("EvacuationStarted")) ?? "", `"source":"${first.address}`);
    await writeKey(first.store, "op/evacuate/a", undefined);
    await waitFor(EVACUATE_MS);
    t.equal((await callRouter(second, { path: "/stock/1" })).status, 200, "the withdrawal reaches it too");
});

t.test("a request whose homes leave no endpoint is refused at once, and the cause is named", async t => {
    const system = await startDirectSystem(t, 1, store => store, undefined, { zoneRegions: { a: "north" } });
    await system.writeDocument(2, document => {
        document.routes = document.routes.map(route =>
            route["name"] === "stock" ? { ...route, home_regions: ["south"] } : route,
        );
    });
    await waitFor(system.settings.applyMs);
    const answer = await callRouter(system, { path: "/stock/1" });
    t.equal(answer.status, 503);
    t.match(answer.body, '"cause":"outside-homes"');
    t.equal(system.endpoints[0]?.seen.length, 0);
});
