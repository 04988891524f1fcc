import net from "node:net";
import { readMonotonicMs } from "../../src/utils/time.js";
import { type DirectSystem, TEAM_KEY } from "./fixtures.js";

/** What a caller that reads the bytes itself received. */
export interface RawAnswer {
    /** Status lines of the interim answers (1xx). */
    interim: string[];
    /** Status of the final answer; undefined if none began. */
    status: number | undefined;
    head: string;
    body: string;
    /** The final answer came to its end by its own framing. */
    isWhole: boolean;
    /** Bytes after the end of the final answer. */
    rest: string;
    /** The router closed the connection. */
    isClosed: boolean;
    /** Time from the request to the end of the final answer or of the connection, in milliseconds. */
    lastedMs: number;
}

/** Options of a request. */
export interface RawRequest {
    method: string;
    path: string;
    attempt: string;
    deadlineMs?: number;
    /** Header to send as it is, well-formed or not. */
    headerLine?: string;
    /** Time that the caller waits, in milliseconds. */
    waitMs: number;
}

const HEAD_END = "\r\n\r\n";
/** Time in which bytes after the end would come, in milliseconds. */
const REST_WAIT_MS = 20;
const FIRST_FINAL_STATUS = 200;
const STATUS_SWITCHING = 101;
/** The head of a response that has no body, whatever its framing says. */
const BODYLESS_STATUS = /^HTTP\/1\.1 (204|304) /;

/**
 * Sends a request on a new connection and reads the answer's bytes, as Node.js's client hides some of them.
 * @param system - System with the router.
 * @param request - Request without a body.
 */
export function callRaw(system: DirectSystem, request: RawRequest): Promise<RawAnswer> {
    return new Promise(resolve => {
        const sentAt = readMonotonicMs();
        let bytes = "";
        let isClosed = false;
        let endedAt: number | undefined;
        const socket = net.connect(system.port, system.address);
        const timer = setTimeout(finish, request.waitMs);
        socket.setEncoding("latin1");
        socket.on("data", (chunk: string) => {
            bytes += chunk;
            if (endedAt === undefined && parseAnswer(bytes, false).isWhole) {
                endedAt = readMonotonicMs();
                setTimeout(finish, REST_WAIT_MS);
            }
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            isClosed = true;
            finish();
        });
        socket.write(
            [
                `${request.method} ${request.path} HTTP/1.1`,
                "Host: shop.example",
                `Attempt-Id: ${request.attempt}`,
                `X-Api-Key: ${TEAM_KEY}`,
                ...(request.deadlineMs === undefined ? [] : [`Deadline-Ms: ${String(request.deadlineMs)}`]),
                ...(request.headerLine === undefined ? [] : [request.headerLine]),
                ...(request.method === "POST" ? ["Content-Length: 0"] : []),
                HEAD_END.slice(2),
            ].join("\r\n"),
        );

        function finish(): void {
            clearTimeout(timer);
            socket.destroy();
            resolve({
                ...parseAnswer(bytes, isClosed),
                isClosed,
                lastedMs: (endedAt ?? readMonotonicMs()) - sentAt,
            });
        }
    });
}

function parseAnswer(bytes: string, isClosed: boolean): Omit<RawAnswer, "isClosed" | "lastedMs"> {
    const interim: string[] = [];
    let rest = bytes;
    for (;;) {
        const end = rest.indexOf(HEAD_END);
        if (end < 0) {
            return { interim, status: undefined, head: "", body: "", isWhole: false, rest };
        }
        const head = rest.slice(0, end);
        rest = rest.slice(end + HEAD_END.length);
        const status = Number(head.slice("HTTP/1.1 ".length, "HTTP/1.1 200".length));
        if (status < FIRST_FINAL_STATUS && status !== STATUS_SWITCHING) {
            interim.push(head.split("\r\n")[0] ?? "");
        } else {
            return { interim, status, head, ...parseBody(head, rest, isClosed) };
        }
    }
}

function parseBody(head: string, bytes: string, isClosed: boolean): Pick<RawAnswer, "body" | "isWhole" | "rest"> {
    if (BODYLESS_STATUS.test(head)) {
        return { body: "", isWhole: true, rest: bytes };
    }
    const length = /^content-length: (\d+)$/im.exec(head)?.[1];
    if (length !== undefined) {
        const body = bytes.slice(0, Number(length));
        return { body, isWhole: body.length === Number(length), rest: bytes.slice(Number(length)) };
    }
    if (!/^transfer-encoding: chunked$/im.test(head)) {
        return { body: bytes, isWhole: isClosed, rest: "" };
    }
    let body = "";
    let rest = bytes;
    for (;;) {
        const line = /^([0-9a-f]+)\r\n/.exec(rest) ?? undefined;
        const size = Number.parseInt(line?.[1] ?? "", 16);
        const start = line?.[0].length ?? 0;
        if (line === undefined || rest.length < start + size + 2) {
            return { body, isWhole: false, rest: "" };
        }
        body += rest.slice(start, start + size);
        rest = rest.slice(start + size + 2);
        if (size === 0) {
            return { body, isWhole: true, rest };
        }
    }
}
