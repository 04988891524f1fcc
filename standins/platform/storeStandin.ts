import type http from "node:http";
import { match } from "ts-pattern";
import { ErrorCode, hasErrorCode } from "../../src/errors/index.js";
import type { SwapAnswer } from "../../src/platform/index.js";
import { sendJson } from "../../src/utils/http.js";
import { type Standin, startStandin } from "../Standin.js";
import { type KeyValueStore, createKeyValueStore } from "./KeyValueStore.js";

/** Faults of the users' store that the stand-in shows on command. */
export interface StoreFaults {
    /** Status of every answer in place of the real one. */
    status: number | undefined;
    /** Writes that take effect and get no answer. */
    lostAnswers: number;
    /** Calls that get no answer and have no effect. */
    isSilent: boolean;
    /** Watches are told that the history is gone. */
    isHistoryLost: boolean;
}

/** The users' store, by its published protocol. */
export interface StoreStandin extends Standin {
    store: KeyValueStore;
    faults: StoreFaults;
    /** Paths of the calls that came in, in order. */
    calls: string[];
}

/** Entries of one page. */
const PAGE_SIZE = 3;

interface WireTransaction {
    expected_revision: { key: string; revision: number }[];
    write: { key: string; value: string; lease_id?: number }[];
    remove: string[];
}

/** Starts the store on loopback. */
export async function startStoreStandin(): Promise<StoreStandin> {
    const store = createKeyValueStore();
    const faults: StoreFaults = { status: undefined, lostAnswers: 0, isSilent: false, isHistoryLost: false };
    const calls: string[] = [];
    const standin = await startStandin(0, handle);
    return { ...standin, store, faults, calls };

    function send(response: http.ServerResponse, status: number, value: unknown): void {
        response.setHeader("store-era", String(store.getEra()));
        sendJson(response, status, value);
    }

    async function handle(request: http.IncomingMessage, response: http.ServerResponse, body: unknown): Promise<void> {
        const url = new URL(request.url ?? "/", "http://store");
        calls.push(url.pathname);
        if (faults.isSilent) {
            return;
        }
        if (faults.status !== undefined) {
            send(response, faults.status, {});
            return;
        }
        await match(url.pathname)
            .with("/kv-key", () => sendEntry(response, url.searchParams.get("key") ?? ""))
            .with("/kv-range", () => sendPage(response, url.searchParams))
            .with("/kv-watch", () => sendChanges(response, url.searchParams))
            .with("/kv-txn", () => applyTransaction(request, response, body as WireTransaction))
            .with("/kv-lease", async () => {
                const leaseId = await store.grantLease((body as { ttl_ms: number }).ttl_ms);
                send(response, 200, { lease_id: Number(leaseId), ttl_ms: (body as { ttl_ms: number }).ttl_ms });
            })
            .otherwise(async path => {
                const isLive = path.startsWith("/kv-keep/") && (await store.renewLease(path.slice("/kv-keep/".length)));
                send(response, isLive ? 200 : 404, isLive ? { ttl_ms: 1 } : {});
            });
    }

    async function sendEntry(response: http.ServerResponse, key: string): Promise<void> {
        const entry = await store.getEntry(key);
        send(response, entry === undefined ? 404 : 200, entry === undefined ? {} : encodeItem(entry));
    }

    async function sendPage(response: http.ServerResponse, query: URLSearchParams): Promise<void> {
        const all = await store.listEntries(query.get("path_prefix") ?? "");
        const after = query.get("after") ?? "";
        const rest = all.filter(entry => entry.key > after).sort((left, right) => (left.key < right.key ? -1 : 1));
        send(response, 200, {
            entries: rest.slice(0, PAGE_SIZE).map(encodeItem),
            has_more: rest.length > PAGE_SIZE,
            at: store.getRevision(),
        });
    }

    async function sendChanges(response: http.ServerResponse, query: URLSearchParams): Promise<void> {
        if (faults.isHistoryLost) {
            send(response, 410, {});
            return;
        }
        const after = Number(query.get("after"));
        if (after > store.getRevision()) {
            send(response, 410, {});
            return;
        }
        const answer = await store.watchEntries(query.get("path_prefix") ?? "", after, Number(query.get("wait_ms")));
        const { revision } = answer.position;
        const deleted = answer.deleted.map(key => ({ key, revision, deleted: true }));
        send(response, 200, { events: [...answer.changed.map(encodeItem), ...deleted], at: revision });
    }

    async function applyTransaction(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        transaction: WireTransaction,
    ): Promise<void> {
        const [expected] = transaction.expected_revision;
        const [write] = transaction.write;
        let answer: SwapAnswer;
        try {
            answer = await store.swapEntry({
                key: expected?.key ?? "",
                expectedRevision: expected?.revision ?? 0,
                value: write && Buffer.from(write.value, "base64").toString("utf8"),
                leaseId: write?.lease_id ? String(write.lease_id) : undefined,
            });
        } catch (error) {
            if (!hasErrorCode(error, ErrorCode.LeaseEnded)) {
                throw error;
            }
            send(response, 404, {});
            return;
        }
        if (faults.lostAnswers > 0) {
            faults.lostAnswers--;
            request.socket.destroy();
        } else if (answer.applied) {
            send(response, 200, { revision: store.getRevision() });
        } else {
            const current = answer.current && encodeItem(answer.current);
            send(response, 412, { entries: [current ?? { key: expected?.key, revision: 0 }] });
        }
    }
}

function encodeItem(entry: { key: string; value: string; revision: number }) {
    const value = Buffer.from(entry.value, "utf8").toString("base64");
    return { key: entry.key, value, revision: entry.revision, created: entry.revision, lease_id: 0 };
}
