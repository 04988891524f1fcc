import type { AnyTRPCRouter } from "@trpc/server";
import { type ReportLimit, createPlainServer } from "../memory/index.js";
import { listenOn } from "../utils/http.js";
import { startControlServer } from "./ControlServer.js";

/** A port that serves nothing but control calls. */
export interface ControlPort {
    close(): void;
}

/** Options of the port. */
export interface ControlPortOptions {
    address: string;
    port: number;
    router: AnyTRPCRouter;
    /** Key between processes. */
    processKey: string;
    /** Called when a client reaches a limit. */
    report?: ReportLimit;
}

const STATUS_NOT_FOUND = 404;
/** Connections that are not yet upgraded; many processes connect at once after a restart. */
const MAX_CONNECTIONS = 128;

/**
 * Opens a port for control calls.
 * @param options - Address and procedures.
 */
export async function openControlPort(options: ControlPortOptions): Promise<ControlPort> {
    const server = createPlainServer({
        handle: (request, response) => response.writeHead(STATUS_NOT_FOUND).end(),
        report: options.report,
        maxConnections: MAX_CONNECTIONS,
    });
    await listenOn(server, options.port, options.address);
    const calls = startControlServer(server, options.router, [options.processKey]);
    return {
        close() {
            calls.close();
            server.close();
        },
    };
}
