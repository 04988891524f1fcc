// Small replicas: a plain one, and one of an engine whose streams can be spoiled from a moment on.
import { Buffer } from "node:buffer";
import http from "node:http";
import { clearInterval, setInterval, setTimeout } from "node:timers";

const EVENT_MS = 100;

/**
 * Starts a replica that answers after `workMs` with its name; `runs` lists what it has run. After `leave`, its answers say that it
 * leaves.
 */
export async function startPlainReplica(address, name, { workMs, body = name }) {
    const runs = [];
    const sockets = new Set();
    let isLeaving = false;
    const server = http.createServer((request, response) => {
        const id = request.headers["attempt-id"];
        const run = { id, startedAt: Date.now(), path: request.url, isCut: false, isDone: false };
        request.resume();
        request.on("end", () => {
            runs.push(run);
            setTimeout(() => {
                if (response.destroyed) {
                    return;
                }
                run.isDone = true;
                const leaving = isLeaving ? { "server-leaving": "1" } : {};
                response.writeHead(200, { "attempt-id": id, "server-stamp": `${name}.${id}`, ...leaving }).end(body);
            }, workMs);
        });
        response.on("error", () => undefined);
        response.on("close", () => (run.isCut = !response.writableFinished));
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise(resolve => server.listen(0, address, resolve));
    return {
        name,
        runs,
        leave: () => (isLeaving = true),
        address: `${address}:${server.address().port}`,
        close() {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}

/**
 * Starts a replica whose answers are streams of `events` events, one each 100 ms. Once `spoil` is called, all its streams, running
 * and new ones, get nothing but chunks of one byte that form no event, without end, until the caller closes.
 */
export async function startStreamReplica(address, name, { events, chunksPerSecond }) {
    const streams = new Set();
    let isSpoiled = false;
    const garbage = Buffer.from("1\r\nx\r\n".repeat(Math.round(chunksPerSecond / 40)));
    const server = http.createServer((request, response) => {
        request.resume();
        const id = request.headers["attempt-id"];
        const first = Number(request.headers["last-event-id"] ?? "0") + 1;
        request.on("end", () => {
            const headers = { "attempt-id": id, "server-stamp": `${name}.${id}`, "content-type": "text/event-stream" };
            response.writeHead(200, headers);
            response.flushHeaders();
            playStream(response, first);
        });
        response.on("error", () => undefined);
    });
    await new Promise(resolve => server.listen(0, address, resolve));
    return {
        name,
        address: `${address}:${server.address().port}`,
        spoil: () => (isSpoiled = true),
        countStreams: () => streams.size,
        close() {
            server.close();
            server.closeAllConnections();
        },
    };

    function playStream(response, first) {
        streams.add(response);
        let next = first;
        let elapsedMs = 0;
        const timer = setInterval(() => {
            if (isSpoiled) {
                if (!response.socket?.writableNeedDrain) {
                    response.socket?.write(garbage);
                }
                return;
            }
            elapsedMs += 25;
            if (elapsedMs % EVENT_MS !== 0) {
                return;
            }
            response.write(`id: ${next}\ndata: piece ${next}\n\n`);
            next++;
            if (next > events) {
                clearInterval(timer);
                response.end();
            }
        }, 25);
        response.on("close", () => {
            clearInterval(timer);
            streams.delete(response);
        });
    }
}
