import type { AnyTRPCRouter } from "@trpc/server";
import { openControlPort } from "../control/index.js";
import { type ReportLimit, createPlainServer } from "../memory/index.js";
import { type MetricsSource, startMetricsServer } from "../telemetry/index.js";
import { listenOn } from "../utils/http.js";
import type { CallerServer } from "./CallerServer.js";
import type { DirectSettings } from "./DirectSettings.js";

/** Open ports of a direct router. */
export interface DirectListeners {
    /** Closes all ports and the connections of callers. */
    close(): void;
}

/** Options of the ports. */
export interface DirectListenersOptions {
    settings: DirectSettings;
    callers: CallerServer;
    metrics: MetricsSource;
    /** Control procedures for other routers. */
    control: AnyTRPCRouter;
    /** Tells the load balancer whether the router accepts new connections. */
    isServing: () => boolean;
    /** Called when a client reaches a limit. */
    reportLimit: ReportLimit;
}

const READINESS_PATH = "/readyz";
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/**
 * Opens the ports for callers, readiness checks, control calls and metrics.
 * @param options - Addresses and servers.
 */
export async function openListeners(options: DirectListenersOptions): Promise<DirectListeners> {
    const { listen, processKey } = options.settings;
    const { server } = options.callers;
    const readinessServer = createPlainServer({
        report: options.reportLimit,
        handle(request, response) {
            const isReady = request.url === READINESS_PATH && options.isServing();
            response.writeHead(isReady ? STATUS_OK : STATUS_UNAVAILABLE, { "content-length": "0" }).end();
        },
    });
    const [controlPort, metricsServer] = await Promise.all([
        openControlPort({ ...listen.control, router: options.control, processKey, report: options.reportLimit }),
        startMetricsServer(
            options.metrics,
            { isReady: options.isServing },
            listen.metrics.port,
            listen.metrics.address,
            options.reportLimit,
        ),
        listenOn(server, listen.callers.port, listen.callers.address),
        listenOn(readinessServer, listen.readiness.port, listen.readiness.address),
    ]);
    return {
        close() {
            controlPort.close();
            metricsServer.close();
            readinessServer.close();
            server.closeAllConnections();
        },
    };
}
