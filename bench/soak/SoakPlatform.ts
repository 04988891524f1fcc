import { readMonotonicMs, waitFor } from "../../src/utils/time.js";
import type { KeyValueStore, StoreBackup } from "../../standins/platform/KeyValueStore.js";
import { writeKey } from "../../standins/platform/writeKey.js";
import type { Random } from "../scheduling/Random.js";
import type { RunRecord } from "./RunRecord.js";
import { type SoakEndpoint, ZONES, getZone, startSoakEndpoint } from "./SoakEndpoint.js";

/** An announcement of the operator or of an endpoint, and when the store took it (monotonic, in milliseconds). */
export interface Announcement {
    kind: "leaving" | "revoked" | "restored" | "evacuated" | "withdrawn";
    /** Endpoint, key or availability zone. */
    subject: string;
    at: number;
}

/** What the operator and the endpoints write into the store. */
export interface SoakPlatform {
    announcements: Announcement[];
    /** Draws an endpoint that is in service. */
    drawEndpoint(random: Random): SoakEndpoint | undefined;
    /** The endpoint goes without a word, and comes back under another identifier. */
    dropEndpoint(endpoint: SoakEndpoint): Promise<void>;
    /** Another endpoint comes, and this one announces that it leaves, serves on for a time and goes. */
    replaceEndpoint(endpoint: SoakEndpoint): Promise<void>;
    /** The store goes back to a copy; soon after, the operator and the endpoints write again what they had written. */
    restoreStore(ageMs: number): Promise<void>;
    /** Takes the second team's key away for a time. */
    removeKey(lastsMs: number): Promise<void>;
    /** Evacuates an availability zone for a time. */
    evacuateZone(zone: string, lastsMs: number): Promise<void>;
    close(): Promise<void>;
}

/** Options of the platform. */
export interface SoakPlatformOptions {
    store: KeyValueStore;
    record: RunRecord;
    random: Random;
    endpoints: number;
}

/** Keys of the two teams. */
export const LASTING_KEY = "key-of-team-one";
export const REVOKED_KEY = "key-of-team-two";
/** Time in which a leaving endpoint still serves, in milliseconds: the usual bound of draining and some more. */
const LEAVING_MS = 3_500;
const GONE_MS = 1_000;
/** Period of the copies of the store, and number of them that are kept. */
const BACKUP_MS = 250;
const MAX_BACKUPS = 24;
/** Time after a restore in which the operator and the endpoints write again, and in which dead entries lapse, in milliseconds. */
const REWRITE_MS = 300;
const DEAD_ENTRY_MS = 3_000;
const SLOTS = 20;
/** Time in which an evacuation must be obeyed, in milliseconds; the settings of the routers have it too. */
export const EVACUATE_MS = 3_000;

/**
 * Starts endpoints and writes the first document.
 * @param options - Store and sizes.
 */
export async function startSoakPlatform(options: SoakPlatformOptions): Promise<SoakPlatform> {
    const { store, random } = options;
    const announcements: Announcement[] = [];
    const serving: SoakEndpoint[] = [];
    const all: SoakEndpoint[] = [];
    let count = 0;
    let version = 1;
    let isRevoked = false;
    let keys: readonly string[] = [];
    /** States that endpoints have written; one that is gone has none. */
    const states = new Map<string, string>();
    const evacuated = new Set<string>();
    /** Wall-clock times of the endpoints' starts, after which they are cold for a time, in milliseconds. */
    const bornAt = new Map<string, number>();
    const backups: StoreBackup[] = [];
    const backupTimer = setInterval(() => {
        backups.push(store.takeBackup());
        backups.splice(0, Math.max(0, backups.length - MAX_BACKUPS));
    }, BACKUP_MS);
    await writeDocument([LASTING_KEY, REVOKED_KEY]);
    for (let index = 0; index < options.endpoints; index++) {
        await addEndpoint();
    }
    return { announcements, drawEndpoint, dropEndpoint, replaceEndpoint, restoreStore, removeKey, evacuateZone, close };

    function drawEndpoint(by: Random): SoakEndpoint | undefined {
        return serving[by.drawIndex(serving.map(() => 1))];
    }

    async function addEndpoint(): Promise<void> {
        const endpoint = await startSoakEndpoint(`i-${count++}`, options.record, random);
        all.push(endpoint);
        serving.push(endpoint);
        await writeEndpoint(endpoint, "ready");
    }

    async function dropEndpoint(endpoint: SoakEndpoint): Promise<void> {
        if (!takeOut(endpoint)) {
            return;
        }
        await endpoint.close();
        await waitFor(GONE_MS);
        await removeEntry(endpoint.id);
        await addEndpoint();
    }

    async function replaceEndpoint(endpoint: SoakEndpoint): Promise<void> {
        if (!takeOut(endpoint)) {
            return;
        }
        await addEndpoint();
        await writeEndpoint(endpoint, "draining");
        announcements.push({ kind: "leaving", subject: endpoint.id, at: readMonotonicMs() });
        await waitFor(LEAVING_MS);
        await removeEntry(endpoint.id);
        await endpoint.close();
    }

    async function restoreStore(ageMs: number): Promise<void> {
        const backup = backups.at(-Math.ceil(ageMs / BACKUP_MS)) ?? backups[0];
        if (backup === undefined) {
            return;
        }
        store.restoreBackup(backup);
        backups.length = 0;
        await waitFor(REWRITE_MS);
        await writeKey(store, "op/config", JSON.stringify(buildDocument(version, keys)));
        for (const zone of ZONES) {
            await writeEvacuation(zone);
        }
        for (const endpoint of all.filter(({ id }) => states.has(id))) {
            await writeEndpoint(endpoint, states.get(endpoint.id) ?? "");
        }
        setTimeout(() => {
            const gone = all.filter(({ id }) => !states.has(id));
            void Promise.all(gone.map(({ id }) => writeKey(store, `servers/${id}`, undefined)));
        }, DEAD_ENTRY_MS).unref();
    }

    function removeEntry(id: string): Promise<void> {
        states.delete(id);
        return writeKey(store, `servers/${id}`, undefined);
    }

    /** An endpoint goes once only. */
    function takeOut(endpoint: SoakEndpoint): boolean {
        const place = serving.indexOf(endpoint);
        if (place >= 0) {
            serving.splice(place, 1);
        }
        return place >= 0;
    }

    async function removeKey(lastsMs: number): Promise<void> {
        if (isRevoked) {
            return;
        }
        isRevoked = true;
        await writeDocument([LASTING_KEY]);
        announcements.push({ kind: "revoked", subject: REVOKED_KEY, at: readMonotonicMs() });
        await waitFor(lastsMs + LEAVING_MS);
        announcements.push({ kind: "restored", subject: REVOKED_KEY, at: readMonotonicMs() });
        await writeDocument([LASTING_KEY, REVOKED_KEY]);
        isRevoked = false;
    }

    async function evacuateZone(zone: string, lastsMs: number): Promise<void> {
        if (evacuated.has(zone)) {
            return;
        }
        evacuated.add(zone);
        await writeEvacuation(zone);
        announcements.push({ kind: "evacuated", subject: zone, at: readMonotonicMs() });
        await waitFor(EVACUATE_MS + lastsMs);
        announcements.push({ kind: "withdrawn", subject: zone, at: readMonotonicMs() });
        evacuated.delete(zone);
        await writeEvacuation(zone);
    }

    function writeEvacuation(zone: string): Promise<void> {
        return writeKey(store, `op/evacuate/${zone}`, evacuated.has(zone) ? "{}" : undefined);
    }

    function writeEndpoint(endpoint: SoakEndpoint, state: string): Promise<void> {
        states.set(endpoint.id, state);
        const address = `127.0.0.1:${endpoint.port}`;
        const zone = getZone(endpoint.id);
        const born = bornAt.get(endpoint.id) ?? Date.now();
        bornAt.set(endpoint.id, born);
        const entry = { service: "app", address, zone, version: "v1", slots: SLOTS, state, sequence: 1, born };
        return writeKey(store, `servers/${endpoint.id}`, JSON.stringify(entry));
    }

    function writeDocument(next: readonly string[]): Promise<void> {
        keys = next;
        version += 2;
        return writeKey(store, "op/config", JSON.stringify(buildDocument(version, keys)));
    }

    async function close(): Promise<void> {
        clearInterval(backupTimer);
        await Promise.all(all.map(endpoint => endpoint.close()));
    }
}

function buildDocument(version: number, keys: readonly string[]): unknown {
    const base = { host: "shop.example", slo_ms: 300, service: "app" };
    return {
        version,
        routes: [
            { ...base, name: "stock", path_prefix: "/stock/", route_kind: "safe", timeout_ms: 2_000, max_attempts: 2 },
            { ...base, name: "book", path_prefix: "/book/", route_kind: "unsafe", timeout_ms: 2_000 },
            {
                ...base,
                name: "advice",
                path_prefix: "/advice/",
                route_kind: "streaming",
                resumable: true,
                timeout_ms: 5_000,
                max_attempts: 2,
            },
        ],
        services: [{ name: "app", health_path: "/healthz", max_conns: 500, cold_start_s: 3, cold_per_s: 18 }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 100_000,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: keys.map(key => ({ name: key === LASTING_KEY ? "one" : "two", api_keys: [key] })),
    };
}
