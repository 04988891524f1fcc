import http from "node:http";
import { urlToHttpOptions } from "node:url";
import { ErrorCode, createError } from "../errors/index.js";
import { type HttpAnswer, sendHttpCall } from "../utils/http.js";
import { openHttpCall } from "../utils/openHttpCall.js";
import { settleFromEvents } from "../utils/settleFromEvents.js";
import {
    type KeyValueEntry,
    KeyValueService,
    type Listing,
    type SwapAnswer,
    type SwapOptions,
    type WatchAnswer,
} from "./KeyValueService.js";
import { UNKNOWN_ERA } from "./StorePosition.js";

/** Options of the HTTP client of the key-value service. */
export interface HttpKeyValueOptions {
    url: string;
    /** Timeout of a call, in milliseconds. */
    timeoutMs?: number;
}

interface WireEntry {
    key: string;
    value?: string;
    mod_revision?: string;
}

interface WireRangeAnswer {
    header: { revision: string };
    kvs?: WireEntry[];
}

interface WireSwapAnswer {
    succeeded?: boolean;
    header: { revision: string };
    responses?: { response_range?: { kvs?: WireEntry[] } }[];
}

interface WireWatchAnswer {
    result: { header: { revision: string }; events?: { type?: string; kv: WireEntry }[] };
}

const DEFAULT_TIMEOUT_MS = 1_000;
const STATUS_OK = 200;
const STATUS_TOO_MANY = 429;
const MAX_SOCKETS = 16;

/**
 * Creates a client of the JSON gateway of the etcd v3 API.
 * @param options - Address and timeout.
 */
export function createHttpKeyValueService(options: HttpKeyValueOptions): KeyValueService {
    const agent = new http.Agent({ keepAlive: true, maxSockets: MAX_SOCKETS });
    const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;

    return new (class HttpKeyValueService extends KeyValueService {
        override async getEntry(key: string): Promise<KeyValueEntry | undefined> {
            const answer = await post<{ kvs?: WireEntry[] }>("/v3/kv/range", { key: encodeText(key) });
            const entry = answer.kvs?.[0];
            return entry && readEntry(entry);
        }

        override async listEntries(prefix: string): Promise<KeyValueEntry[]> {
            const answer = await post<{ kvs?: WireEntry[] }>("/v3/kv/range", encodeRange(prefix));
            return (answer.kvs ?? []).map(readEntry);
        }

        override async listSnapshot(prefix: string): Promise<Listing> {
            const answer = await post<WireRangeAnswer>("/v3/kv/range", encodeRange(prefix));
            const position = { era: UNKNOWN_ERA, revision: Number(answer.header.revision) };
            return { entries: (answer.kvs ?? []).map(readEntry), position };
        }

        override async swapEntry(swap: SwapOptions): Promise<SwapAnswer> {
            const answer = await post<WireSwapAnswer>("/v3/kv/txn", encodeSwap(swap));
            if (answer.succeeded === true) {
                const current = createWrittenEntry(swap, Number(answer.header.revision));
                return { applied: true, era: UNKNOWN_ERA, current };
            }
            const entry = answer.responses?.[0]?.response_range?.kvs?.[0];
            return { applied: false, era: UNKNOWN_ERA, current: entry && readEntry(entry) };
        }

        override async grantLease(ttlMs: number): Promise<string> {
            const seconds = Math.max(1, Math.ceil(ttlMs / 1_000));
            const answer = await post<{ ID: string }>("/v3/lease/grant", { TTL: String(seconds) });
            return answer.ID;
        }

        override async renewLease(leaseId: string): Promise<boolean> {
            const answer = await post<{ result: { TTL?: string } }>("/v3/lease/keepalive", { ID: leaseId });
            return Number(answer.result.TTL ?? "0") > 0;
        }

        override watchEntries(
            prefix: string,
            afterRevision: number,
            waitMs: number,
            signal?: AbortSignal,
        ): Promise<WatchAnswer> {
            const range = encodeRange(prefix);
            const body = JSON.stringify({ create_request: { ...range, start_revision: String(afterRevision + 1) } });
            return readFirstEvents(new URL("/v3/watch", options.url), body, { afterRevision, waitMs, signal });
        }
    })();

    async function post<T>(path: string, body: unknown): Promise<T> {
        const answer = await callPlatform(path, JSON.stringify(body));
        if (answer.status !== STATUS_OK) {
            const isWithoutEffect = answer.status === STATUS_TOO_MANY;
            throw createError({
                code: isWithoutEffect ? ErrorCode.PlatformUnavailable : ErrorCode.PlatformUncertain,
                expected: `an answer of the key-value service to ${path}`,
                got: `status ${answer.status}`,
            });
        }
        return JSON.parse(answer.body.toString("utf8")) as T;
    }

    async function callPlatform(path: string, body: string): Promise<HttpAnswer> {
        const headers = { "content-type": "application/json" };
        try {
            return await sendHttpCall({
                method: "POST",
                url: new URL(path, options.url),
                headers,
                body,
                timeoutMs,
                agent,
            });
        } catch (error) {
            const isNeverSent = (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
            throw createError({
                code: isNeverSent ? ErrorCode.PlatformUnavailable : ErrorCode.PlatformUncertain,
                expected: `an answer of the key-value service to ${path}`,
                got: error instanceof Error ? error.message : String(error),
                cause: error,
            });
        }
    }
}

interface WatchBounds {
    afterRevision: number;
    waitMs: number;
    signal: AbortSignal | undefined;
}

async function readFirstEvents(url: URL, body: string, bounds: WatchBounds): Promise<WatchAnswer> {
    const end = new AbortController();
    const endWait = (): void => end.abort();
    const timer = setTimeout(endWait, bounds.waitMs);
    bounds.signal?.addEventListener("abort", endWait, { once: true });
    const call = openHttpCall<WatchAnswer>({
        target: { ...urlToHttpOptions(url), method: "POST", headers: { "content-type": "application/json" } },
        body,
        signal: end.signal,
        readResponse: readEvents,
    });
    try {
        return await call.result;
    } catch (error) {
        if (end.signal.aborted) {
            return { position: { era: UNKNOWN_ERA, revision: bounds.afterRevision }, changed: [], deleted: [] };
        }
        const got = error instanceof Error ? error.message : String(error);
        const code = ErrorCode.PlatformUnavailable;
        throw createError({ code, expected: "events of a watch", got, cause: error });
    } finally {
        clearTimeout(timer);
        bounds.signal?.removeEventListener("abort", endWait);
        call.request.destroy();
    }
}

function readEvents(response: http.IncomingMessage): Promise<WatchAnswer> {
    return settleFromEvents(({ resolve, reject, guard }) => {
        if (response.statusCode !== STATUS_OK) {
            reject(new Error(`status ${String(response.statusCode)}`));
            return;
        }
        let text = "";
        response.setEncoding("utf8");
        response.on("error", reject);
        response.on("end", () => reject(new Error("the watch was closed")));
        response.on(
            "data",
            guard((chunk: string) => {
                text += chunk;
                const lines = text.split("\n");
                text = lines.pop() ?? "";
                const answers = lines.filter(line => line !== "").map(line => JSON.parse(line) as WireWatchAnswer);
                const withEvents = answers.filter(answer => (answer.result.events ?? []).length > 0);
                if (withEvents.length > 0) {
                    resolve(readWatchAnswer(withEvents));
                }
            }),
        );
    });
}

function readWatchAnswer(answers: WireWatchAnswer[]): WatchAnswer {
    const events = answers.flatMap(answer => answer.result.events ?? []);
    const revision = Math.max(...answers.map(answer => Number(answer.result.header.revision)));
    const isDeletion = (event: { type?: string }): boolean => event.type === "DELETE";
    return {
        position: { era: UNKNOWN_ERA, revision },
        changed: events.filter(event => !isDeletion(event)).map(event => readEntry(event.kv)),
        deleted: events.filter(isDeletion).map(event => decodeText(event.kv.key)),
    };
}

function encodeSwap(swap: SwapOptions): unknown {
    const key = encodeText(swap.key);
    const write =
        swap.value === undefined
            ? { request_delete_range: { key } }
            : { request_put: { key, value: encodeText(swap.value), lease: swap.leaseId } };
    return {
        compare: [{ key, target: "MOD", result: "EQUAL", mod_revision: String(swap.expectedRevision) }],
        success: [write],
        failure: [{ request_range: { key } }],
    };
}

function createWrittenEntry(swap: SwapOptions, revision: number): KeyValueEntry | undefined {
    return swap.value === undefined ? undefined : { key: swap.key, value: swap.value, revision };
}

function encodeRange(prefix: string): { key: string; range_end: string } {
    return { key: encodeText(prefix), range_end: encodeText(`${prefix}\u{10ffff}`) };
}

function encodeText(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

function decodeText(text: string): string {
    return Buffer.from(text, "base64").toString("utf8");
}

function readEntry(entry: WireEntry): KeyValueEntry {
    return {
        key: decodeText(entry.key),
        value: decodeText(entry.value ?? ""),
        revision: Number(entry.mod_revision ?? "0"),
    };
}
