import { readFileSync } from "node:fs";
import { EndpointKind, WorkRank } from "../../src/config/index.js";
import { type ControlClient, createControlClient } from "../../src/control/index.js";
import type { EndpointFact } from "../../src/membership/index.js";
import type { RouterControl } from "../../src/router/routerControl.js";
import { createAdminClient } from "../../src/cli/AdminClient.js";
import { buildList } from "../../src/utils/list.js";
import { readMonotonicMs, waitFor } from "../../src/utils/time.js";
import { type Fleet, startFleet } from "../fleet/Fleet.js";
import { readProcessUsage } from "../processUsage.js";
import type { BenchReport } from "../Report.js";

const AGENT_COUNTS = [25, 50, 100, 200];
const ROUTER_COUNTS = [3, 6, 12];
const SETTLE_MS = 2_500;
const MEASURED_MS = 5_000;
/** Each of the two listeners of an agent hears it every other second. */
const HEARTBEAT_MS = 2_000;
const CALL_MS = 1_000;
/** Agents that one router hears at the size in view: 12,000 agents, two listeners each, 370 routers. */
const AGENTS_IN_VIEW = 65;
const MAX_CORE_SHARE = 0.037;
const MAX_RESIDENT_MB = 256;
const IN_FORCE_MS = 6_000;

/**
 * Processor time and memory of a router against the number of agents that it hears.
 * @param seed - Not used: the load is regular.
 */
export async function runControl(seed: number): Promise<BenchReport> {
    const rows: (string | number)[][] = [];
    for (const count of AGENT_COUNTS) {
        const fleet = await startRouters(1);
        const figures = await sampleHeartbeats(fleet, count);
        await fleet.stop();
        rows.push([`${count} agents`, figures.coreShare, figures.residentMb, figures.bytesPerSecond]);
    }
    for (const count of ROUTER_COUNTS) {
        const fleet = await startRouters(count);
        const figures = await sampleRouter(fleet);
        await fleet.stop();
        rows.push([`${count} routers`, figures.coreShare, figures.residentMb, 0]);
    }
    const [, few, , many] = rows.map(row => row[1] as number);
    const slope = ((many ?? 0) - (few ?? 0)) / 150;
    const base = Math.max(0, (few ?? 0) - slope * 50);
    const residentMb = Math.max(...rows.map(row => row[2] as number));
    return {
        name: "control",
        seed,
        columns: ["case", "share of a core", "resident MB", "bytes/s in heartbeats"],
        rows,
        checks: [
            {
                name: "share of a core at 65 agents a router",
                value: base + slope * AGENTS_IN_VIEW,
                bound: MAX_CORE_SHARE,
                isUpper: true,
            },
            { name: "resident MB", value: residentMb, bound: MAX_RESIDENT_MB, isUpper: true },
        ],
    };
}

/**
 * Time until a change is in force at every router, against the number of routers.
 * @param seed - Not used: the load is regular.
 */
export async function runSpread(seed: number): Promise<BenchReport> {
    const rows: (string | number)[][] = [];
    for (const count of ROUTER_COUNTS) {
        const fleet = await startRouters(count);
        await waitFor(SETTLE_MS);
        const client = createAdminClient(fleet.routers[0]?.controlUrl ?? "", fleet.operatorKey);
        const startedAt = readMonotonicMs();
        const text = readDocument().replace("weight: 4", "weight: 5");
        const report = await client.applyDocument("production", 1, text);
        rows.push([count, report.inForce.length, readMonotonicMs() - startedAt]);
        await fleet.stop();
    }
    const slowest = Math.max(...rows.map(row => row[2] as number));
    const missing = rows.reduce((sum, row) => sum + (row[0] as number) - (row[1] as number), 0);
    return {
        name: "spread",
        seed,
        columns: ["routers", "in force at", "ms until in force"],
        rows,
        checks: [
            { name: "ms until in force everywhere", value: slowest, bound: IN_FORCE_MS, isUpper: true },
            { name: "routers without the version", value: missing, bound: 0, isUpper: true },
        ],
    };
}

interface ControlFigures {
    coreShare: number;
    residentMb: number;
    bytesPerSecond: number;
}

async function sampleHeartbeats(fleet: Fleet, agents: number): Promise<ControlFigures> {
    const place = new URL(fleet.routers[0]?.controlUrl ?? "").host;
    const clients = buildList(agents, () => createControlClient<RouterControl>(place, fleet.processKey));
    let sequence = 0;
    let bytes = 0;
    const timer = setInterval(() => {
        sequence++;
        clients.forEach((client, index) => {
            const fact = createFact(index, sequence);
            bytes += JSON.stringify(fact).length;
            void sendHeartbeat(client, fact);
        });
    }, HEARTBEAT_MS);
    const figures = await sampleRouter(fleet);
    clearInterval(timer);
    clients.forEach(client => client.close());
    return { ...figures, bytesPerSecond: (bytes * 1_000) / (SETTLE_MS + MEASURED_MS) };
}

async function sendHeartbeat(client: ControlClient<RouterControl>, fact: EndpointFact): Promise<void> {
    const message = { fact, policyVersion: 1 };
    await client
        .call((control, signal) => control.heartbeat.mutate(message, { signal }), CALL_MS)
        .catch(() => undefined);
}

async function sampleRouter(fleet: Fleet): Promise<ControlFigures> {
    const pid = fleet.routers[0]?.process.pid ?? 0;
    await waitFor(SETTLE_MS);
    const before = readProcessUsage(pid);
    await waitFor(MEASURED_MS);
    const after = readProcessUsage(pid);
    return { coreShare: (after.cpuMs - before.cpuMs) / MEASURED_MS, residentMb: after.residentMb, bytesPerSecond: 0 };
}

function startRouters(count: number): Promise<Fleet> {
    return startFleet({
        zones: ["zone-1", "zone-2", "zone-3"].slice(0, count),
        routersPerZone: Math.max(1, count / 3),
        engines: 0,
        model: "assist-lm",
        services: 0,
        serviceName: "none",
        documentText: readDocument(),
        environment: "production",
    }).then(async fleet => {
        await fleet.waitUntilReady();
        return fleet;
    });
}

function readDocument(): string {
    return readFileSync("examples/swapdesk.yaml", "utf8").replace("environment: trial", "environment: production");
}

function createFact(index: number, sequence: number): EndpointFact {
    return {
        host: `engine-${index}`,
        zone: "zone-1",
        address: "127.0.0.1",
        port: 1,
        kind: EndpointKind.Engine,
        name: "assist-lm",
        incarnation: `inc-${index}`,
        startedAt: 1,
        sequence,
        isDraining: false,
        isDown: false,
        concurrency: 8,
        queued: 3,
        running: 8,
        ahead: { [WorkRank.Urgent]: 8, [WorkRank.Standard]: 9, [WorkRank.Deferrable]: 11 },
        waitMs: 12,
    };
}
