import http from "node:http";
import net from "node:net";
import t from "tap";
import { WIRE_HEADERS } from "../../../platform/wireNames.js";
import { type DirectExchange, createDirectExchange } from "../../../src/direct/DirectExchange.js";
import { openEndpointCall } from "../../../src/direct/EndpointCall.js";
import type { EndpointRecord } from "../../../src/direct/EndpointRecord.js";
import type { RouteIndex } from "../../../src/direct/RouteIndex.js";
import { RelayResult } from "../../../src/direct/relay/ResponseRelay.js";
import { type StreamListener, createStreamRelay } from "../../../src/direct/relay/StreamRelay.js";
import { listenOn } from "../../../src/utils/http.js";
import { waitFor } from "../../../src/utils/time.js";
import type { OwningTest } from "../../fixtures.js";

const ADDRESS = "127.0.0.1";
/** Bytes that no caller's connection takes without being read. */
const CLOGGING_BYTES = 16 * 1024 * 1024;
const EVENT_GAP_MS = 20;
const SETTLE_MS = 150;
const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];

const IGNORE_EVENTS: StreamListener = { onPause: () => undefined, onFirstEvent: () => undefined };

/** Starts an endpoint that sends events one after the other in chunks, and leaves the connection open. */
async function startEndpoint(t: OwningTest, hasEnd: boolean): Promise<{ port: number; sockets: Set<net.Socket> }> {
    const sockets = new Set<net.Socket>();
    const server = net.createServer(socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => undefined);
        socket.once("data", () => void sendEvents(socket));
    });
    await new Promise<void>(resolve => server.listen(0, ADDRESS, resolve));
    t.teardown(async () => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return { port: (server.address() as net.AddressInfo).port, sockets };

    async function sendEvents(socket: net.Socket): Promise<void> {
        socket.write("HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nServer-Stamp: s-1\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (const event of EVENTS) {
            await waitFor(EVENT_GAP_MS);
            socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
        }
        if (hasEnd) {
            socket.write("0\r\n\r\n");
        }
    }
}

interface RelayedStream {
    exchange: DirectExchange;
    /** Response of the endpoint, once its head has arrived. */
    getMessage: () => http.IncomingMessage | undefined;
    result: Promise<RelayResult>;
}

/** Relays the stream of an endpoint to one caller. */
async function startRelaying(
    t: OwningTest,
    endpointPort: number,
    options: { listener?: StreamListener; cloggingBytes?: number },
): Promise<{ caller: http.IncomingMessage; stream: RelayedStream }> {
    let onStream: (stream: RelayedStream) => void = () => undefined;
    let message: http.IncomingMessage | undefined;
    const streaming = new Promise<RelayedStream>(resolve => (onStream = resolve));
    const server = http.createServer((request, response) => {
        const index = {} as RouteIndex;
        const exchange = createDirectExchange({ request, response, index, id: "a-1", callerTimeoutMs: 5_000 });
        response.writeHead(200);
        response.write(Buffer.alloc(options.cloggingBytes ?? 1));
        onStream({ exchange, getMessage: () => message, result: relayStream(exchange) });
    });
    const port = await listenOn(server, 0, ADDRESS);
    const agent = new http.Agent();
    t.teardown(async () => {
        agent.destroy();
        server.closeAllConnections();
        server.close();
    });
    const caller = await new Promise<http.IncomingMessage>((resolve, reject) =>
        http.get({ host: ADDRESS, port, agent }, resolve).on("error", reject),
    );
    caller.on("error", () => undefined);
    return { caller, stream: await streaming };

    async function relayStream(exchange: DirectExchange): Promise<RelayResult> {
        const endpoint = { host: ADDRESS, port: endpointPort } as EndpointRecord;
        const request = { endpoint, method: "GET", path: "/", headers: {}, body: Buffer.alloc(0), attemptId: "a-1" };
        const call = await openEndpointCall(request, WIRE_HEADERS, exchange.abortController.signal);
        if ("failed" in call) {
            throw new Error(call.failed.detail);
        }
        ({ message } = call.response);
        const relay = createStreamRelay(exchange, WIRE_HEADERS.lastEvent, options.listener ?? IGNORE_EVENTS);
        const result = await relay.relayResponse(call.response, true);
        if (result !== RelayResult.Complete) {
            exchange.response.destroy();
        }
        return result;
    }
}

async function readAll(caller: http.IncomingMessage): Promise<{ body: string; isWhole: boolean }> {
    let body = "";
    caller.setEncoding("latin1");
    caller.on("data", (chunk: string) => (body = (body + chunk).slice(-EVENTS.join("").length)));
    await new Promise(resolve => caller.on("close", resolve));
    return { body, isWhole: caller.complete };
}

t.test("a stream that has arrived completely but is unread at the deadline is not cut", async t => {
    const endpoint = await startEndpoint(t, true);
    const { caller, stream } = await startRelaying(t, endpoint.port, { cloggingBytes: CLOGGING_BYTES });
    while (stream.getMessage()?.complete !== true) {
        await waitFor(EVENT_GAP_MS);
    }
    stream.exchange.abortController.abort();
    await waitFor(SETTLE_MS);
    const { body, isWhole } = await readAll(caller);
    t.equal(await stream.result, RelayResult.Complete);
    t.ok(isWhole);
    t.equal(body, EVENTS.join(""));
});

t.test("a stream that has not arrived completely is cut at the deadline", async t => {
    const endpoint = await startEndpoint(t, false);
    const { caller, stream } = await startRelaying(t, endpoint.port, { cloggingBytes: CLOGGING_BYTES });
    await waitFor(SETTLE_MS);
    stream.exchange.abortController.abort();
    t.equal(await stream.result, RelayResult.Incomplete);
    t.notOk((await readAll(caller)).isWhole);
    t.equal(endpoint.sockets.size, 0, "the connection to the endpoint is closed");
});

t.test("an exception while a stream is relayed ends the relay and its connection to the endpoint", async t => {
    const endpoint = await startEndpoint(t, false);
    const { stream } = await startRelaying(t, endpoint.port, {
        listener: {
            ...IGNORE_EVENTS,
            onFirstEvent() {
                throw new Error("unexpected");
            },
        },
    });
    await t.rejects(stream.result, /unexpected/);
    await waitFor(EVENT_GAP_MS);
    t.equal(endpoint.sockets.size, 0, "the connection to the endpoint is closed");
});
