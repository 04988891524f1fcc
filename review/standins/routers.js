// Routers of the deploy file as separate processes on loopback addresses.
import { spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const READY_TRIES = 200;
const READY_POLL_MS = 50;

/** Bounds of the small sites. */
export const BOUNDS = {
    contact_ms: 3000,
    drain_ms: 2000,
    grace_s: 8,
    config_apply_ms: 2000,
    retry_budget_ratio: 0.2,
    retry_window_s: 10,
    retry_burst: 92,
};

/**
 * Starts one router a zone, with the command and the template of the deploy file.
 * @param zones - Names of the zones, one for each router.
 * @param storeAddress - Address and port of the store.
 * @param laterCount - Number of routers, the last ones, whose processes are started later.
 */
export async function startRouters(zones, storeAddress, laterCount = 0) {
    const folder = mkdtempSync(join(tmpdir(), "auburnpass-review-"));
    const role = readRole("router");
    const [frontend, readiness, control, news, metrics] = await findFreePorts(5);
    const addresses = zones.map((zone, index) => `127.0.9.${index + 1}`);
    const routers = zones.map((zone, index) => {
        const address = addresses[index];
        const settings = {
            node_name: `edge-${zone}-${index + 1}`,
            zone,
            ip: address,
            listen: {
                frontend: `${address}:${frontend}`,
                readiness: `${address}:${readiness}`,
                control: `${address}:${control}`,
            },
            internal_ports: [news, metrics],
            seeds: addresses.slice(0, 3).map(seed => `${seed}:${control}`),
            heartbeat_ms: 1200,
            bounds: BOUNDS,
            platform: { address: storeAddress },
        };
        const file = join(folder, `router-${index + 1}.yaml`);
        writeFileSync(file, fillTemplate(role.template, settings));
        const router = { name: settings.node_name, zone, address, port: frontend, readinessPort: readiness, file };
        if (index < zones.length - laterCount) {
            startProcess(router);
        }
        return router;
    });
    // Whatever ends the script ends its routers too.
    process.on("exit", () => routers.forEach(router => router.hasEnded || router.process?.kill("SIGKILL")));
    return {
        folder,
        routers,
        startProcess,
        waitUntilReady: () => Promise.all(routers.filter(router => router.process).map(waitUntilReady)),
        async close() {
            await Promise.all(routers.map(endProcess));
            rmSync(folder, { recursive: true, force: true });
        },
    };

    function startProcess(router) {
        const log = openSync(join(folder, `${router.name}.log`), "a");
        const [command, ...args] = role.run.split(" ");
        const { PATH, HOME, LANG } = process.env;
        router.process = spawn(command === "node" ? process.execPath : command, args, {
            cwd: ROOT,
            env: { PATH, HOME, LANG, AUBURNPASS_NODE_FILE: router.file },
            stdio: ["ignore", log, log],
        });
        closeSync(log);
        router.exited = new Promise(resolve => {
            router.process.once("exit", (code, signal) => {
                router.hasEnded = true;
                resolve({ code, signal });
            });
        });
        router.hasEnded = false;
    }
}

/** Asks a router for its readiness, as the platform's balancer does. */
export function askReadiness(router) {
    return new Promise(resolve => {
        const options = { host: router.address, port: router.readinessPort, path: "/readyz", agent: false };
        const request = http.get(options, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        request.setTimeout(1000, () => request.destroy());
        request.on("error", () => resolve(false));
        request.on("close", () => resolve(false));
    });
}

async function waitUntilReady(router) {
    for (let tries = 0; tries < READY_TRIES; tries += 1) {
        if (await askReadiness(router)) {
            return;
        }
        await wait(READY_POLL_MS);
    }
    throw new Error(`${router.name} did not become ready`);
}

async function endProcess(router) {
    if (router.process !== undefined && !router.hasEnded) {
        router.process.kill("SIGCONT");
        router.process.kill("SIGKILL");
        await router.exited;
    }
}

/** Reads the lines of a role that a script needs; the file holds plain strings only. */
function readRole(name) {
    const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const section = text.split(`[roles.${name}]`)[1].split("\n[")[0];
    const read = key => new RegExp(`^${key} = "(.*)"$`, "m").exec(section)[1];
    return { run: read("run"), template: readFileSync(join(ROOT, read("template")), "utf8") };
}

/** Fills in placeholders; the templates of this project have no sections. */
function fillTemplate(template, settings) {
    return template.replaceAll(/\{\{([a-z_.0-9]+)(\|json)?\}\}/g, (whole, path, isJson) => {
        const value = path.split(".").reduce((found, key) => found?.[key], settings);
        return isJson === undefined ? String(value) : JSON.stringify(value);
    });
}

async function findFreePorts(count) {
    const servers = await Promise.all(
        Array.from({ length: count }, async () => {
            const server = net.createServer();
            await new Promise(resolve => server.listen(0, "127.0.9.1", resolve));
            return server;
        }),
    );
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
