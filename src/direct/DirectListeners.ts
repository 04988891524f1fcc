import http from "node:http";
import type { AnyTRPCRouter } from "@trpc/server";
import { startControlServer } from "../control/index.js";
import { listenOn } from "../utils/http.js";
import type { CallerServer } from "./CallerServer.js";
import type { DirectSettings } from "./DirectSettings.js";

/** Ports of a direct router. */
export interface DirectListeners {
    close(): void;
}

/** Options of the ports. */
export interface DirectListenersOptions {
    settings: DirectSettings;
    callers: CallerServer;
    /** Control procedures for other routers. */
    control: AnyTRPCRouter;
    /** Tells the balancer whether new connections are welcome. */
    isServing: () => boolean;
}

const READINESS_PATH = "/readyz";
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;

/**
 * Opens the ports for callers, readiness checks and control calls.
 * @param options - Addresses and servers.
 */
export async function openListeners(options: DirectListenersOptions): Promise<DirectListeners> {
    const { listen, processKey } = options.settings;
    const { server } = options.callers;
    const readiness = http.createServer((request, response) => {
        const isReady = request.url === READINESS_PATH && options.isServing();
        response.writeHead(isReady ? STATUS_OK : STATUS_UNAVAILABLE, { "content-length": "0" }).end();
    });
    const control = http.createServer((request, response) => response.writeHead(STATUS_NOT_FOUND).end());
    await Promise.all([
        listenOn(server, listen.callers.port, listen.callers.address),
        listenOn(readiness, listen.readiness.port, listen.readiness.address),
        listenOn(control, listen.control.port, listen.control.address),
    ]);
    const calls = startControlServer(control, options.control, [processKey]);
    return {
        close() {
            calls.close();
            readiness.close();
            control.close();
            server.closeAllConnections();
        },
    };
}
