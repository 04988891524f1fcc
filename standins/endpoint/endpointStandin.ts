import http from "node:http";
import type { Socket } from "node:net";
import { listenOn, readWholeBody } from "../../src/utils/http.js";

/** A request as the endpoint saw it. */
export interface SeenRequest {
    method: string;
    path: string;
    headers: http.IncomingHttpHeaders;
    body: string;
}

/** Plays one request: gets the connection itself, to answer in any way, well-formed or not. */
export type EndpointScript = (seen: SeenRequest, socket: Socket, response: http.ServerResponse) => void;

/** An endpoint that answers by a script. */
export interface EndpointStandin {
    port: number;
    seen: SeenRequest[];
    setScript(script: EndpointScript): void;
    close(): Promise<void>;
}

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/**
 * Starts an endpoint on loopback.
 * @param script - Plays each request.
 */
export async function startEndpointStandin(script: EndpointScript): Promise<EndpointStandin> {
    const seen: SeenRequest[] = [];
    let current = script;
    const server = http.createServer((request, response) => {
        readWholeBody(request, MAX_BODY_BYTES).then(
            body => {
                const { method = "", url: path = "", headers } = request;
                const one = { method, path, headers, body: body.toString("utf8") };
                seen.push(one);
                current(one, request.socket, response);
            },
            () => request.socket.destroy(),
        );
    });
    const port = await listenOn(server, 0, "127.0.0.1");
    return {
        port,
        seen,
        setScript(next) {
            current = next;
        },
        close() {
            server.closeAllConnections();
            return new Promise(resolve => server.close(() => resolve()));
        },
    };
}
