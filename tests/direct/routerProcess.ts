import { mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "yaml";
import { startFleetProcess } from "../../bench/fleet/FleetProcess.js";
import { findFreePorts } from "../../bench/fleet/ports.js";
import { waitFor } from "../../src/utils/time.js";
import { type EndpointScript, startEndpointStandin } from "../../standins/endpoint/endpointStandin.js";
import { startStoreStandin } from "../../standins/platform/storeStandin.js";
import { writeKey } from "../../standins/platform/writeKey.js";
import type { OwningTest } from "../fixtures.js";
import { buildDocument, readStatus } from "./fixtures.js";

/** What the host gives a router, and what its callers may send. */
export interface RouterProcessOptions {
    memoryMb: number;
    maxFds: number;
    bodyBytes: number;
    /** Plays the requests that reach the endpoint. */
    script: EndpointScript;
}

/** Ports of a router that take bytes from outside. */
export interface RouterPorts {
    callers: number;
    readiness: number;
    control: number;
    metrics: number;
}

/** A direct router in a process of its own, with a store and an endpoint inside the test's process. */
export interface RouterProcess {
    readonly address: string;
    /** Port for callers. */
    readonly port: number;
    readonly ports: RouterPorts;
    isRunning(): boolean;
    /** Reads the largest resident memory so far, in MiB. */
    readPeakMemoryMb(): number;
    /** Largest number of open descriptors that was sampled. */
    getPeakDescriptors(): number;
}

const SCRIPT = fileURLToPath(new URL("../../platform/routerMain.js", import.meta.url));
const ADDRESS = "127.0.0.1";
/** Options of node with which routers run on entry hosts. */
const NODE_OPTIONS = "--max-old-space-size=160";
const KIB_PER_MIB = 1_024;
const SAMPLE_MS = 50;
const READY_POLL_MS = 50;
const MAX_READY_POLLS = 400;
/** Timeout of the routes, in milliseconds: longer than any test, as none checks times. */
const ROUTE_TIMEOUT_MS = 60_000;

/**
 * Starts a router as a process.
 * @param t - Test that owns it.
 * @param options - Limits, and the script of the endpoint.
 */
export async function startRouterProcess(t: OwningTest, options: RouterProcessOptions): Promise<RouterProcess> {
    const folder = mkdtempSync(join(tmpdir(), "auburnpass-router-"));
    const store = await startStoreStandin();
    const endpoint = await startEndpointStandin(options.script);
    await writeKey(store.store, "op/config", JSON.stringify(buildWireDocument(options.bodyBytes)));
    await writeKey(store.store, "servers/i-0", JSON.stringify(buildEntry(endpoint.port)));
    const [callers = 0, readiness = 0, control = 0, metrics = 0, news = 0] = await findFreePorts(5);
    const ports: RouterPorts = { callers, readiness, control, metrics };
    const settingsFile = join(folder, "settings.yaml");
    writeFileSync(settingsFile, stringify(buildSettings(ports, news, Number(new URL(store.url).port), options)));
    const child = startFleetProcess({
        name: "router",
        script: SCRIPT,
        args: [],
        env: { AUBURNPASS_NODE_FILE: settingsFile, NODE_OPTIONS },
        logFile: join(folder, "router.log"),
    });
    let peakDescriptors = 0;
    const sampler = setInterval(sampleDescriptors, SAMPLE_MS);
    t.teardown(async () => {
        clearInterval(sampler);
        child.signal("SIGKILL");
        await child.waitForExit();
        await Promise.all([endpoint.close(), store.close()]);
        rmSync(folder, { recursive: true, force: true });
    });
    await waitUntilReady(readiness);
    return {
        address: ADDRESS,
        port: callers,
        ports,
        isRunning: () => child.isRunning(),
        readPeakMemoryMb() {
            const status = child.isRunning() ? readFileSync(`/proc/${child.pid}/status`, "utf8") : "";
            return Number(/^VmHWM:\s*(\d+) kB$/m.exec(status)?.[1] ?? "NaN") / KIB_PER_MIB;
        },
        getPeakDescriptors: () => peakDescriptors,
    };

    function sampleDescriptors(): void {
        if (child.isRunning()) {
            peakDescriptors = Math.max(peakDescriptors, readdirSync(`/proc/${child.pid}/fd`).length);
        }
    }
}

function buildWireDocument(bodyBytes: number): unknown {
    const document = buildDocument(1);
    document.routes.forEach(route => (route.timeout_ms = ROUTE_TIMEOUT_MS));
    document.limits = { ...(document.limits as object), max_body_bytes: bodyBytes };
    return document;
}

function buildEntry(port: number): unknown {
    const address = `${ADDRESS}:${port}`;
    return { service: "app", address, zone: "a", version: "v1", slots: 1_000, state: "ready", sequence: 1, born: 1 };
}

function buildSettings(ports: RouterPorts, news: number, storePort: number, options: RouterProcessOptions): unknown {
    const { memoryMb, maxFds } = options;
    const listen = Object.fromEntries(Object.entries(ports).map(([name, port]) => [name, `${ADDRESS}:${port}`]));
    return {
        host: "router-1",
        zone: "a",
        address: ADDRESS,
        listen,
        newsPort: news,
        seeds: [],
        store: `${ADDRESS}:${storePort}`,
        retries: { ratio: 0.2, burst: 92, windowSeconds: 10 },
        applyMs: 2_000,
        leavingMs: 2_000,
        graceSeconds: 8,
        heartbeatMs: 1_000,
        resources: { memoryMb, maxFds },
    };
}

async function waitUntilReady(port: number): Promise<void> {
    for (let tries = 0; tries < MAX_READY_POLLS; tries++) {
        if ((await readStatus(port, ADDRESS)) === 200) {
            return;
        }
        await waitFor(READY_POLL_MS);
    }
    throw new Error("the router did not become ready");
}
