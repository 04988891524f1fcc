// Starts routers with the command and the settings of the deploy file, on loopback addresses.
import { spawn } from "node:child_process";
import { existsSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout } from "node:timers";
import { fileURLToPath } from "node:url";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const ROUTER_COMMAND = ["--max-old-space-size=160", "target/auburnpass-direct.js"];

export const waitFor = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Finds ports that are free on a loopback address. */
export async function findPorts(count, address = "127.0.0.1") {
    const servers = [];
    for (let index = 0; index < count; index++) {
        const server = net.createServer();
        await new Promise(resolve => server.listen(0, address, resolve));
        servers.push(server);
    }
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** Builds the settings that the template of the deploy file gives a router. */
export function buildSettings({ name, address, zone, ports, seeds, store, memoryMb = 350 }) {
    const [callers, readiness, control, news, metrics] = ports;
    return {
        host: name,
        zone,
        address,
        listen: {
            callers: `${address}:${callers}`,
            readiness: `${address}:${readiness}`,
            control: `${address}:${control}`,
            metrics: `${address}:${metrics}`,
        },
        newsPort: news,
        seeds,
        store,
        retries: { ratio: 0.2, burst: 92, windowSeconds: 10 },
        applyMs: 2000,
        leavingMs: 2000,
        graceSeconds: 8,
        heartbeatMs: 1200,
        region: "r",
        zoneRegions: { a: "r", b: "r", c: "r" },
        resources: { memoryMb, cores: 0.675, linkMbps: 1000, maxFds: 4100 },
    };
}

/** Starts a router as a process and waits until it is ready. */
export async function startRouter(options) {
    const folder = mkdtempSync(join(tmpdir(), "auburnpass-review-"));
    const settings = buildSettings(options);
    const file = join(folder, "settings.yaml");
    writeFileSync(file, JSON.stringify(settings));
    const log = join(folder, "log");
    const [callers, readiness] = options.ports;
    const router = { name: options.name, address: options.address, port: callers, readiness, folder };
    let child;
    let ended;
    router.start = async () => {
        const output = openSync(log, "a");
        const { PATH, HOME } = process.env;
        child = spawn(process.execPath, ROUTER_COMMAND, {
            cwd: ROOT,
            env: { PATH, HOME, AUBURNPASS_NODE_FILE: file },
            stdio: ["ignore", output, output],
        });
        router.startedAt = Date.now();
        router.end = undefined;
        ended = new Promise(resolve =>
            child.once("exit", (code, signal) => {
                router.end = { code, signal, at: Date.now() };
                resolve(router.end);
            }),
        );
        for (let tries = 0; tries < 400; tries++) {
            if ((await readStatus(options.address, readiness)) === 200) {
                return;
            }
            await waitFor(25);
        }
        throw new Error(`${options.name} did not become ready`);
    };
    router.signal = name => (router.end === undefined ? child.kill(name) : false);
    router.waitForEnd = () => ended;
    router.readLog = () => (existsSync(log) ? readFileSync(log, "utf8") : "");
    router.getPid = () => child.pid;
    router.readMemoryMb = () => {
        try {
            const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
            return Math.round(Number(/^VmHWM:\s*(\d+) kB$/m.exec(status)?.[1] ?? 0) / 1024);
        } catch {
            return 0;
        }
    };
    router.close = async () => {
        if (child !== undefined && router.end === undefined) {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
            await ended;
        }
        rmSync(folder, { recursive: true, force: true });
    };
    await router.start();
    return router;
}

/** Asks for the readiness of a router; 0 if it doesn't answer. */
export function readStatus(address, port) {
    return new Promise(resolve => {
        const request = http.get({ host: address, port, path: "/readyz", agent: false, timeout: 500 }, response => {
            response.resume();
            response.on("end", () => resolve(response.statusCode));
        });
        request.on("timeout", () => request.destroy());
        request.on("error", () => resolve(0));
    });
}

/** Routes of a small deployment: a safe one, an unsafe one and a stream that may be resumed. */
export function buildConfiguration(version, changes = {}) {
    const route = (name, kind, service, more = {}) => ({
        name,
        host: "desk.example",
        path_prefix: `/${name}/`,
        route_kind: kind,
        timeout_ms: 8000,
        slo_ms: 400,
        priority: 1,
        service,
        max_attempts: kind === "unsafe" ? 1 : 2,
        public: false,
        resumable: kind === "streaming",
        ...(kind === "streaming" ? { inter_token_ms: 120, sticky: true } : {}),
        ...more,
    });
    return {
        version,
        routes: [route("advice", "streaming", "lm"), route("book", "unsafe", "app"), route("stock", "safe", "app")],
        services: [
            { name: "lm", health_path: "/healthz", max_conns: 418 },
            { name: "app", health_path: "/healthz", max_conns: 110 },
        ],
        limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
        tenants: [{ name: "shop", api_keys: ["key-shop"] }],
        ...changes,
    };
}

/** Builds the entry that a replica writes into the store. */
export function buildEntry(service, address, zone, more = {}) {
    return {
        service,
        address,
        zone,
        version: "v1",
        slots: 12,
        state: "ready",
        sequence: 1,
        cold_left_ms: 0,
        born: 1,
        ...more,
    };
}
