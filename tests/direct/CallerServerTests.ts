import http from "node:http";
import t from "tap";
import { WIRE_HEADERS } from "../../platform/wireNames.js";
import { type CallerServerOptions, createCallerServer } from "../../src/direct/CallerServer.js";
import type { RouteIndex } from "../../src/direct/RouteIndex.js";
import { listenOn } from "../../src/utils/http.js";
import { waitFor } from "../../src/utils/time.js";
import type { OwningTest } from "../fixtures.js";

const ADDRESS = "127.0.0.1";
const SETTLE_MS = 50;

/** Serves one request, and returns what the caller saw and how many requests count as in progress afterwards. */
async function callServer(
    t: OwningTest,
    options: Pick<CallerServerOptions, "filters" | "onSettled">,
): Promise<{ status: number | undefined; isWhole: boolean; active: number; errors: unknown[] }> {
    const errors: unknown[] = [];
    const callers = createCallerServer({
        ...options,
        names: WIRE_HEADERS,
        getIndex: () => ({}) as RouteIndex,
        onError: error => errors.push(error),
    });
    const port = await listenOn(callers.server, 0, ADDRESS);
    t.teardown(async () => {
        callers.server.closeAllConnections();
        callers.server.close();
    });
    const seen = await new Promise<{ status: number | undefined; isWhole: boolean }>(resolve => {
        const request = http.get({ host: ADDRESS, port, agent: false }, response => {
            response.resume();
            response.on("error", () => undefined);
            response.on("close", () => resolve({ status: response.statusCode, isWhole: response.complete }));
        });
        request.on("error", () => resolve({ status: undefined, isWhole: false }));
    });
    await waitFor(SETTLE_MS);
    return { ...seen, active: callers.countActiveRequests(), errors };
}

const sendAnswer: CallerServerOptions["filters"][number] = ({ response }) => {
    response.end("done");
    return undefined;
};

t.test("a request whose account throws does not count as in progress for good", async t => {
    const seen = await callServer(t, {
        filters: [sendAnswer],
        onSettled() {
            throw new Error("no account");
        },
    });
    t.match(seen, { status: 200, isWhole: true, active: 0, errors: [/no account/] });
});

t.test("a filter that throws leaves no caller without an answer", async t => {
    const fail = (): never => {
        throw new Error("unexpected");
    };
    const seen = await callServer(t, { filters: [fail], onSettled: () => undefined });
    t.match(seen, { status: 500, isWhole: true, active: 0, errors: [/unexpected/] });
});

t.test("a filter that throws after the head was sent cuts the answer", async t => {
    const seen = await callServer(t, {
        filters: [
            ({ response }) => {
                response.writeHead(200);
                response.write("half");
                throw new Error("unexpected");
            },
        ],
        onSettled: () => undefined,
    });
    t.match(seen, { status: 200, isWhole: false, active: 0 });
});
