import type http from "node:http";
import { match } from "ts-pattern";
import type { HostEntry, KeyValueEntry } from "../../src/platform/index.js";
import { sendJson } from "../../src/utils/http.js";
import { waitFor } from "../../src/utils/time.js";
import { type Standin, startStandin } from "../Standin.js";
import { type KeyValueStore, createKeyValueStore } from "./KeyValueStore.js";

/** Faults that the platform stand-in shows on command. */
export interface PlatformFaults {
    /** Every call fails, without effect. */
    isDown: boolean;
    /** Delay before each answer, in milliseconds. */
    delayMs: number;
    /** Number of writes whose answer is lost after they took effect. */
    lostAnswers: number;
    /** Calls a second; the rest is turned away. */
    callsPerSecond: number;
    /** The host list keeps its last state. */
    isHostListFrozen: boolean;
}

/** Options of the platform stand-in. */
export interface PlatformStandinOptions {
    port?: number;
    /** Delay of the host list behind reality, in milliseconds. */
    hostListLagMs?: number;
    /** Rate of the weight store, in bytes a second. */
    weightBytesPerSecond?: number;
}

/** The platform: key-value service, host list, weight store. */
export interface PlatformStandin extends Standin {
    store: KeyValueStore;
    faults: PlatformFaults;
    setHosts(hosts: HostEntry[]): void;
    /** Number of calls served since the start. */
    getCalls(): { reads: number; writes: number };
}

interface WireRange {
    key: string;
    range_end?: string;
}

interface WireTxn {
    compare: { key: string; mod_revision: string }[];
    success: { request_put?: { key: string; value: string; lease?: string }; request_delete_range?: { key: string } }[];
}

interface WireWatch {
    create_request: { key: string; range_end?: string; start_revision: string };
}

const DEFAULT_CALLS_PER_SECOND = 2_500;
const DEFAULT_LAG_MS = 2_000;
const DEFAULT_WEIGHT_RATE = 64 * 1024 * 1024;
const WATCH_MS = 30_000;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_MANY = 429;
const WINDOW_MS = 1_000;

/**
 * Starts the platform stand-in: `/v3/*`, `/hosts`, `/weights/*`, and `/faults` to command it.
 * @param options - Port, lag and rates.
 */
export async function startPlatformStandin(options: PlatformStandinOptions = {}): Promise<PlatformStandin> {
    const store = createKeyValueStore();
    const calls = { reads: 0, writes: 0 };
    const faults: PlatformFaults = {
        isDown: false,
        delayMs: 0,
        lostAnswers: 0,
        callsPerSecond: DEFAULT_CALLS_PER_SECOND,
        isHostListFrozen: false,
    };
    let hosts: HostEntry[] = [];
    let windowStart = 0;
    let windowCalls = 0;
    const standin = await startStandin(options.port ?? 0, handle);
    return { ...standin, store, faults, setHosts, getCalls: () => ({ ...calls }) };

    function setHosts(next: HostEntry[]): void {
        setTimeout(() => {
            if (!faults.isHostListFrozen) {
                hosts = next;
            }
        }, options.hostListLagMs ?? DEFAULT_LAG_MS).unref();
    }

    async function handle(request: http.IncomingMessage, response: http.ServerResponse, body: unknown): Promise<void> {
        const path = request.url ?? "/";
        if (path === "/faults") {
            Object.assign(faults, body);
            sendJson(response, STATUS_OK, { ...faults, calls });
            return;
        }
        if (path === "/hosts" && request.method === "PUT") {
            setHosts(body as HostEntry[]);
            sendJson(response, STATUS_OK, {});
            return;
        }
        if (faults.isDown) {
            request.socket.destroy();
            return;
        }
        if (!countCall()) {
            sendJson(response, STATUS_TOO_MANY, { error: "too many calls" });
            return;
        }
        await waitFor(faults.delayMs);
        await match(path)
            .with("/hosts", () => sendJson(response, STATUS_OK, hosts))
            .with("/v3/kv/range", () => handleRange(response, body as WireRange))
            .with("/v3/kv/txn", () => handleTxn(request, response, body as WireTxn))
            .with("/v3/lease/grant", async () => {
                calls.writes++;
                const ttlMs = Number((body as { TTL: string }).TTL) * 1_000;
                sendJson(response, STATUS_OK, { ID: await store.grantLease(ttlMs), TTL: String(ttlMs / 1_000) });
            })
            .with("/v3/lease/keepalive", async () => {
                calls.writes++;
                const isAlive = await store.renewLease((body as { ID: string }).ID);
                sendJson(response, STATUS_OK, { result: { TTL: isAlive ? "1" : "0" } });
            })
            .with("/v3/watch", () => handleWatch(response, body as WireWatch))
            .when(
                other => other.startsWith("/weights/"),
                () => handleWeights(response, path),
            )
            .otherwise(() => sendJson(response, STATUS_NOT_FOUND, { error: "unknown path" }));
    }

    function countCall(): boolean {
        const now = Date.now();
        if (now - windowStart >= WINDOW_MS) {
            windowStart = now;
            windowCalls = 0;
        }
        windowCalls++;
        return windowCalls <= faults.callsPerSecond;
    }

    async function handleRange(response: http.ServerResponse, range: WireRange): Promise<void> {
        calls.reads++;
        const key = decodeText(range.key);
        const found = range.range_end === undefined ? [await store.getEntry(key)] : await store.listEntries(key);
        const present = found.filter(entry => entry !== undefined);
        sendJson(response, STATUS_OK, { header: createHeader(), kvs: present.map(encodeEntry) });
    }

    async function handleTxn(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        txn: WireTxn,
    ): Promise<void> {
        calls.writes++;
        const [compare] = txn.compare;
        const [write] = txn.success;
        const put = write?.request_put;
        const answer = await store.swapEntry({
            key: decodeText(compare?.key ?? ""),
            expectedRevision: Number(compare?.mod_revision ?? "0"),
            value: put === undefined ? undefined : decodeText(put.value),
            leaseId: put?.lease,
        });
        if (faults.lostAnswers > 0 && answer.applied) {
            faults.lostAnswers--;
            request.socket.destroy();
            return;
        }
        const kvs = answer.current === undefined ? [] : [encodeEntry(answer.current)];
        const responses = answer.applied ? [] : [{ response_range: { kvs } }];
        sendJson(response, STATUS_OK, { header: createHeader(), succeeded: answer.applied, responses });
    }

    async function handleWatch(response: http.ServerResponse, watch: WireWatch): Promise<void> {
        calls.reads++;
        const prefix = decodeText(watch.create_request.key);
        let after = Number(watch.create_request.start_revision) - 1;
        const controller = new AbortController();
        response.on("close", () => controller.abort());
        response.writeHead(STATUS_OK, { "content-type": "application/json" });
        response.write(`${JSON.stringify({ result: { header: createHeader(), created: true } })}\n`);
        while (!response.destroyed && !faults.isDown) {
            const answer = await store.watchEntries(prefix, after, WATCH_MS, controller.signal);
            after = answer.position.revision;
            const puts = answer.changed.map(entry => ({ kv: encodeEntry(entry) }));
            const deletions = answer.deleted.map(key => ({ type: "DELETE", kv: { key: encodeText(key) } }));
            const header = { revision: String(after) };
            response.write(`${JSON.stringify({ result: { header, events: [...puts, ...deletions] } })}\n`);
        }
        response.destroy();
    }

    async function handleWeights(response: http.ServerResponse, path: string): Promise<void> {
        const bytes = Number(path.split("/").pop());
        const rate = options.weightBytesPerSecond ?? DEFAULT_WEIGHT_RATE;
        await waitFor((bytes / rate) * 1_000);
        sendJson(response, STATUS_OK, { bytes });
    }

    function createHeader(): { revision: string } {
        return { revision: String(store.getRevision()) };
    }
}

function encodeEntry(entry: KeyValueEntry): Record<string, string> {
    return { key: encodeText(entry.key), value: encodeText(entry.value), mod_revision: String(entry.revision) };
}

function encodeText(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

function decodeText(text: string): string {
    return Buffer.from(text, "base64").toString("utf8");
}
