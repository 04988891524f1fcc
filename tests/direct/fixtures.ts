import http from "node:http";
import { findFreePorts } from "../../bench/fleet/ports.js";
import { createPlatformCodec } from "../../platform/PlatformCodec.js";
import { WIRE_HEADERS } from "../../platform/wireNames.js";
import { type DirectSettings, startDirectRouter } from "../../src/direct/index.js";
import type { KeyValueService } from "../../src/platform/index.js";
import { createLogger } from "../../src/telemetry/logger.js";
import type { RunningProgram } from "../../src/utils/runUntilSignal.js";
import { waitFor } from "../../src/utils/time.js";
import { type EndpointStandin, startEndpointStandin } from "../../standins/endpoint/endpointStandin.js";
import { type KeyValueStore, createKeyValueStore } from "../../standins/platform/KeyValueStore.js";
import { writeKey } from "../../standins/platform/writeKey.js";
import type { OwningTest } from "../fixtures.js";

/** A direct router with scripted endpoints, inside the test's process. */
export interface DirectSystem {
    store: KeyValueStore;
    endpoints: EndpointStandin[];
    router: RunningProgram;
    settings: DirectSettings;
    /** Loopback address of the router. */
    address: string;
    port: number;
    readinessPort: number;
    metricsPort: number;
    /** Log lines of the router. */
    lines: string[];
    writeEndpoint(index: number, state?: string): Promise<void>;
    writeDocument(version: number, change?: (document: WireDocument) => void): Promise<void>;
}

/** Routing document as the platform's operator writes it. */
export type WireDocument = Record<string, unknown> & { version: number; routes: Record<string, unknown>[] };

/** Answer as a caller received it. */
export interface CallerAnswer {
    status: number;
    headers: http.IncomingHttpHeaders;
    body: string;
    /** Whether the answer was complete when the connection closed. */
    isWhole: boolean;
}

export const TEAM_KEY = "key-of-team-one";
const ADDRESS = "127.0.0.1";
const HOST = "shop.example";
const POLL_INTERVAL_MS = 20;
const MAX_READY_POLLS = 250;

/** Builds the routing document of the tests: one route of each kind. */
export function buildDocument(version: number): WireDocument {
    const base = { host: HOST, timeout_ms: 2_000, slo_ms: 300, service: "app", max_attempts: 2 };
    return {
        version,
        routes: [
            { ...base, name: "stock", path_prefix: "/stock/", route_kind: "safe", priority: 2 },
            { ...base, name: "book", path_prefix: "/book/", route_kind: "unsafe", priority: 1, max_attempts: 1 },
            { ...base, name: "advice", path_prefix: "/advice/", route_kind: "streaming", priority: 0, resumable: true },
        ],
        services: [{ name: "app", health_path: "/healthz", max_conns: 100 }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 100_000,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "one", api_keys: [TEAM_KEY] }],
    };
}

/**
 * Starts a router and some endpoints.
 * @param wrapStore - Wraps the store for the router, for example to inject faults.
 * @param controlAddress - Address of its control server, if a link in front of it has the router's own address.
 * @param change - Settings other than the usual ones.
 */
export async function startDirectSystem(
    t: OwningTest,
    endpointCount = 2,
    wrapStore = (store: KeyValueStore): KeyValueService => store,
    controlAddress = ADDRESS,
    change: Partial<DirectSettings> = {},
): Promise<DirectSystem> {
    const store = createKeyValueStore();
    const lines: string[] = [];
    const logger = createLogger("r1", { writeLine: line => lines.push(line), flush: () => Promise.resolve() });
    const endpoints = await Promise.all(
        Array.from({ length: endpointCount }, () => startEndpointStandin((seen, socket) => socket.destroy())),
    );
    const settings = { ...buildSettings(ADDRESS, await findFreePorts(5)), ...change };
    settings.listen.control.address = controlAddress;
    await writeDocument(1);
    for (const index of endpoints.keys()) {
        await writeEndpoint(index);
    }
    const platform = { service: wrapStore(store), codec: createPlatformCodec(logger), names: WIRE_HEADERS };
    const router = await startDirectRouter(settings, platform, logger);
    t.teardown(async () => {
        await Promise.all([router.stop(), ...endpoints.map(endpoint => endpoint.close())]);
    });
    await waitUntilReady(ADDRESS, settings.listen.readiness.port);
    return {
        store,
        endpoints,
        router,
        settings,
        address: ADDRESS,
        port: settings.listen.callers.port,
        readinessPort: settings.listen.readiness.port,
        metricsPort: settings.listen.metrics?.port ?? 0,
        lines,
        writeEndpoint,
        writeDocument,
    };

    async function writeDocument(version: number, change?: (document: WireDocument) => void): Promise<void> {
        const document = buildDocument(version);
        change?.(document);
        await writeKey(store, "op/config", JSON.stringify(document));
    }

    function writeEndpoint(index: number, state = "ready"): Promise<void> {
        const address = `${ADDRESS}:${endpoints[index]?.port ?? 0}`;
        return writeKey(
            store,
            `servers/i-${index}`,
            JSON.stringify({
                service: "app",
                address,
                zone: "a",
                version: "v1",
                slots: 8,
                state,
                sequence: 1,
                born: 1,
            }),
        );
    }
}

/**
 * Starts a second router of a system, on the same ports of another loopback address.
 * @param service - Store that this router uses.
 * @param controlAddress - Address of its control server, if a link in front of it has the router's own address.
 * @param change - Settings other than the usual ones.
 */
export async function startSecondRouter(
    t: OwningTest,
    system: DirectSystem,
    address: string,
    service: KeyValueService,
    controlAddress = address,
    change: Partial<DirectSettings> = {},
): Promise<DirectSystem> {
    const lines: string[] = [];
    const logger = createLogger("r2", { writeLine: line => lines.push(line), flush: () => Promise.resolve() });
    const { listen, newsPort } = system.settings;
    const ports = [listen.callers, listen.readiness, listen.control, listen.metrics].map(place => place?.port ?? 0);
    const seeds = [{ address: system.address, port: listen.control.port }];
    const { cold, outageReturn } = system.settings;
    const usual = buildSettings(address, [...ports, newsPort]);
    const settings: DirectSettings = { ...usual, host: "r2", seeds, cold, outageReturn, ...change };
    settings.listen.control.address = controlAddress;
    const platform = { service, codec: createPlatformCodec(logger), names: WIRE_HEADERS };
    const router = await startDirectRouter(settings, platform, logger);
    t.teardown(() => router.stop());
    await waitUntilReady(address, listen.readiness.port);
    return { ...system, router, settings, address, lines };
}

function buildSettings(address: string, ports: readonly number[]): DirectSettings {
    const [callers = 0, readiness = 0, control = 0, metrics = 0, newsPort = 0] = ports;
    return {
        host: "r1",
        zone: "a",
        address,
        listen: {
            callers: { address, port: callers },
            readiness: { address, port: readiness },
            control: { address, port: control },
            metrics: { address, port: metrics },
        },
        newsPort,
        seeds: [],
        processKey: "key-of-the-tests",
        retries: { ratio: 0.2, burst: 1_000, windowMs: 10_000 },
        drain: { noticeMs: 300, graceMs: 3_000 },
        applyMs: 2_000,
        leavingMs: 2_000,
        lapseGraceMs: 2_000,
        entryLifetimeMs: 5_000,
    };
}

async function waitUntilReady(address: string, port: number): Promise<void> {
    for (let tries = 0; tries < MAX_READY_POLLS; tries++) {
        if ((await readStatus(port, address)) === 200) {
            return;
        }
        await waitFor(POLL_INTERVAL_MS);
    }
    throw new Error("the router did not become ready");
}

/** Reads the status of the readiness check, as the load balancer does. */
export function readStatus(port: number, address = ADDRESS): Promise<number> {
    return new Promise(resolve => {
        const request = http.get({ host: address, port, path: "/readyz", agent: false }, response => {
            response.resume();
            resolve(response.statusCode ?? 0);
        });
        request.on("error", () => resolve(0));
    });
}

/** Options of a caller's request. */
export interface CallOptions {
    method?: string;
    path: string;
    headers?: Record<string, string>;
    body?: string;
    /** Aborts the call on the caller's side. */
    signal?: AbortSignal;
    agent?: http.Agent;
}

/** Sends a caller's request and collects the answer. */
export function callRouter(
    system: Pick<DirectSystem, "address" | "port">,
    options: CallOptions,
): Promise<CallerAnswer> {
    return new Promise((resolve, reject) => {
        const request = http.request({
            host: system.address,
            port: system.port,
            method: options.method ?? "GET",
            path: options.path,
            agent: options.agent ?? false,
            signal: options.signal,
            headers: {
                host: HOST,
                "attempt-id": "a-1",
                "deadline-ms": "2000",
                "x-api-key": TEAM_KEY,
                ...options.headers,
            },
        });
        request.on("error", reject);
        request.on("response", response => {
            let body = "";
            response.setEncoding("utf8");
            response.on("data", (chunk: string) => (body += chunk));
            response.on("error", () => undefined);
            response.on("close", () => {
                const { statusCode: status = 0, headers, complete: isWhole } = response;
                resolve({ status, headers, body, isWhole });
            });
        });
        request.end(options.body);
    });
}
