import type http from "node:http";
import type { Socket } from "node:net";
import type { AnyTRPCRouter } from "@trpc/server";
import { applyWSSHandler } from "@trpc/server/adapters/ws";
import { type WebSocket, WebSocketServer } from "ws";
import { isEqualInConstantTime } from "../utils/digest.js";

/** Server of control calls, on the upgrade path of an HTTP server. */
export interface ControlServer {
    close(): void;
}

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
const PING_MS = 5_000;
const PONG_WAIT_MS = 2_000;
/** Bytes that a client may send before it has named an accepted key: the upgrade, the key and a first call. */
const MAX_STRANGER_BYTES = 65_536;
/** Clients without an accepted key; one round trip names it. */
const MAX_STRANGERS = 128;
const STRANGER_CHECK_MS = 100;

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
    const strangers = createStrangerWatch();
    sockets.on("connection", (client, request) => strangers.addClient(client, request.socket));
    const handler = applyWSSHandler({
        wss: sockets as never,
        router,
        createContext({ info, res }) {
            const processKey = info.connectionParams?.key ?? "";
            if (acceptedKeys.some(key => isEqualInConstantTime(key, processKey))) {
                strangers.removeClient(res);
            }
            return { processKey, acceptedKeys };
        },
        keepAlive: { enabled: true, pingMs: PING_MS, pongWaitMs: PONG_WAIT_MS },
    });
    sockets.on("error", () => undefined);
    return {
        close() {
            strangers.close();
            handler.broadcastReconnectNotification();
            sockets.clients.forEach(client => client.terminate());
            sockets.close();
        },
    };
}

/** Clients that have not named an accepted key; a message of theirs could be as long as one between processes. */
interface StrangerWatch {
    addClient(client: WebSocket, socket: Socket): void;
    removeClient(client: WebSocket): void;
    close(): void;
}

function createStrangerWatch(): StrangerWatch {
    const strangers = new Map<WebSocket, Socket>();
    const timer = setInterval(checkBytes, STRANGER_CHECK_MS).unref();
    return {
        addClient(client, socket) {
            strangers.set(client, socket);
            client.once("close", () => strangers.delete(client));
            const [oldest] = strangers.keys();
            if (strangers.size > MAX_STRANGERS) {
                oldest?.terminate();
            }
        },
        removeClient: client => strangers.delete(client),
        close: () => clearInterval(timer),
    };

    function checkBytes(): void {
        for (const [client, socket] of strangers) {
            if (socket.bytesRead > MAX_STRANGER_BYTES) {
                client.terminate();
            }
        }
    }
}
