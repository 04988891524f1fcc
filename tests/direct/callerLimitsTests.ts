import { once } from "node:events";
import type http from "node:http";
import net from "node:net";
import t, { type Test } from "tap";
import type { EndpointScript } from "../../standins/endpoint/endpointStandin.js";
import { waitFor } from "../../src/utils/time.js";
import { type CrowdOptions, buildChunk, buildHead, openCrowd } from "./callerCrowd.js";
import { callRouter } from "./fixtures.js";
import { type RouterPorts, type RouterProcess, startRouterProcess } from "./routerProcess.js";

/**
 * Guards against the failure in which callers outside the operator's control made a router run out of memory or
 * descriptors, or kept it from answering anybody else. The tests check neither times nor shares of served requests. The
 * bounds are the resources of the host as the settings name them.
 */
const MEMORY_MB = 250;
const MAX_FDS = 600;
const BODY_BYTES = 4_194_304;
const CALLERS = 64;
/** Number of bytes before the end of a body at which callers stop. */
const SHORT_BYTES = 70_000;
const BIG_CHUNK_BYTES = 65_536;
/** Within the limit on a body; sent in full only to a router that reads all of it. */
const SMALL_CHUNKS = 4_000_000;
/** Chunks of one byte that are sent as one piece. */
const SMALL_CHUNKS_A_PIECE = 10_000;
const ANSWER_BYTES = 1_000_000;
const STATUS_OK = 200;
/** Attempts of the ordinary request, as a refusal is allowed, and the time between them in milliseconds. */
const ORDINARY_TRIES = 8;
const ORDINARY_RETRY_MS = 1_000;
/** Time allowed for one attempt, in milliseconds; it only keeps the test from waiting forever. */
const ORDINARY_TIMEOUT_MS = 10_000;
const FLOOD_EVENT_BYTES = 16_000;
/** Time after which slow requests are answered, in milliseconds: all of them are in progress at the same time by then. */
const SLOW_ANSWER_MS = 5_000;

const EVERY_BODY = ["Content-Type: application/octet-stream"];
const CHUNKED = [...EVERY_BODY, "Transfer-Encoding: chunked"];
const SHORT_CHUNKS = Math.floor((BODY_BYTES - SHORT_BYTES) / BIG_CHUNK_BYTES);

const script: EndpointScript = (seen, socket, response) => {
    const head = { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" };
    if (seen.path.endsWith("/held")) {
        return;
    }
    if (seen.path.endsWith("/flood")) {
        response.writeHead(STATUS_OK, { ...head, "content-type": "text/event-stream" });
        sendEvents(response, 1);
        return;
    }
    if (seen.path.endsWith("/slow")) {
        setTimeout(() => response.writeHead(STATUS_OK, { ...head, "content-length": 0 }).end(), SLOW_ANSWER_MS);
        return;
    }
    const body = seen.path.endsWith("/big") ? "x".repeat(ANSWER_BYTES) : `${seen.body.length} bytes`;
    response.writeHead(STATUS_OK, { ...head, "content-length": body.length }).end(body);
};

/** Sends events for as long as they are read. */
function sendEvents(response: http.ServerResponse, firstId: number): void {
    let id = firstId;
    while (!response.destroyed && response.write(`id: ${id}\ndata: ${"x".repeat(FLOOD_EVENT_BYTES)}\n\n`)) {
        id++;
    }
    response.once("drain", () => setImmediate(sendEvents, response, id + 1));
}

interface CrowdCase {
    name: string;
    crowds: Omit<CrowdOptions, "address" | "port">[];
    /** Ports that the crowd connects to; that for callers if absent. */
    ports?: (keyof RouterPorts)[];
}

const CALLER_PORTS: (keyof RouterPorts)[] = ["callers"];

const chunked64k = { piece: buildChunk(BIG_CHUNK_BYTES), count: CALLERS };
const tinyChunks = { piece: Buffer.concat(Array<Buffer>(SMALL_CHUNKS_A_PIECE).fill(buildChunk(1))), count: CALLERS };
const plain64k = { piece: Buffer.alloc(BIG_CHUNK_BYTES, "x"), count: CALLERS };
const eightfold = (8 * BODY_BYTES) / BIG_CHUNK_BYTES;
const heldGet = buildHead({ method: "GET", path: "/stock/held" });
const heldPost = `${buildHead({ path: "/book/held", lines: ["Content-Length: 100000"] })}${"x".repeat(100_000)}`;

const cases: readonly CrowdCase[] = [
    {
        name: "bodies announced as eight times the limit and sent all the same",
        crowds: [
            {
                ...plain64k,
                head: buildHead({ lines: [`Content-Length: ${8 * BODY_BYTES}`] }),
                pieceCount: eightfold,
            },
        ],
    },
    {
        name: "chunked bodies of eight times the limit",
        crowds: [{ ...chunked64k, head: buildHead({ lines: CHUNKED }), pieceCount: eightfold }],
    },
    {
        name: "chunked bodies in large chunks that stop short of the limit and stay open",
        crowds: [{ ...chunked64k, head: buildHead({ lines: CHUNKED }), pieceCount: SHORT_CHUNKS }],
    },
    {
        name: "announced bodies at the limit that stop short of their end and stay open",
        crowds: [
            {
                ...plain64k,
                head: buildHead({ lines: [`Content-Length: ${BODY_BYTES}`] }),
                pieceCount: SHORT_CHUNKS,
            },
        ],
    },
    {
        name: "chunked bodies with one byte a chunk",
        crowds: [
            {
                ...tinyChunks,
                head: buildHead({ lines: CHUNKED }),
                pieceCount: SMALL_CHUNKS / SMALL_CHUNKS_A_PIECE,
            },
        ],
    },
    {
        name: "chunked bodies for unknown routes and keys",
        crowds: [
            { ...chunked64k, head: buildHead({ path: "/other", lines: CHUNKED }), pieceCount: eightfold },
            {
                ...tinyChunks,
                head: buildHead({ lines: CHUNKED }).replace(/X-Api-Key: \S+/, "X-Api-Key: other"),
                pieceCount: 10,
            },
        ],
    },
    {
        name: "heads that stay open",
        crowds: [{ count: 200, head: `${buildHead({ lines: [`X-Long: ${"x".repeat(15_000)}`] }).trimEnd()}\r\n` }],
    },
    {
        name: "pipelined requests without a body behind one that is held",
        crowds: [{ count: CALLERS, head: heldGet, piece: Buffer.from(heldGet.repeat(50)), pieceCount: 40 }],
    },
    {
        name: "pipelined requests with bodies behind one that is held",
        crowds: [{ count: CALLERS, head: heldPost, piece: Buffer.from(heldPost), pieceCount: 40 }],
    },
    {
        name: "connections that send nothing, or one request and nothing more",
        crowds: [
            { count: 500, head: "" },
            { count: 300, head: buildHead({ method: "GET", path: "/stock/1" }) },
        ],
    },
    {
        name: "more requests at once than descriptors",
        crowds: [{ count: 500, head: buildHead({ method: "GET", path: "/stock/slow" }) }],
    },
    {
        name: "answers that are not read",
        crowds: [
            {
                count: 200,
                isDeaf: true,
                head: "",
                piece: Buffer.from(buildHead({ method: "GET", path: "/stock/big" })),
                pieceCount: 8,
            },
        ],
    },
    {
        name: "streams that are not read",
        crowds: [{ count: CALLERS, isDeaf: true, head: buildHead({ method: "GET", path: "/advice/flood" }) }],
    },
    {
        name: "bodies and open heads at the ports for readiness, control and metrics",
        ports: ["readiness", "control", "metrics"],
        crowds: [
            { ...chunked64k, count: 20, head: buildHead({ path: "/readyz", lines: CHUNKED }), pieceCount: eightfold },
            { ...tinyChunks, count: 20, head: buildHead({ path: "/metrics", lines: CHUNKED }), pieceCount: 10 },
            { count: 100, head: `${buildHead({ lines: [`X-Long: ${"x".repeat(15_000)}`] }).trimEnd()}\r\n` },
        ],
    },
];

/** Time for all tests of this file, which run one after the other, in milliseconds. */
const FILE_TIMEOUT_MS = 600_000;
t.setTimeout(FILE_TIMEOUT_MS);

for (const { name, crowds, ports = CALLER_PORTS } of cases) {
    t.test(`a router outlives ${name}`, async t => {
        const router = await startRouterProcess(t, {
            memoryMb: MEMORY_MB,
            maxFds: MAX_FDS,
            bodyBytes: BODY_BYTES,
            script,
        });
        const { address } = router;
        const opened = ports.flatMap(port =>
            crowds.map(crowd => openCrowd(t, { ...crowd, address, port: router.ports[port] })),
        );
        await Promise.all(opened.map(crowd => crowd.waitUntilStill()));
        const status = await callOrdinary(router);
        checkRouter(t, router);
        t.equal(status, STATUS_OK, "an ordinary request is answered beside them");
    });
}

t.test("a single body with one byte a chunk is served, as the limits name no size of chunks", async t => {
    const router = await startRouterProcess(t, {
        memoryMb: MEMORY_MB,
        maxFds: MAX_FDS,
        bodyBytes: BODY_BYTES,
        script,
    });
    const bytes = 200_000;
    const chunks = Buffer.concat([...Array<Buffer>(bytes).fill(buildChunk(1)), Buffer.from("0\r\n\r\n")]);
    const socket = net.connect(router.ports.callers, router.address);
    let answer = "";
    socket.setEncoding("latin1").on("data", (text: string) => (answer += text));
    socket.write(buildHead({ lines: [...CHUNKED, "Connection: close"] }));
    socket.write(chunks);
    await once(socket, "close");
    t.match(answer, /^HTTP\/1\.1 200 /);
    t.match(answer, `${bytes} bytes`);
});

t.test("a single request with the largest body is served", async t => {
    const router = await startRouterProcess(t, {
        memoryMb: MEMORY_MB,
        maxFds: MAX_FDS,
        bodyBytes: BODY_BYTES,
        script,
    });
    const body = "x".repeat(BODY_BYTES);
    const announced = await callRouter(router, {
        method: "POST",
        path: "/book/1",
        body,
        headers: { "deadline-ms": String(ORDINARY_TIMEOUT_MS) },
    });
    t.match(announced, { status: STATUS_OK, body: `${BODY_BYTES} bytes` }, "with its length");
    const chunked = await callRouter(router, {
        method: "POST",
        path: "/book/1",
        body,
        headers: { "deadline-ms": String(ORDINARY_TIMEOUT_MS), "transfer-encoding": "chunked" },
    });
    t.match(chunked, { status: STATUS_OK, body: `${BODY_BYTES} bytes` }, "in chunks");
    checkRouter(t, router);
});

function checkRouter(t: Test, router: RouterProcess): void {
    const memoryMb = router.readPeakMemoryMb();
    t.ok(router.isRunning(), "the process lives");
    t.ok(memoryMb <= MEMORY_MB, `${memoryMb.toFixed(0)} MiB of ${MEMORY_MB} at the peak`);
    const descriptors = router.getPeakDescriptors();
    t.ok(descriptors <= MAX_FDS, `${descriptors} of ${MAX_FDS} descriptors at the peak`);
}

/** Sends a request as an ordinary caller does, which tries again when it is refused. */
async function callOrdinary(router: RouterProcess): Promise<number | undefined> {
    let status: number | undefined;
    for (let tries = 0; tries < ORDINARY_TRIES && status !== STATUS_OK; tries++) {
        await waitFor(tries === 0 ? 0 : ORDINARY_RETRY_MS);
        try {
            const answer = await callRouter(router, {
                path: "/stock/1",
                headers: { "deadline-ms": String(ORDINARY_TIMEOUT_MS) },
                signal: AbortSignal.timeout(ORDINARY_TIMEOUT_MS),
            });
            status = answer.isWhole ? answer.status : undefined;
        } catch {
            // A refused or lost connection is a try that failed; the last status tells the result.
            status = undefined;
        }
    }
    return status;
}
