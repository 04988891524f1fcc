import { readFileSync } from "node:fs";
import http from "node:http";
import { fileURLToPath } from "node:url";
import { join } from "node:path";
import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { buildList } from "../../src/utils/list.js";
import { waitFor } from "../../src/utils/time.js";
import { type Fleet, startFleet } from "../fleet/Fleet.js";
import { startFleetProcess } from "../fleet/FleetProcess.js";
import { findFreePorts } from "../fleet/ports.js";
import { readProcessUsage } from "../processUsage.js";
import type { BenchReport } from "../Report.js";

/** What a hop needed. */
interface HopFigures {
    events: number;
    cpuUsPerEvent: number;
    firstByteP95Ms: number;
    residentMb: number;
}

const STREAMS = 343;
const ENGINES = 6;
const STEP_MS = 31;
const TOKENS = 480;
/** Streams begin one after the other, so that each first byte is measured under the load of the others. */
const RAMP_MS = 4_000;
const WARM_UP_MS = 1_000;
const MEASURED_MS = 8_000;
const TRIALS = 2;
const P95 = 95;
const MAX_RATIO = 1.15;
const MAX_ADDED_MS = 5;
const MAX_RESIDENT_MB = 256;

/**
 * The router's processor time an event against a bare one-hop pipe, with the same streams in the same run.
 * @param seed - Not used: the load is regular.
 */
export async function runRelay(seed: number): Promise<BenchReport> {
    const fleet = await startBenchFleet();
    const [pipePort] = await findFreePorts(1);
    const engineUrls = fleet.endpoints.map(endpoint => endpoint.endpointUrl);
    const pipe = startFleetProcess({
        name: "bare-pipe",
        script: fileURLToPath(new URL("barePipe.js", import.meta.url)),
        args: [String(pipePort), ...engineUrls],
        logFile: join(fleet.folder, "logs", "bare-pipe.log"),
    });
    try {
        await fleet.waitUntilReady();
        const router = fleet.routers[0];
        const bare: HopFigures[] = [];
        const ours: HopFigures[] = [];
        for (let trial = 0; trial < TRIALS; trial++) {
            bare.push(await sampleHop(`http://127.0.0.1:${pipePort}`, pipe.pid));
            ours.push(await sampleHop(router?.url ?? "", router?.process.pid ?? 0));
        }
        return createReport(seed, pickLeast(bare), pickLeast(ours));
    } finally {
        pipe.signal("SIGKILL");
        await fleet.stop();
    }
}

function startBenchFleet(): Promise<Fleet> {
    return startFleet({
        zones: ["zone-1"],
        routersPerZone: 1,
        engines: ENGINES,
        model: "assist-lm",
        services: 0,
        serviceName: "none",
        documentText: readFileSync("examples/swapdesk.yaml", "utf8").replace(
            "environment: trial",
            "environment: production",
        ),
        environment: "production",
        engineStepMs: STEP_MS,
        engineBatch: STREAMS,
        concurrency: STREAMS,
    });
}

async function sampleHop(url: string, pid: number): Promise<HopFigures> {
    const firstBytes: Histogram = buildHistogram({ numberOfSignificantValueDigits: 3 });
    let events = 0;
    const agent = new http.Agent({ keepAlive: true });
    const streams = buildList(STREAMS, index => waitFor((index * RAMP_MS) / STREAMS).then(() => readStream(index)));
    await waitFor(RAMP_MS + WARM_UP_MS);
    const before = readProcessUsage(pid);
    const eventsBefore = events;
    await waitFor(MEASURED_MS);
    const after = readProcessUsage(pid);
    const measured = events - eventsBefore;
    await Promise.all(streams);
    agent.destroy();
    return {
        events: measured,
        cpuUsPerEvent: ((after.cpuMs - before.cpuMs) * 1_000) / measured,
        firstByteP95Ms: firstBytes.getValueAtPercentile(P95),
        residentMb: after.residentMb,
    };

    function readStream(index: number): Promise<void> {
        const body = JSON.stringify({
            model: "assist-lm",
            stream: true,
            max_tokens: TOKENS,
            messages: [{ role: "user", content: `stream ${index}` }],
        });
        const headers = { authorization: "Bearer key-of-parents", "content-type": "application/json" };
        const startedAt = performance.now();
        return new Promise(resolve => {
            const request = http.request(`${url}/v1/chat/completions`, { method: "POST", headers, agent }, response => {
                response.once("data", () =>
                    firstBytes.recordValue(Math.max(1, Math.round(performance.now() - startedAt))),
                );
                response.on("data", (chunk: Buffer) => {
                    events += countEvents(chunk);
                });
                response.on("close", () => resolve());
            });
            request.on("error", () => resolve());
            request.end(body);
        });
    }
}

function countEvents(chunk: Buffer): number {
    let count = 0;
    for (let place = chunk.indexOf("\n\n"); place !== -1; place = chunk.indexOf("\n\n", place + 2)) {
        count++;
    }
    return count;
}

function pickLeast(figures: readonly HopFigures[]): HopFigures {
    return figures.reduce((least, other) => (other.cpuUsPerEvent < least.cpuUsPerEvent ? other : least));
}

function createReport(seed: number, bare: HopFigures, ours: HopFigures): BenchReport {
    const row = (name: string, figures: HopFigures): (string | number)[] => [
        name,
        figures.events,
        figures.cpuUsPerEvent,
        figures.firstByteP95Ms,
        figures.residentMb,
    ];
    return {
        name: "relay",
        seed,
        columns: ["hop", "events", "us an event", "first byte p95 ms", "resident MB"],
        rows: [row("bare pipe", bare), row("router", ours)],
        checks: [
            {
                name: "router over bare pipe",
                value: ours.cpuUsPerEvent / bare.cpuUsPerEvent,
                bound: MAX_RATIO,
                isUpper: true,
            },
            {
                name: "added to the first byte at p95, ms",
                value: ours.firstByteP95Ms - bare.firstByteP95Ms,
                bound: MAX_ADDED_MS,
                isUpper: true,
            },
            { name: "resident MB", value: ours.residentMb, bound: MAX_RESIDENT_MB, isUpper: true },
        ],
    };
}
