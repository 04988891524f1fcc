import type http from "node:http";
import { type ReportLimit, createPlainServer } from "../memory/index.js";
import { listenOn } from "../utils/http.js";
import type { MetricsSource } from "./MetricsSource.js";

/** What the health endpoints of a process report. */
export interface Health {
    isReady(): boolean;
}

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_ERROR = 500;
const STATUS_UNAVAILABLE = 503;

/**
 * Starts the HTTP server for metrics, health and readiness.
 * @param metrics - Metrics to expose.
 * @param health - Readiness of the process.
 * @param port - Port to listen on.
 * @param address - IP address to listen on.
 * @param report - Called when a client reaches a limit.
 */
export async function startMetricsServer(
    metrics: MetricsSource,
    health: Health,
    port: number,
    address: string,
    report?: ReportLimit,
): Promise<http.Server> {
    const server = createPlainServer({ handle, report });
    await listenOn(server, port, address);
    return server;

    function handle(request: http.IncomingMessage, response: http.ServerResponse): void {
        if (request.url === "/metrics") {
            void answerScrape(metrics, response);
        } else if (request.url === "/healthz") {
            response.writeHead(STATUS_OK).end("ok\n");
        } else if (request.url === "/readyz") {
            const isReady = health.isReady();
            response.writeHead(isReady ? STATUS_OK : STATUS_UNAVAILABLE).end(isReady ? "ready\n" : "not ready\n");
        } else {
            response.writeHead(STATUS_NOT_FOUND).end();
        }
    }
}

async function answerScrape(metrics: MetricsSource, response: http.ServerResponse): Promise<void> {
    try {
        const text = await metrics.renderText();
        response.writeHead(STATUS_OK, { "content-type": metrics.contentType }).end(text);
    } catch (error) {
        response.writeHead(STATUS_ERROR).end(error instanceof Error ? error.message : String(error));
    }
}
