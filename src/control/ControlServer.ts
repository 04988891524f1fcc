import type http from "node:http";
import type { AnyTRPCRouter } from "@trpc/server";
import { applyWSSHandler } from "@trpc/server/adapters/ws";
import { WebSocketServer } from "ws";

/** Server of control calls, on the upgrade path of an HTTP server. */
export interface ControlServer {
    close(): void;
}

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
const PING_MS = 5_000;
const PONG_WAIT_MS = 2_000;

/**
 * Serves control calls on `/control` of an HTTP server.
 * @param server - HTTP server that is listening, or will.
 * @param router - Procedures.
 * @param acceptedKeys - Process keys that are accepted.
 */
export function startControlServer(
    server: http.Server,
    router: AnyTRPCRouter,
    acceptedKeys: readonly string[],
): ControlServer {
    const sockets = new WebSocketServer({ server, path: "/control", maxPayload: MAX_MESSAGE_BYTES });
    const handler = applyWSSHandler({
        wss: sockets as never,
        router,
        createContext: ({ info }) => ({ processKey: info.connectionParams?.key ?? "", acceptedKeys }),
        keepAlive: { enabled: true, pingMs: PING_MS, pongWaitMs: PONG_WAIT_MS },
    });
    sockets.on("error", () => undefined);
    return {
        close() {
            handler.broadcastReconnectNotification();
            sockets.clients.forEach(client => client.terminate());
            sockets.close();
        },
    };
}
