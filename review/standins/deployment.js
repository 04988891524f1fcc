// A small deployment of the kind that the pages describe: three zones, one router each, one service, and a record.
import { writeFileSync } from "node:fs";
import { clearInterval, setInterval } from "node:timers";
import { setTimeout as wait } from "node:timers/promises";
import { sendRequest } from "./caller.js";
import { startReplica } from "./replica.js";
import { startRouters } from "./routers.js";
import { startStore } from "./store.js";

/** Exit codes of a script. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

export const ZONES = ["pk-north-a", "pk-north-b", "pk-north-c"];
export const SERVICE = "swapdesk-app";
export const KEY = "n2ctnfzs989anu6wsjnb";
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

const HOST = "shop.example";
/** Period at which replicas write their entries anew. */
const HEARTBEAT_MS = 1_200;
const LIMITS = {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

/** Builds the operator's configuration with the routes of a case. */
export function buildConfiguration(version, routes) {
    return {
        version,
        routes: routes.map(route => ({ host: HOST, slo_ms: 387, priority: 1, service: SERVICE, ...route })),
        services: [{ name: SERVICE, health_path: "/healthz", max_conns: 110 }],
        limits: LIMITS,
        tenants: [{ name: "hule930", api_keys: [KEY], priority: 1 }],
    };
}

/**
 * Starts the store, the replicas and the routers, and waits until the routers are ready.
 * @param options - Routes, number of replicas and what each replica does otherwise than a sound one; zones of the routers,
 * and the number of routers that are started later.
 */
export async function startDeployment({
    routes,
    replicaCount,
    buildReplicaOptions = () => ({}),
    zones = ZONES,
    laterRouters = 0,
}) {
    const store = await startStore();
    store.put("op/config", buildConfiguration(101, routes));
    const replicas = [];
    for (let index = 0; index < replicaCount; index += 1) {
        const id = `i-7f3a91c${index}`;
        const zone = ZONES[index % ZONES.length];
        const replica = await startReplica({ id, service: SERVICE, zone, ...buildReplicaOptions(index) });
        replicas.push(replica);
        startHeartbeats(replica);
    }
    const fleet = await startRouters(zones, store.address, laterRouters);
    await fleet.waitUntilReady();
    return {
        store,
        replicas,
        fleet,
        /** The entry of a replica is removed; it goes on serving. */
        removeEntry(replica) {
            clearInterval(replica.heartbeats);
            store.remove(`servers/${replica.id}`);
        },
        async close() {
            replicas.forEach(replica => clearInterval(replica.heartbeats));
            await fleet.close();
            replicas.forEach(replica => replica.close());
            store.close();
        },
    };

    function startHeartbeats(replica) {
        let sequence = 0;
        const beat = () => {
            sequence += 1;
            store.put(`servers/${replica.id}`, { ...replica.buildEntry(), sequence });
        };
        beat();
        replica.heartbeats = setInterval(beat, HEARTBEAT_MS);
    }
}

/**
 * Sends requests at a steady rate, by turns to all routers, and waits for their ends.
 * @param options - Routers, rate, duration, what builds a request from its number, and the caller.
 */
export async function sendSteadily({ routers, perSecond, seconds, buildRequest, send = sendRequest }) {
    const startedAt = Date.now();
    const pending = [];
    for (let number = 0; number < perSecond * seconds; number += 1) {
        const dueMs = startedAt + (number * 1000) / perSecond - Date.now();
        if (dueMs > 0) {
            await wait(dueMs);
        }
        pending.push(send(routers[number % routers.length], { key: KEY, ...buildRequest(number) }));
    }
    return Promise.all(pending);
}

/**
 * Runs a case: writes its record and ends the process with the exit code of its result.
 * @param url - URL of the case's script, beside which the record is written.
 * @param play - Plays the case with a function that adds a line to the record, and returns whether the rule was broken.
 */
export async function runCase(url, play) {
    const lines = [`trouble: ${HAS_TROUBLE ? "yes" : "no"}`];
    let code = NOT_RUN;
    for (const signal of ["SIGINT", "SIGTERM"]) {
        process.once(signal, () => process.exit(NOT_RUN));
    }
    try {
        code = (await play(line => lines.push(line))) ? BROKEN : HELD;
    } catch (error) {
        lines.push(`could not run: ${error.stack}`);
    }
    lines.push(`result: ${["rule held", "rule broken", "could not run"][code]}`);
    writeFileSync(new URL("record.txt", url), `${lines.join("\n")}\n`);
    console.log(lines.filter(line => !line.startsWith("  ")).join("\n"));
    process.exit(code);
}

/** Describes what a caller saw, for the record. */
export function describeSeen({ attempt, path, router, kind, status, stamp, error, sentAt, lastedMs }) {
    const what = [kind, status, stamp, error].filter(part => part !== undefined).join(" ");
    return `  ${new Date(sentAt).toISOString()} ${attempt} ${path} at ${router}: ${what} after ${lastedMs} ms`;
}

/**
 * Checks the rule CONFIG on requests that reach the timeout of their route.
 * @param seen - What the callers saw.
 * @param timeoutMs - Timeout of the route.
 */
export function checkTimeouts(seen, timeoutMs) {
    const isAnsweredBy = (request, ms) => request.kind !== "silence" && request.lastedMs <= ms;
    const unanswered = seen.filter(request => !isAnsweredBy(request, timeoutMs));
    const late = unanswered.filter(request => !isAnsweredBy(request, timeoutMs + 500));
    return { unanswered, late, isBroken: late.length >= 8 && late.length > unanswered.length / 2 };
}
