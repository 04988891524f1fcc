import { readFileSync } from "node:fs";
import { createAdminClient } from "../src/cli/AdminClient.js";
import { EndpointKind, createDocumentRepository } from "../src/config/index.js";
import type { AgentSettings, RouterSettings } from "../src/config/index.js";
import { startAgent } from "../src/agent/startAgent.js";
import { HostRole, HostState, createHttpKeyValueService } from "../src/platform/index.js";
import { startRouter } from "../src/router/startRouter.js";
import { computeKeyDigest } from "../src/utils/digest.js";
import type { RunningProgram } from "../src/utils/program.js";
import { sendHttpCall } from "../src/utils/http.js";
import { buildList } from "../src/utils/list.js";
import { waitFor } from "../src/utils/time.js";
import { findFreePorts } from "../bench/fleet/ports.js";
import { type EngineStandin, type EngineStandinOptions, startEngineStandin } from "../standins/engine/engineStandin.js";
import { type LinkStandin, startLinkStandin } from "../standins/network/linkStandin.js";
import { type PlatformStandin, startPlatformStandin } from "../standins/platform/platformStandin.js";
import { type ServiceStandin, startServiceStandin } from "../standins/service/serviceStandin.js";

/** A small system inside the test's process, with real sockets. */
export interface SmallSystem {
    platform: PlatformStandin;
    engines: EngineStandin[];
    services: ServiceStandin[];
    agents: RunningProgram[];
    links: LinkStandin[];
    routers: RunningProgram[];
    /** Addresses for callers, one a router. */
    urls: string[];
    controlUrls: string[];
}

/** Sizes of a small system. */
export interface SmallSystemOptions {
    routers?: number;
    engines?: number;
    services?: number;
    engine?: Partial<EngineStandinOptions>;
    silenceMs?: number;
    stallMs?: number;
    documentText?: string;
    bodyMs?: number;
    /** Puts a link with faults in front of each agent. */
    hasLinks?: boolean;
}

export const PROCESS_KEY = "process-key-of-the-tests";
export const OPERATOR_KEY = "operator-key-of-the-tests";
const ADDRESS = "127.0.0.1";
const POLL_MS = 20;

/** Reads the example document for the production environment. */
export function readExampleDocument(): string {
    return readFileSync("examples/swapdesk.yaml", "utf8").replace("environment: trial", "environment: production");
}

/** Test whose end also ends what it has started. */
export interface OwningTest {
    teardown(run: () => Promise<void>): void;
}

/**
 * Starts a small system, and waits until its routers know the endpoints. It ends with its test, also after a failure.
 * @param test - Test that owns the system.
 * @param options - Sizes.
 */
export async function startSmallSystem(test: OwningTest, options: SmallSystemOptions = {}): Promise<SmallSystem> {
    const platform = await startPlatformStandin({ hostListLagMs: 0 });
    const repository = createDocumentRepository(createHttpKeyValueService({ url: platform.url }));
    await repository.writeDocument("production", 0, options.documentText ?? readExampleDocument(), "tests", "w-1");
    const engines: EngineStandin[] = [];
    const services: ServiceStandin[] = [];
    const agents: RunningProgram[] = [];
    const links: LinkStandin[] = [];
    const routerCount = options.routers ?? 1;
    const ports = await findFreePorts(routerCount * 2);
    const seeds = buildList(routerCount, place => ({
        host: `entry-${place + 1}`,
        zone: "zone-1",
        address: ADDRESS,
        port: ports[place * 2 + 1] ?? 0,
    }));
    platform.setHosts(seeds.map(seed => ({ ...seed, role: HostRole.Router, state: HostState.Live })));
    const routers = await Promise.all(
        seeds.map((seed, place) => startRouter(createRouterSettings(seed.host, ports[place * 2] ?? 0, seed.port))),
    );
    for (let count = 0; count < (options.engines ?? 1); count++) {
        const engine = await startEngineStandin({ model: "assist-lm", stepMs: 2, ...options.engine });
        engines.push(engine);
        await addAgent(`engine-${count + 1}`, EndpointKind.Engine, "assist-lm", engine.url);
    }
    for (let count = 0; count < (options.services ?? 1); count++) {
        const service = await startServiceStandin();
        services.push(service);
        await addAgent(`service-${count + 1}`, EndpointKind.Service, "swapdesk-app", service.url);
    }
    const urls = buildList(routerCount, place => `http://${ADDRESS}:${ports[place * 2]}`);
    const controlUrls = seeds.map(seed => `http://${ADDRESS}:${seed.port}`);
    test.teardown(stop);
    await waitUntilReady();
    return { platform, engines, services, agents, links, routers, urls, controlUrls };

    function createRouterSettings(host: string, callers: number, control: number): RouterSettings {
        return {
            ...createCommonSettings(host),
            environment: "production",
            listen: { address: ADDRESS, callers, control, metrics: 0 },
            operators: [{ name: "operator", keyDigest: computeKeyDigest(OPERATOR_KEY) }],
            limits: { bodyBytes: 64 * 1024, bodyMs: options.bodyMs ?? 2_000, concurrent: 500 },
            drainNoticeMs: 50,
            silenceMs: options.silenceMs ?? 400,
        };
    }

    async function addAgent(host: string, kind: EndpointKind, name: string, url: string): Promise<void> {
        const [data] = await findFreePorts(1);
        const link = options.hasLinks === true ? await startLinkStandin(data ?? 0) : undefined;
        const settings: AgentSettings = {
            ...createCommonSettings(host),
            listen: { address: ADDRESS, data: data ?? 0, metrics: 0 },
            advertise: link && { address: ADDRESS, data: link.port },
            endpoint: { kind, name, url, concurrency: 8 },
            drainMs: 5_000,
            stallMs: options.stallMs ?? 1_000,
        };
        links.push(...(link === undefined ? [] : [link]));
        agents.push(await startAgent(settings));
    }

    function createCommonSettings(host: string) {
        return {
            host,
            zone: "zone-1",
            platform: { keyValue: platform.url, hostList: platform.url },
            processKeys: [PROCESS_KEY],
            routers: seeds,
        };
    }

    async function waitUntilReady(): Promise<void> {
        for (const url of controlUrls) {
            const client = createAdminClient(url, OPERATOR_KEY);
            while ((await client.getStatus()).endpoints.length < engines.length + services.length) {
                await waitFor(POLL_MS);
            }
        }
        for (const url of urls) {
            for (const path of probePaths()) {
                while ((await sendProbe(url, path)) !== 200) {
                    await waitFor(POLL_MS);
                }
            }
        }
        engines.forEach(engine => engine.runs.splice(0));
        services.forEach(service => service.runs.splice(0));
    }

    function probePaths(): string[] {
        return [...(engines.length > 0 ? ["chat"] : []), ...(services.length > 0 ? ["stock"] : [])];
    }

    async function sendProbe(url: string, path: string): Promise<number> {
        const headers = { authorization: "Bearer key-of-shops" };
        const isChat = path === "chat";
        const answer = await sendHttpCall({
            method: isChat ? "POST" : "GET",
            url: isChat ? `${url}/v1/chat/completions` : `${url}/services/swapdesk-app/stock/probe`,
            headers,
            body: isChat
                ? '{"model":"assist-lm","max_tokens":1,"messages":[{"role":"user","content":"x"}]}'
                : undefined,
            timeoutMs: 5_000,
        });
        return answer.status;
    }

    async function stop(): Promise<void> {
        await Promise.all([...routers, ...agents].map(program => program.stop()));
        await Promise.all([platform, ...engines, ...services, ...links].map(standin => standin.close()));
    }
}
