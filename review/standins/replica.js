// A replica of a plain service or of a model, which answers each request after a short time.
import { Buffer } from "node:buffer";
import http from "node:http";
import { setTimeout as wait } from "node:timers/promises";

/**
 * Starts a replica on a loopback address.
 * @param options - Identifier, service and zone; `answer` may replace the sound answer of a request.
 */
export async function startReplica({ id, service, zone, workMs = 40, answer, onArrival = () => undefined }) {
    const runs = [];
    const bornAt = Date.now();
    const server = http.createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => undefined);
        request.on("end", () => void runRequest(request, response, Buffer.concat(chunks)));
    });
    server.on("clientError", (error, socket) => socket.destroy());
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${server.address().port}`;
    return {
        id,
        service,
        address,
        runs,
        buildEntry: (state = "ready") => ({
            service,
            address,
            zone,
            version: "1",
            slots: 6,
            state,
            cold_left_ms: 0,
            sequence: 1,
            born: bornAt,
        }),
        close() {
            server.closeAllConnections();
            server.close();
        },
    };

    async function runRequest(request, response, body) {
        const attempt = request.headers["attempt-id"];
        const arrivedAt = Date.now();
        onArrival({ replica: id, attempt, at: arrivedAt });
        if (request.headers["expect-instance"] !== id) {
            response.writeHead(421, { "not-executed": "1", "attempt-id": attempt, "content-length": 0 }).end();
            return;
        }
        const run = { replica: id, attempt, path: request.url, at: arrivedAt };
        runs.push(run);
        await wait(workMs);
        if (answer !== undefined && answer({ request, response, body, attempt, run })) {
            return;
        }
        sendSoundAnswer(request, response, attempt, id);
    }
}

/** Sends the answer of a sound replica: a stream for the routes of streams, else a body. */
export function sendSoundAnswer(request, response, attempt, id) {
    const headers = { "attempt-id": attempt, "server-stamp": `${id}.${attempt}` };
    if (request.url.startsWith("/stream/")) {
        response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
        for (let event = 1; event <= 3; event += 1) {
            response.write(`id: ${event}\ndata: ${attempt}\n\n`);
        }
        response.end();
        return;
    }
    const text = `answer to ${attempt}`;
    response.writeHead(200, { ...headers, "content-length": Buffer.byteLength(text) }).end(text);
}
