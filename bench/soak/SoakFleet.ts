import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "yaml";
import { sendHttpCall } from "../../src/utils/http.js";
import { type Loop, startLoop, waitFor } from "../../src/utils/time.js";
import { buildList } from "../../src/utils/list.js";
import { type LinkStandin, startLinkStandin } from "../../standins/network/linkStandin.js";
import { type StoreStandin, startStoreStandin } from "../../standins/platform/storeStandin.js";
import { type FleetProcess, startFleetProcess } from "../fleet/FleetProcess.js";
import { ZONES } from "./SoakEndpoint.js";
import { EVACUATE_MS } from "./SoakPlatform.js";
import { findFreePorts } from "../fleet/ports.js";

/** A router of the soak: a process, and what the balancer believes of it. */
export interface SoakRouter {
    readonly name: string;
    readonly address: string;
    readonly port: number;
    readonly storeLink: LinkStandin;
    process: FleetProcess;
    /** The balancer sends new connections. */
    isInRotation: boolean;
    /** The soak has ended the process or told it to end. */
    isEnding: boolean;
}

/** Routers as processes, with the store that they share. */
export interface SoakFleet {
    store: StoreStandin;
    routers: SoakRouter[];
    /** Folder of settings and logs. */
    folder: string;
    /** Processes that ended though the soak had not ended them. */
    ownEnds: string[];
    /** Starts the process of a router again, after it has ended. */
    restartRouter(router: SoakRouter): Promise<void>;
    close(): Promise<void>;
}

const SCRIPT = fileURLToPath(new URL("../../platform/routerMain.js", import.meta.url));
/** Network of the routers on loopback; each has an address, and all have the same ports. */
const NETWORK = "127.0.1.";
const READY_TRIES = 400;
const READY_POLL_MS = 25;
/** Period of the balancer's checks, in milliseconds, and the misses after which a router gets no new connections. */
const CHECK_MS = 500;
const MAX_MISSES = 2;
const STATUS_OK = 200;

interface Ports {
    callers: number;
    readiness: number;
    control: number;
    metrics: number;
    news: number;
}

/**
 * Starts the store and the routers.
 * @param routerCount - Number of routers.
 */
export async function startSoakFleet(routerCount: number): Promise<SoakFleet> {
    const folder = mkdtempSync(join(tmpdir(), "auburnpass-soak-"));
    const store = await startStoreStandin();
    const [callers = 0, readiness = 0, control = 0, metrics = 0, news = 0] = await findFreePorts(5);
    const ports: Ports = { callers, readiness, control, metrics, news };
    const ownEnds: string[] = [];
    const misses = new Map<string, number>();
    const routers = await Promise.all(buildList(routerCount, createRouter));
    const balancer: Loop = startLoop(
        CHECK_MS,
        async () => void (await Promise.all(routers.map(checkRouter))),
        error => ownEnds.push(`balancer: ${String(error)}`),
    );
    return {
        store,
        routers,
        folder,
        ownEnds,
        async restartRouter(router) {
            await router.process.waitForExit();
            router.process = startRouterProcess(router.name);
            router.isEnding = false;
            watchRouter(router);
        },
        async close() {
            await balancer.stop();
            await Promise.all(
                routers.map(async router => {
                    router.isEnding = true;
                    router.process.signal("SIGCONT");
                    router.process.signal("SIGKILL");
                    await router.process.waitForExit();
                    await router.storeLink.close();
                }),
            );
            await store.close();
        },
    };

    async function createRouter(index: number): Promise<SoakRouter> {
        const name = `router-${index + 1}`;
        const address = `${NETWORK}${index + 1}`;
        const storeLink = await startLinkStandin(Number(new URL(store.url).port));
        writeFileSync(join(folder, `${name}.yaml`), stringify(buildSettings(index, storeLink.port, ports)));
        const process = startRouterProcess(name);
        const router = { name, address, port: callers, storeLink, process, isInRotation: false, isEnding: false };
        watchRouter(router);
        return router;
    }

    function startRouterProcess(name: string): FleetProcess {
        return startFleetProcess({
            name,
            script: SCRIPT,
            args: [],
            env: { AUBURNPASS_NODE_FILE: join(folder, `${name}.yaml`) },
            logFile: join(folder, `${name}.log`),
        });
    }

    function watchRouter(router: SoakRouter): void {
        void router.process.waitForExit().then(code => {
            router.isInRotation = false;
            if (!router.isEnding) {
                ownEnds.push(`${router.name} ended by itself with ${String(code)}`);
            }
        });
    }

    async function checkRouter(router: SoakRouter): Promise<void> {
        const isReady = await isRouterReady(router.address, ports.readiness);
        const missed = isReady ? 0 : (misses.get(router.name) ?? 0) + 1;
        misses.set(router.name, missed);
        router.isInRotation = isReady || (router.isInRotation && missed < MAX_MISSES);
    }
}

/**
 * Waits until routers are ready.
 * @param fleet - Fleet.
 */
export async function waitUntilReady(fleet: SoakFleet): Promise<void> {
    for (let tries = 0; tries < READY_TRIES; tries++) {
        if (fleet.routers.every(router => router.isInRotation)) {
            return;
        }
        await waitFor(READY_POLL_MS);
    }
    throw new Error(`not all routers became ready; their logs are in ${fleet.folder}`);
}

async function isRouterReady(address: string, port: number): Promise<boolean> {
    try {
        const url = `http://${address}:${port}/readyz`;
        return (await sendHttpCall({ method: "GET", url, timeoutMs: CHECK_MS })).status === STATUS_OK;
    } catch {
        // A router that can't be asked counts as not ready, as it does for a balancer.
        return false;
    }
}

function buildSettings(index: number, storePort: number, ports: Ports): unknown {
    const address = `${NETWORK}${index + 1}`;
    return {
        host: `router-${index + 1}`,
        zone: ZONES[index % ZONES.length],
        address,
        listen: {
            callers: `${address}:${ports.callers}`,
            readiness: `${address}:${ports.readiness}`,
            control: `${address}:${ports.control}`,
            metrics: `${address}:${ports.metrics}`,
        },
        newsPort: ports.news,
        seeds: [`${NETWORK}1:${ports.control}`, `${NETWORK}2:${ports.control}`],
        store: `127.0.0.1:${storePort}`,
        retries: { ratio: 0.2, burst: 92, windowSeconds: 10 },
        applyMs: 2_000,
        leavingMs: 2_000,
        evacuateMs: EVACUATE_MS,
        graceSeconds: 8,
        heartbeatMs: 1_000,
        cold: { overshoot: 1.5, slack: 5 },
    };
}
