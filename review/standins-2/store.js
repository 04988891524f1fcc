// A small stand-in of the platform's store: entries, leases, watches, conditional writes.
import http from "node:http";
import { URL } from "node:url";
import { Buffer } from "node:buffer";
import { clearTimeout, setTimeout } from "node:timers";

/**
 * Starts the store on a loopback address. `faults.turnAway(request, url)` may return a status, `reset` or `silent` to turn a call
 * away, and `faults.maxWatchMs` bounds the time after which a waiting watch is cut.
 */
export async function startStore(address, port = 0) {
    const entries = new Map();
    const leases = new Map();
    const waiting = new Set();
    const faults = { turnAway: undefined, maxWatchMs: undefined };
    const counts = { cutWatches: 0 };
    let changes = [];
    let revision = 1;
    let leaseCount = 0;
    let era = 1;
    const sockets = new Set();
    const server = http.createServer((request, response) => void answer(request, response));
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise(resolve => server.listen(port, address, resolve));
    return {
        address: `${address}:${server.address().port}`,
        faults,
        counts,
        write,
        remove,
        getRevision: () => revision,
        takeCopy: () => ({ entries: new Map(entries), changes: [...changes], revision }),
        restoreCopy(copy) {
            entries.clear();
            copy.entries.forEach((entry, key) => entries.set(key, entry));
            changes = [...copy.changes];
            revision = copy.revision;
            leases.clear();
            era++;
            sockets.forEach(socket => socket.destroy());
        },
        async close() {
            sockets.forEach(socket => socket.destroy());
            await new Promise(resolve => server.close(resolve));
        },
    };

    function write(key, value, leaseId = 0) {
        revision++;
        const text = typeof value === "string" ? value : JSON.stringify(value);
        const created = entries.get(key)?.created ?? revision;
        const item = { key, value: Buffer.from(text).toString("base64"), revision, created, lease_id: leaseId };
        entries.set(key, item);
        record({ ...item });
        return revision;
    }

    function remove(key) {
        if (entries.delete(key)) {
            revision++;
            record({ key, revision, deleted: true });
        }
        return revision;
    }

    function record(change) {
        changes.push(change);
        [...waiting].forEach(check => check());
    }

    function expireLeases() {
        for (const [id, lease] of leases) {
            if (lease.expiresAt <= Date.now()) {
                leases.delete(id);
                [...entries.values()].filter(item => item.lease_id === id).forEach(item => remove(item.key));
            }
        }
    }

    async function answer(request, response) {
        const parts = [];
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        for await (const part of request) {
            parts.push(part);
        }
        const body = parts.length === 0 ? {} : JSON.parse(Buffer.concat(parts).toString("utf8") || "{}");
        const url = new URL(request.url, "http://store");
        const refused = faults.turnAway?.(request, url);
        if (refused === "reset") {
            request.socket.destroy();
            return;
        }
        if (refused === "silent") {
            return;
        }
        if (refused !== undefined) {
            send(response, refused, {});
            return;
        }
        expireLeases();
        const { pathname, searchParams } = url;
        if (pathname === "/kv-key") {
            const item = entries.get(searchParams.get("key"));
            send(response, item === undefined ? 404 : 200, item ?? {});
        } else if (pathname === "/kv-range") {
            const prefix = searchParams.get("path_prefix") ?? "";
            const after = searchParams.get("after") ?? "";
            const found = [...entries.values()].filter(item => item.key.startsWith(prefix) && item.key > after);
            found.sort((left, right) => (left.key < right.key ? -1 : 1));
            send(response, 200, { entries: found, has_more: false, at: revision });
        } else if (pathname === "/kv-watch") {
            watch(searchParams, response);
        } else if (pathname === "/kv-txn") {
            send(response, ...runTransaction(body));
        } else if (pathname === "/kv-lease") {
            leaseCount++;
            const lease = { ttlMs: Math.max(1000, body.ttl_ms), expiresAt: Date.now() + Math.max(1000, body.ttl_ms) };
            leases.set(leaseCount, lease);
            send(response, 200, { lease_id: leaseCount, ttl_ms: lease.ttlMs });
        } else if (pathname.startsWith("/kv-keep/")) {
            const lease = leases.get(Number(pathname.slice("/kv-keep/".length)));
            if (lease !== undefined) {
                lease.expiresAt = Date.now() + lease.ttlMs;
            }
            send(response, lease === undefined ? 404 : 200, {});
        } else {
            send(response, 404, {});
        }
    }

    function runTransaction(body) {
        const expected = body.expected_revision ?? [];
        if (expected.some(({ key, revision: at }) => (entries.get(key)?.revision ?? 0) !== at)) {
            const current = expected.map(({ key }) => entries.get(key) ?? { key, value: null, revision: 0 });
            return [412, { entries: current }];
        }
        const writes = body.write ?? [];
        if (writes.some(({ lease_id: id }) => id && !leases.has(id))) {
            return [404, {}];
        }
        for (const { key, value, lease_id: id } of writes) {
            write(key, Buffer.from(value, "base64").toString("utf8"), id ?? 0);
        }
        (body.remove ?? []).forEach(remove);
        return [200, { revision }];
    }

    function watch(query, response) {
        const prefix = query.get("path_prefix") ?? "";
        const after = Number(query.get("after"));
        if (after > revision) {
            send(response, 410, {});
            return;
        }
        const find = () => changes.filter(change => change.revision > after && change.key.startsWith(prefix));
        if (find().length > 0) {
            send(response, 200, { events: find(), at: revision });
            return;
        }
        const waitMs = Number(query.get("wait_ms"));
        const isCut = faults.maxWatchMs !== undefined && faults.maxWatchMs < waitMs;
        const timer = setTimeout(isCut ? cut : finish, isCut ? faults.maxWatchMs : waitMs);
        waiting.add(check);
        response.on("close", stop);

        function cut() {
            counts.cutWatches++;
            stop();
            response.socket?.destroy();
        }

        function check() {
            if (find().length > 0) {
                finish();
            }
        }

        function stop() {
            clearTimeout(timer);
            waiting.delete(check);
        }

        function finish() {
            stop();
            send(response, 200, { events: find(), at: revision });
        }
    }

    function send(response, status, value) {
        const text = JSON.stringify(value);
        const headers = { "content-type": "application/json", "content-length": Buffer.byteLength(text) };
        response.writeHead(status, { ...headers, "store-era": String(era) }).end(text);
    }
}
