import http from "node:http";
import { listenOn, readWholeBody, sendJson } from "../src/utils/http.js";

/** A small server that plays an outside system. */
export interface Standin {
    port: number;
    url: string;
    /** Ends the server and cuts its connections. */
    close(): Promise<void>;
}

/** Handles a request of a stand-in; the body is parsed from JSON where there is one. */
export type StandinHandler = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: unknown,
) => Promise<void> | void;

const MAX_BODY_BYTES = 16 * 1024 * 1024;
const STATUS_BAD_REQUEST = 400;
const STATUS_ERROR = 500;

/**
 * Starts a stand-in on loopback.
 * @param port - Port; 0 lets the system choose one.
 * @param handle - Handles each request.
 */
export async function startStandin(port: number, handle: StandinHandler): Promise<Standin> {
    const server = http.createServer((request, response) => {
        readWholeBody(request, MAX_BODY_BYTES).then(
            async body => {
                try {
                    await handle(request, response, parseBody(body));
                } catch (error) {
                    if (!response.headersSent) {
                        sendJson(response, STATUS_ERROR, { error: String(error) });
                    }
                }
            },
            () => sendJson(response, STATUS_BAD_REQUEST, { error: "the body could not be read" }),
        );
    });
    const bound = await listenOn(server, port, "127.0.0.1");
    return {
        port: bound,
        url: `http://127.0.0.1:${bound}`,
        close() {
            server.closeAllConnections();
            return new Promise(resolve => server.close(() => resolve()));
        },
    };
}

function parseBody(body: Buffer): unknown {
    if (body.length === 0) {
        return undefined;
    }
    try {
        return JSON.parse(body.toString("utf8"));
    } catch {
        return body.toString("utf8");
    }
}
