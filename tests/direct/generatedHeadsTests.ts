import * as fc from "fast-check";
import t from "tap";
import { waitFor } from "../../src/utils/time.js";
import type { EndpointScript } from "../../standins/endpoint/endpointStandin.js";
import { startDirectSystem } from "./fixtures.js";
import { type RawAnswer, callRaw } from "./rawCaller.js";

/** Timeout of the routes, in milliseconds; requests whose endpoint keeps its connection open last as long. */
const TIMEOUT_MS = 400;
/** Time after the timeout by which a caller has its final answer, in milliseconds: rule CONFIG of the users' pages. */
const LATE_MS = 500;
const WAIT_MS = TIMEOUT_MS + 2 * LATE_MS;
const APPLY_MS = 200;
const HEADS_PER_RUN = 5;
const RUNS = 80;
/** Seed of the heads; another one can be given by hand, as in `HEADS_SEED=2 npx tap dist/tests/direct/generatedHeadsTests.js`. */
const SEED = Number(process.env.HEADS_SEED ?? 1);
const EVENT = "id: 1\ndata: a\n\n";
const CHUNKED_EVENT = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n0\r\n\r\n`;
const PROMISES = new Set([408, 421, 429, 503]);
const calls = [
    { kind: "safe", method: "GET", path: "/stock/1" },
    { kind: "unsafe", method: "POST", path: "/book/1" },
    { kind: "streamed", method: "POST", path: "/advice/1" },
];

/** What an endpoint sends in place of a sound response; `ATTEMPT` stands for the attempt's identifier. */
interface SpoiledResponse {
    bytes: string;
    /** It states that it did not run the request. */
    isNotRun: boolean;
    end: "end" | "open" | "reset";
}

const statusLines = fc.constantFrom(
    ...["200 OK", "200", "204 No Content", "304 Not Modified", "500 Failed", "503 Busy", "429 Busy", "101 Switch"],
    ...[
        "000 OK",
        "007 OK",
        "099 OK",
        "100 Continue",
        "199 OK",
        "600 OK",
        "999 OK",
        "1000 OK",
        "20 OK",
        "-20 OK",
        "2oo OK",
    ],
);
const versions = fc.constantFrom("HTTP/1.1 ", "HTTP/1.1 ", "HTTP/1.1 ", "HTTP/1.0 ", "HTTP/2.0 ", "ICY ", "");
const names = fc.constantFrom("X-Other", "Conte t-Type", "", "X-Other ", " X-Other", "X:Other", "__proto__", "Trailer");
const values = fc.constantFrom("a", "", "\u00ff", "a\tb", "a\u0001b", "a\u0000b", "a\r b", "x".repeat(20_000));
const otherHeaders = fc.oneof(
    fc.tuple(names, values).map(([name, value]) => `${name}: ${value}`),
    fc.constantFrom(
        ...["Attempt-Id: ATTEMPT", "Attempt-Id: other", "Server-Stamp: s-2", "Content-Encoding: gzip"],
        ...["Connection: upgrade\r\nUpgrade: websocket", "Upgrade: websocket", "Connection: close", "Keep-Alive: 5"],
        ...["Content-Length: 0", "Content-Length: 99", "Content-Length: -1", "Content-Length: 1\r\nContent-Length: 2"],
        ...[
            "Transfer-Encoding: gzip",
            "Transfer-Encoding: chunked\r\nContent-Length: 3",
            "no colon",
            "Not-Executed: 1",
        ],
    ),
);
const interims = fc.constantFrom(
    ...["100 Continue", "102 Processing", "103 Early Hints\r\nLink: a", "101 Switch", "199 Other", "150 Bad Na"],
);
const responses: fc.Arbitrary<SpoiledResponse> = fc
    .record({
        interim: fc.array(interims, { maxLength: 2 }),
        version: versions,
        status: statusLines,
        hasAttempt: fc.boolean(),
        hasSignature: fc.boolean(),
        framing: fc.constantFrom(`Content-Length: ${EVENT.length}`, "Transfer-Encoding: chunked", undefined),
        other: fc.array(otherHeaders, { maxLength: 2 }),
        changedByte: fc.option(fc.tuple(fc.nat(200), fc.nat(255)), { nil: undefined }),
        end: fc.constantFrom("end" as const, "open" as const, "reset" as const),
    })
    .map(({ interim, version, status, hasAttempt, hasSignature, framing, other, changedByte, end }) => {
        const lines = [
            ...(hasAttempt ? ["Attempt-Id: ATTEMPT"] : []),
            ...(hasSignature ? ["Server-Stamp: s-ATTEMPT"] : []),
            ...(framing === undefined ? [] : [framing]),
            ...other,
        ];
        const body = framing?.startsWith("Transfer") === true ? CHUNKED_EVENT : EVENT;
        const head = [...interim.map(line => `HTTP/1.1 ${line}\r\n\r\n`), `${version}${status}\r\n`].join("");
        const bytes = `${head}${lines.join("\r\n")}\r\n\r\n${body}`;
        const isNotRun = other.includes("Not-Executed: 1") || status.startsWith("421");
        return { bytes: changedByte === undefined ? bytes : changeByte(bytes, ...changedByte), isNotRun, end };
    });

function changeByte(bytes: string, index: number, value: number): string {
    return bytes.slice(0, index) + String.fromCharCode(value) + bytes.slice(index + 1);
}

/** Describes what is wrong with the answer to one request; nothing if all promises hold. */
function checkAnswer(answer: RawAnswer, kind: string, sent: SpoiledResponse, sends: number): string[] {
    const { status, head, interim, isWhole, isClosed, rest, lastedMs } = answer;
    const isCutStream = kind === "streamed" && isClosed && status !== undefined;
    const isPromise = status !== undefined && PROMISES.has(status) && !/^server-stamp:/im.test(head);
    const isSuccess = status !== undefined && status >= 200 && status <= 299;
    const findings = {
        "no final answer": !isWhole && !isCutStream,
        [`late, after ${Math.round(lastedMs)} ms`]: lastedMs > TIMEOUT_MS + LATE_MS,
        [`status ${String(status)}`]: status !== undefined && (status < 200 || status > 599),
        "interim answers": interim.length > 0,
        "bytes after the answer": rest !== "",
        "a success without a signature": isSuccess && !/^server-stamp:/im.test(head),
        "a false promise that it did not run": isPromise && sends > 0 && !sent.isNotRun,
        [`sent ${sends} times`]: kind === "unsafe" && sends > 1 && !sent.isNotRun,
    };
    return Object.entries(findings)
        .filter(([, isBroken]) => isBroken)
        .map(([finding]) => `${kind}: ${finding}`);
}

t.test("whatever head an endpoint sends, each caller gets one final answer in time", { timeout: 90_000 }, async t => {
    const system = await startDirectSystem(t);
    await system.writeDocument(2, document => document.routes.forEach(route => (route.timeout_ms = TIMEOUT_MS)));
    await waitFor(APPLY_MS);
    const planned = new Map<string, SpoiledResponse>();
    const sends = new Map<string, number>();
    let requests = 0;
    const script: EndpointScript = (seen, socket) => {
        const attempt = String(seen.headers["attempt-id"]);
        const { bytes, end } = planned.get(attempt) ?? { bytes: "", end: "reset" };
        sends.set(attempt, (sends.get(attempt) ?? 0) + 1);
        socket.on("error", () => undefined);
        socket.write(bytes.replaceAll("ATTEMPT", attempt), "latin1", () => {
            if (end === "end") {
                socket.end();
            } else if (end === "reset") {
                socket.resetAndDestroy();
            }
        });
    };
    system.endpoints.forEach(endpoint => endpoint.setScript(script));
    await fc.assert(
        fc.asyncProperty(fc.array(responses, { minLength: HEADS_PER_RUN, maxLength: HEADS_PER_RUN }), async heads => {
            const findings = await Promise.all(
                heads.flatMap(head =>
                    calls.map(async ({ kind, method, path }) => {
                        const attempt = `a-${requests++}`;
                        planned.set(attempt, head);
                        const answer = await callRaw(system, { method, path, attempt, waitMs: WAIT_MS });
                        return checkAnswer(answer, kind, head, sends.get(attempt) ?? 0).map(
                            finding => `${finding}; the endpoint had sent ${JSON.stringify(head)}`,
                        );
                    }),
                ),
            );
            t.strictSame(findings.flat(), []);
            return findings.flat().length === 0;
        }),
        { numRuns: RUNS, seed: SEED, endOnFailure: true },
    );
    t.ok(sends.size > requests / 2, `${sends.size} of ${requests} requests reached an endpoint`);
    system.endpoints.forEach(endpoint =>
        endpoint.setScript((seen, socket, response) =>
            response.writeHead(200, { "attempt-id": seen.headers["attempt-id"], "server-stamp": "s-1" }).end(EVENT),
        ),
    );
    for (const { kind, method, path } of calls) {
        const answer = await callRaw(system, { method, path, attempt: `a-sound-${kind}`, waitMs: WAIT_MS });
        t.match(answer, { status: 200, body: EVENT, isWhole: true }, `a sound ${kind} request afterwards`);
    }
    await system.router.stop();
    t.match(
        system.lines.find(line => line.includes('"ProcessStopped"')),
        /"concurrent":0/,
        "no request counts as in progress",
    );
});
