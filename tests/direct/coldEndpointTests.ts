import t from "tap";
import { ErrorCode, createError } from "../../src/errors/index.js";
import type { KeyValueService } from "../../src/platform/index.js";
import { readMonotonicMs, waitFor } from "../../src/utils/time.js";
import { buildList } from "../../src/utils/list.js";
import type { OwningTest } from "../fixtures.js";
import { writeKey } from "../../standins/platform/writeKey.js";
import { type CallerAnswer, type DirectSystem, callRouter, startDirectSystem, startSecondRouter } from "./fixtures.js";
import { createScript } from "./noticesFixtures.js";

/**
 * Rate of a cold endpoint, per second: the bound is 305, of which a router that hears nobody takes its share as one of 64, which
 * is 4 or 5 requests in any second.
 */
const COLD_PER_SECOND = 200;
const LARGEST_SHARE = 5;
const SMALLEST_SHARE = 4;
/** Time after its start in which a router sends cold endpoints less than its share, in milliseconds. */
const LEARNING_MS = 3_200;
const APPLY_MS = 1_000;
const SECOND_MS = 1_000;
const POLL_MS = 25;
const COLD = { "cold-ms": "10000" };

/** Starts a router whose endpoints say in their answers whether they are cold; returns the times of their requests. */
async function startColdSystem(t: OwningTest, headers: Record<string, string>[]) {
    const change = { cold: { overshoot: 1.5, slack: 5 } };
    const system = await startDirectSystem(t, headers.length, undefined, undefined, change);
    const arrivals: number[][] = headers.map(() => []);
    system.endpoints.forEach((endpoint, index) =>
        endpoint.setScript((...request) => {
            arrivals[index]?.push(readMonotonicMs());
            createScript(headers[index] ?? {})(...request);
        }),
    );
    await system.writeDocument(2, document => {
        const services = document["services"] as Record<string, unknown>[];
        Object.assign(services[0] ?? {}, { cold_start_s: 3, cold_per_s: COLD_PER_SECOND });
    });
    await waitFor(Math.max(LEARNING_MS, APPLY_MS));
    return { system, arrivals };
}

/** Sends requests at once, each with its own identifier. */
function sendTogether(system: DirectSystem, count: number, name: string): Promise<CallerAnswer[]> {
    return Promise.all(
        buildList(count, index =>
            callRouter(system, { path: "/stock/1", headers: { "attempt-id": `${name}-${index}` } }),
        ),
    );
}

function countInWorstSecond(times: readonly number[]): number {
    return Math.max(0, ...times.map(from => times.filter(at => at >= from && at < from + SECOND_MS).length));
}

// Guards against many requests that are told the same candidate in one turn of the event loop.
t.test("a cold endpoint gets this router's share, the other one the rest, and no request fails", async t => {
    const { system, arrivals } = await startColdSystem(t, [COLD, {}]);
    await sendTogether(system, 20, "first");
    const [cold = []] = arrivals;
    t.ok(cold.length > 0);
    await waitFor(SECOND_MS + 100);
    const before = cold.length;
    const answers = await sendTogether(system, 40, "more");
    t.ok(answers.every(({ status }) => status === 200));
    const late = cold.slice(before);
    t.ok(late.length >= 1 && countInWorstSecond(late) <= LARGEST_SHARE, `${countInWorstSecond(late)} in a second`);
    t.ok(system.lines.some(line => line.includes("EndpointCold") && line.includes("answer")));
});

t.test("requests beyond the share of all cold endpoints wait for a turn or are refused as not run", async t => {
    const { system, arrivals } = await startColdSystem(t, [COLD]);
    await sendTogether(system, 1, "first");
    await waitFor(SECOND_MS + 100);
    const startedAt = readMonotonicMs();
    const answers = await sendTogether(system, 20, "more");
    const seconds = Math.ceil((readMonotonicMs() - startedAt) / SECOND_MS);
    const served = answers.filter(({ status }) => status === 200).length;
    t.ok(served >= SMALLEST_SHARE && served <= LARGEST_SHARE * seconds, `${served} served in ${seconds} s`);
    const refused = answers.filter(({ status }) => status === 503);
    t.equal(refused.length, answers.length - served);
    t.ok(refused.every(({ headers }) => Number(headers["retry-after"]) > 0));
    t.match(system.lines.join("\n"), /all endpoints are cold and at their rate/);
    t.equal(arrivals[0]?.length, served + 1);
});

/** A store that answers none of a router's reads. */
function createSilentStore(store: KeyValueService): KeyValueService {
    const service = Object.create(store) as KeyValueService;
    const fail = (): Promise<never> =>
        Promise.reject(
            createError({ code: ErrorCode.PlatformUncertain, expected: "an answer from the store", got: "silence" }),
        );
    return Object.assign(service, { watchEntries: fail, listSnapshot: fail });
}

/** Finds for how long an endpoint was cold, by its entry, when a router learned of it, in milliseconds. */
async function waitForEntryCold({ lines }: DirectSystem): Promise<number> {
    for (;;) {
        const line = lines.find(text => text.includes("EndpointCold") && text.includes('"source":"entry"'));
        if (line !== undefined) {
            return (JSON.parse(line) as { leftMs: number }).leftMs;
        }
        await waitFor(POLL_MS);
    }
}

// Guards against coldness that stays with the routers which read the store.
t.test(
    "a router that doesn't read the store learns from its peer that an entry says cold, and for how long",
    async t => {
        const { system } = await startColdSystem(t, [{}]);
        const second = await startSecondRouter(t, system, "127.0.0.2", createSilentStore(system.store));
        const address = `127.0.0.1:${system.endpoints[0]?.port ?? 0}`;
        const entry = { service: "app", address, zone: "a", slots: 8, state: "ready", born: 1, cold_left_ms: 60_000 };
        await writeKey(system.store, "servers/i-0", JSON.stringify(entry));
        t.equal(await waitForEntryCold(system), 60_000);
        const leftMs = await waitForEntryCold(second);
        t.ok(leftMs > 0 && leftMs < 60_000, `${leftMs} ms left`);
    },
);
