// The platform's metadata store, by its published protocol, in memory.
import { Buffer } from "node:buffer";
import http from "node:http";
import { clearTimeout, setTimeout } from "node:timers";

const PAGE_SIZE = 400;

/** Starts the store on a loopback address. */
export async function startStore() {
    let items = new Map();
    let history = [];
    const leases = new Map();
    const waiting = new Set();
    let revision = 1;
    /** Rises by one each time that the store comes back from a copy. */
    let era = 1;
    let lastLease = 0;
    /** Hook for faults: returns true if it has dealt with the call. */
    const faults = { handleCall: () => false };
    const server = http.createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => answerCall(request, response, Buffer.concat(chunks).toString("utf8")));
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        faults,
        put: (key, value) => applyChange(key, JSON.stringify(value), 0),
        remove: key => applyChange(key, undefined, 0),
        getRevision: () => revision,
        countWatches: () => waiting.size,
        /** Ends the watches that wait at the store, without an answer. */
        cutWatches() {
            const cut = [...waiting];
            cut.forEach(watch => watch.cut());
            return cut.length;
        },
        takeCopy: () => ({ items: new Map(items), history: [...history], revision }),
        /** Comes back from a copy: what was written since is gone, and revisions are given out again. */
        restoreCopy(copy) {
            ({ revision } = copy);
            items = new Map(copy.items);
            history = [...copy.history];
            era += 1;
            [...waiting].forEach(watch => watch.cut());
        },
        close() {
            [...waiting].forEach(watch => watch.cut());
            leases.forEach(lease => clearTimeout(lease.timer));
            server.closeAllConnections();
            server.close();
        },
    };

    function applyChange(key, value, leaseId) {
        revision += 1;
        const encoded = value === undefined ? undefined : Buffer.from(value, "utf8").toString("base64");
        const created = items.get(key)?.created ?? revision;
        if (encoded === undefined) {
            items.delete(key);
            history.push({ key, revision, deleted: true });
        } else {
            const item = { key, value: encoded, revision, created, lease_id: leaseId };
            items.set(key, item);
            history.push(item);
        }
        for (const watch of [...waiting]) {
            watch.check();
        }
        return revision;
    }

    function send(response, status, value) {
        if (response.destroyed) {
            return;
        }
        const body = JSON.stringify(value);
        response.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            "store-era": String(era),
        });
        response.end(body);
    }

    function answerCall(request, response, body) {
        const url = new URL(request.url, "http://store");
        if (faults.handleCall({ request, response, url, body, send })) {
            return;
        }
        if (url.pathname === "/kv-key") {
            const item = items.get(url.searchParams.get("key"));
            send(response, item === undefined ? 404 : 200, item ?? {});
        } else if (url.pathname === "/kv-range") {
            answerRange(response, url.searchParams);
        } else if (url.pathname === "/kv-watch") {
            answerWatch(response, url.searchParams);
        } else if (url.pathname === "/kv-txn") {
            answerTransaction(response, JSON.parse(body));
        } else if (url.pathname === "/kv-lease") {
            lastLease += 1;
            const ttlMs = JSON.parse(body).ttl_ms;
            leases.set(lastLease, { ttlMs, timer: undefined });
            extendLease(lastLease);
            send(response, 200, { lease_id: lastLease, ttl_ms: ttlMs });
        } else if (url.pathname.startsWith("/kv-keep/")) {
            const id = Number(url.pathname.slice("/kv-keep/".length));
            const isLive = leases.has(id);
            if (isLive) {
                extendLease(id);
            }
            send(response, isLive ? 200 : 404, isLive ? { ttl_ms: leases.get(id).ttlMs } : {});
        } else {
            send(response, 404, {});
        }
    }

    function extendLease(id) {
        const lease = leases.get(id);
        clearTimeout(lease.timer);
        lease.timer = setTimeout(() => {
            leases.delete(id);
            for (const item of [...items.values()].filter(candidate => candidate.lease_id === id)) {
                applyChange(item.key, undefined, 0);
            }
        }, lease.ttlMs);
    }

    function answerRange(response, query) {
        const prefix = query.get("path_prefix") ?? "";
        const after = query.get("after") ?? "";
        const rest = [...items.values()]
            .filter(({ key }) => key.startsWith(prefix) && key > after)
            .sort((left, right) => (left.key < right.key ? -1 : 1));
        send(response, 200, { entries: rest.slice(0, PAGE_SIZE), has_more: rest.length > PAGE_SIZE, at: revision });
    }

    function answerWatch(response, query) {
        const prefix = query.get("path_prefix") ?? "";
        const after = Number(query.get("after"));
        if (after > revision) {
            send(response, 410, {});
            return;
        }
        const watch = { check, cut };
        const timer = setTimeout(() => finish([]), Number(query.get("wait_ms")));
        waiting.add(watch);
        response.on("close", end);
        check();

        function check() {
            const events = history.filter(event => event.revision > after && event.key.startsWith(prefix));
            if (events.length > 0) {
                finish(events);
            }
        }

        function finish(events) {
            end();
            send(response, 200, { events, at: revision });
        }

        function cut() {
            end();
            response.socket?.end();
        }

        function end() {
            clearTimeout(timer);
            waiting.delete(watch);
        }
    }

    function answerTransaction(response, { expected_revision: expected = [], write = [], remove = [] }) {
        const current = expected.map(({ key }) => items.get(key) ?? { key, revision: 0 });
        if (current.some((item, index) => item.revision !== expected[index].revision)) {
            send(response, 412, { entries: current });
            return;
        }
        if (write.some(({ lease_id: id }) => id > 0 && !leases.has(id))) {
            send(response, 404, {});
            return;
        }
        for (const { key, value, lease_id: id = 0 } of write) {
            applyChange(key, Buffer.from(value, "base64").toString("utf8"), id);
        }
        remove.forEach(key => applyChange(key, undefined, 0));
        send(response, 200, { revision });
    }
}
