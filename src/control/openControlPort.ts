import http from "node:http";
import type { AnyTRPCRouter } from "@trpc/server";
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
}

const STATUS_NOT_FOUND = 404;

/**
 * Opens a port for control calls.
 * @param options - Address and procedures.
 */
export async function openControlPort(options: ControlPortOptions): Promise<ControlPort> {
    const server = http.createServer((request, response) => response.writeHead(STATUS_NOT_FOUND).end());
    await listenOn(server, options.port, options.address);
    const calls = startControlServer(server, options.router, [options.processKey]);
    return {
        close() {
            calls.close();
            server.close();
        },
    };
}
