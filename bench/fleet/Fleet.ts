import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "yaml";
import { EndpointKind, createDocumentRepository } from "../../src/config/index.js";
import { type HostEntry, HostRole, HostState, createHttpKeyValueService } from "../../src/platform/index.js";
import { computeKeyDigest, createId } from "../../src/utils/digest.js";
import { sendHttpCall } from "../../src/utils/http.js";
import { buildList } from "../../src/utils/list.js";
import { waitFor } from "../../src/utils/time.js";
import { type LinkStandin, startLinkStandin } from "../../standins/network/linkStandin.js";
import { type FleetProcess, startFleetProcess } from "./FleetProcess.js";
import { findFreePorts } from "./ports.js";

/** Size and settings of a local fleet. */
export interface FleetOptions {
    zones: string[];
    routersPerZone: number;
    /** Engines, spread over the zones. */
    engines: number;
    model: string;
    /** Plain services, spread over the zones. */
    services: number;
    serviceName: string;
    /** Text of the environment document. */
    documentText: string;
    environment: "trial" | "production";
    engineStepMs?: number;
    engineBatch?: number;
    concurrency?: number;
    drainNoticeMs?: number;
    /** Address to which the plain services report their runs. */
    recorderUrl?: string;
    /** Puts a link with faults in front of each agent. */
    hasLinks?: boolean;
    silenceMs?: number;
}

/** A router of the fleet. */
export interface FleetRouter {
    host: string;
    zone: string;
    url: string;
    controlPort: number;
    controlUrl: string;
    metricsUrl: string;
    process: FleetProcess;
}

/** An endpoint of the fleet, with its agent. */
export interface FleetEndpoint {
    host: string;
    zone: string;
    kind: EndpointKind;
    endpointUrl: string;
    agentPort: number;
    /** Link in front of the agent. */
    link: LinkStandin | undefined;
    endpoint: FleetProcess;
    agent: FleetProcess;
}

/** A local fleet of separate processes. */
export interface Fleet {
    routers: FleetRouter[];
    endpoints: FleetEndpoint[];
    platformUrl: string;
    collectorUrl: string;
    operatorKey: string;
    processKey: string;
    folder: string;
    /** Commands the faults of a stand-in. */
    setFaults(url: string, faults: Record<string, unknown>): Promise<void>;
    /** Starts a replaced agent for an endpoint. */
    restartAgent(endpoint: FleetEndpoint): Promise<void>;
    restartRouter(router: FleetRouter): Promise<void>;
    restartEndpoint(endpoint: FleetEndpoint): Promise<void>;
    /** Waits until every router knows the endpoints and a document. */
    waitUntilReady(): Promise<void>;
    /** Ends every process that the fleet started. */
    stop(): Promise<void>;
}

const ADDRESS = "127.0.0.1";
const PORTS_PER_ROUTER = 3;
const PORTS_PER_ENDPOINT = 3;
const POLL_MS = 50;
const READY_POLLS = 400;
const CALL_MS = 2_000;
const STATUS_OK = 200;

/**
 * Starts a local fleet, with stand-ins for everything outside.
 * @param options - Sizes.
 */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
    const folder = mkdtempSync(join(tmpdir(), "auburnpass-fleet-"));
    mkdirSync(join(folder, "logs"));
    const routerCount = options.zones.length * options.routersPerZone;
    const endpointCount = options.engines + options.services;
    const ports = await findFreePorts(2 + routerCount * PORTS_PER_ROUTER + endpointCount * PORTS_PER_ENDPOINT);
    const [platformPort, collectorPort] = takePorts(2) as [number, number];
    const platformUrl = `http://${ADDRESS}:${platformPort}`;
    const collectorUrl = `http://${ADDRESS}:${collectorPort}`;
    const operatorKey = "operator-key-of-the-fleet";
    const processKey = "process-key-of-the-fleet";
    const processes: FleetProcess[] = [];
    runStandin("platform", ["--port", String(platformPort)]);
    runStandin("collector", ["--port", String(collectorPort)]);
    await waitForHttp(`${platformUrl}/faults`);
    await writeFirstDocument();
    const routers = buildList(routerCount, createRouter);
    await publishHosts([]);
    routers.forEach(startRouterProcess);
    const endpoints = await Promise.all(buildList(endpointCount, createEndpoint));
    await publishHosts(endpoints);
    return {
        routers,
        endpoints,
        platformUrl,
        collectorUrl,
        operatorKey,
        processKey,
        folder,
        setFaults,
        restartAgent,
        restartRouter,
        restartEndpoint,
        waitUntilReady,
        stop,
    };

    function takePorts(count: number): number[] {
        return ports.splice(0, count);
    }

    function run(name: string, script: string, args: string[]): FleetProcess {
        const logFile = join(folder, "logs", `${name}.log`);
        const started = startFleetProcess({
            name,
            script: fileURLToPath(new URL(script, import.meta.url)),
            args,
            logFile,
        });
        processes.push(started);
        return started;
    }

    function runStandin(kind: string, args: string[], name = kind): FleetProcess {
        return run(name, "../../standins/main.js", ["--kind", kind, ...args]);
    }

    async function writeFirstDocument(): Promise<void> {
        const repository = createDocumentRepository(createHttpKeyValueService({ url: platformUrl }));
        await repository.writeDocument(options.environment, 0, options.documentText, "fleet", createId("write"));
    }

    function createRouter(place: number): FleetRouter {
        const zone = options.zones[place % options.zones.length] ?? "";
        const [callers, control, metrics] = takePorts(PORTS_PER_ROUTER) as [number, number, number];
        const host = `entry-${place + 1}`;
        writeSettings(host, {
            ...createCommonSettings(host, zone),
            environment: options.environment,
            listen: { address: ADDRESS, callers, control, metrics },
            operators: [{ name: "fleet-operator", keyDigest: computeKeyDigest(operatorKey) }],
            silenceMs: options.silenceMs ?? 1_000,
            drainNoticeMs: options.drainNoticeMs ?? 500,
        });
        return {
            host,
            zone,
            url: `http://${ADDRESS}:${callers}`,
            controlPort: control,
            controlUrl: `http://${ADDRESS}:${control}`,
            metricsUrl: `http://${ADDRESS}:${metrics}`,
            process: undefined as unknown as FleetProcess,
        };
    }

    function startRouterProcess(router: FleetRouter): void {
        router.process = run(router.host, "../../src/bin/auburnpass-router.js", [
            "--config",
            findSettingsFile(router.host),
        ]);
    }

    async function createEndpoint(place: number): Promise<FleetEndpoint> {
        const zone = options.zones[place % options.zones.length] ?? "";
        const [endpointPort, agentPort, metrics] = takePorts(PORTS_PER_ENDPOINT) as [number, number, number];
        const isEngine = place < options.engines;
        const kind = isEngine ? EndpointKind.Engine : EndpointKind.Service;
        const host = `${kind}-${isEngine ? place + 1 : place - options.engines + 1}`;
        const endpointUrl = `http://${ADDRESS}:${endpointPort}`;
        const link = options.hasLinks === true ? await startLinkStandin(agentPort) : undefined;
        writeSettings(host, {
            ...createCommonSettings(host, zone),
            listen: { address: ADDRESS, data: agentPort, metrics },
            advertise: link && { address: ADDRESS, data: link.port },
            endpoint: {
                kind,
                name: isEngine ? options.model : options.serviceName,
                url: endpointUrl,
                concurrency: options.concurrency ?? 8,
            },
        });
        const endpoint: FleetEndpoint = {
            host,
            zone,
            kind,
            endpointUrl,
            agentPort,
            link,
            endpoint: startEndpointProcess(host, kind, endpointPort),
            agent: startAgentProcess(host),
        };
        return endpoint;
    }

    function startEndpointProcess(host: string, kind: EndpointKind, port: number): FleetProcess {
        const speeds = ["--step-ms", String(options.engineStepMs ?? 10), "--batch", String(options.engineBatch ?? 8)];
        const recorder = options.recorderUrl === undefined ? [] : ["--recorder", options.recorderUrl];
        const extra = kind === EndpointKind.Engine ? speeds : recorder;
        const args = ["--port", String(port), "--model", options.model, ...extra];
        return runStandin(kind, args, `${host}-endpoint`);
    }

    function startAgentProcess(host: string): FleetProcess {
        return run(host, "../../src/bin/auburnpass-agent.js", ["--config", findSettingsFile(host)]);
    }

    function createCommonSettings(host: string, zone: string): Record<string, unknown> {
        return {
            host,
            zone,
            platform: { keyValue: platformUrl, hostList: platformUrl },
            processKeys: [processKey],
            traces: { collector: `${collectorUrl}/v1/traces` },
        };
    }

    function writeSettings(host: string, settings: Record<string, unknown>): void {
        writeFileSync(findSettingsFile(host), stringify(settings));
    }

    function findSettingsFile(host: string): string {
        return join(folder, `${host}.yaml`);
    }

    async function publishHosts(listed: FleetEndpoint[]): Promise<void> {
        const entries: HostEntry[] = [
            ...routers.map(router => createEntry(router.host, HostRole.Router, router.zone, router.controlPort)),
            ...listed.map(endpoint => createEntry(endpoint.host, HostRole.Endpoint, endpoint.zone, endpoint.agentPort)),
        ];
        const body = JSON.stringify(entries);
        await sendHttpCall({ method: "PUT", url: `${platformUrl}/hosts`, body, timeoutMs: CALL_MS });
    }

    function createEntry(host: string, role: HostRole, zone: string, port: number): HostEntry {
        return { host, role, zone, address: ADDRESS, port, state: HostState.Live };
    }

    async function setFaults(url: string, faults: Record<string, unknown>): Promise<void> {
        const body = JSON.stringify(faults);
        await sendHttpCall({ method: "POST", url: `${url}/faults`, body, timeoutMs: CALL_MS });
    }

    async function restartAgent(endpoint: FleetEndpoint): Promise<void> {
        await endAndWait(endpoint.agent);
        endpoint.agent = startAgentProcess(endpoint.host);
    }

    async function restartRouter(router: FleetRouter): Promise<void> {
        await endAndWait(router.process);
        startRouterProcess(router);
    }

    async function restartEndpoint(endpoint: FleetEndpoint): Promise<void> {
        await endAndWait(endpoint.endpoint);
        const port = Number(new URL(endpoint.endpointUrl).port);
        endpoint.endpoint = startEndpointProcess(endpoint.host, endpoint.kind, port);
        await waitForHttp(`${endpoint.endpointUrl}/health`);
    }

    async function endAndWait(process: FleetProcess): Promise<void> {
        process.signal("SIGCONT");
        process.signal("SIGKILL");
        await process.waitForExit();
    }

    async function waitUntilReady(): Promise<void> {
        for (let poll = 0; poll < READY_POLLS; poll++) {
            const counts = await Promise.all(routers.map(countKnownEndpoints));
            if (counts.every(count => count >= endpoints.length)) {
                return;
            }
            await waitFor(POLL_MS);
        }
        throw new Error(`the fleet is not ready; see ${folder}/logs`);
    }

    async function countKnownEndpoints(router: FleetRouter): Promise<number> {
        try {
            const ready = await sendHttpCall({ method: "GET", url: `${router.metricsUrl}/readyz`, timeoutMs: CALL_MS });
            const metrics = await sendHttpCall({
                method: "GET",
                url: `${router.metricsUrl}/metrics`,
                timeoutMs: CALL_MS,
            });
            const known = /^auburnpass_known_endpoints (\d+)/m.exec(metrics.body.toString("utf8"))?.[1];
            return ready.status === STATUS_OK ? Number(known ?? "0") : 0;
        } catch {
            return 0;
        }
    }

    async function stop(): Promise<void> {
        for (const started of processes) {
            started.signal("SIGCONT");
            started.signal("SIGKILL");
        }
        await Promise.all(processes.map(started => started.waitForExit()));
        await Promise.all(endpoints.map(endpoint => endpoint.link?.close()));
        rmSync(folder, { recursive: true, force: true });
    }
}

async function waitForHttp(url: string): Promise<void> {
    for (let poll = 0; poll < READY_POLLS; poll++) {
        try {
            await sendHttpCall({ method: "GET", url, timeoutMs: CALL_MS });
            return;
        } catch {
            await waitFor(POLL_MS);
        }
    }
    throw new Error(`no answer from ${url}`);
}
