import { readMonotonicMs, waitFor } from "../../src/utils/time.js";
import { buildList } from "../../src/utils/list.js";
import type { EndpointScript } from "../../standins/endpoint/endpointStandin.js";
import { writeKey } from "../../standins/platform/writeKey.js";
import type { OwningTest } from "../fixtures.js";
import { type CallerAnswer, type DirectSystem, callRouter, startDirectSystem, startSecondRouter } from "./fixtures.js";

/** Window in which requests to an endpoint with a limit are counted, in milliseconds. */
export const WINDOW_MS = 4_000;
/** Time after which a limit that an endpoint has named binds, in milliseconds. */
export const CONTACT_MS = 3_000;
/** What an endpoint may get beyond its limit in a window: a share of it, and a number of requests. */
export const EXCESS_SHARE = 0.5;
export const EXCESS_REQUESTS = 5;
export const LIMIT_PER_SECOND = 3;
const ROUTERS = 4;
export const CALL_PERIOD_MS = 50;
export const SETTLE_MS = 1_000;
/** Target of the route of these tests, in milliseconds: nobody waits for longer to be refused. */
export const TARGET_MS = 300;
/** Time that an endpoint takes which is to be loaded, in milliseconds. */
export const SLOW_MS = 300;

/** Answers like a sound endpoint after a time, with headers that say something of the endpoint itself. */
export function createScript(headers: Record<string, string>, delayMs = 0): EndpointScript {
    return (seen, socket, response) => {
        const echoed = { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" };
        setTimeout(() => response.writeHead(200, { ...echoed, ...headers }).end("done"), delayMs);
    };
}

/** Starts several routers of one zone. */
export async function startRouters(t: OwningTest, endpoints: number): Promise<DirectSystem[]> {
    const first = await startDirectSystem(t, endpoints);
    const systems = [first];
    for (const index of buildList(ROUTERS - 1, place => place + 2)) {
        systems.push(await startSecondRouter(t, first, `127.0.0.${index}`, first.store));
    }
    await waitFor(SETTLE_MS);
    return systems;
}

/** Answer with the time that the caller waited for it, in milliseconds. */
type TimedAnswer = CallerAnswer & { lastedMs: number };

export async function callTimed(system: DirectSystem, headers: Record<string, string>): Promise<TimedAnswer> {
    const startedAt = readMonotonicMs();
    const answer = await callRouter(system, { path: "/stock/1", headers });
    return { ...answer, lastedMs: readMonotonicMs() - startedAt };
}

/** Sends requests through all routers for a time; each call has its own identifier. */
export async function sendRequests(systems: readonly DirectSystem[], lastsMs: number): Promise<TimedAnswer[]> {
    const calls: Promise<TimedAnswer>[] = [];
    const startedAt = readMonotonicMs();
    while (readMonotonicMs() - startedAt < lastsMs) {
        systems.forEach(system => {
            const headers = { "attempt-id": `a-${calls.length}` };
            calls.push(callTimed(system, headers));
        });
        await waitFor(CALL_PERIOD_MS);
    }
    return Promise.all(calls);
}

/** Counts the most requests in any window that begins after a time. */
export function countInWorstWindow(times: readonly number[], from: number): number {
    const late = times.filter(at => at >= from);
    return Math.max(0, ...late.map(start => late.filter(at => at >= start && at < start + WINDOW_MS).length));
}

/** Removes the entry of the first endpoint until it counts as gone, and writes it again. */
export async function dropEntryForATime(system: DirectSystem): Promise<void> {
    await writeKey(system.store, "servers/i-0", undefined);
    await waitFor(system.settings.lapseGraceMs + SETTLE_MS);
    await sendRequests([system], CALL_PERIOD_MS);
    await system.writeEndpoint(0);
    await waitFor(SETTLE_MS);
}
