import { createAttemptId } from "../../src/protocol/index.js";
import { KeyValueService } from "../../src/platform/index.js";
import type { KeyValueEntry, SwapAnswer, SwapOptions, WatchAnswer } from "../../src/platform/index.js";
import { type Claim, type ClaimAnswer, type ClaimKey, ClaimStore } from "../../src/router/claims/Claim.js";
import { createGroupClaimStore } from "../../src/router/claims/GroupClaimStore.js";
import { createSingleClaimStore } from "../../src/router/claims/SingleClaimStore.js";
import { computeDigest, computeHash32 } from "../../src/utils/digest.js";
import { buildList } from "../../src/utils/list.js";
import { waitFor } from "../../src/utils/time.js";
import { createKeyValueStore } from "../../standins/platform/KeyValueStore.js";
import type { BenchReport } from "../Report.js";
import { createRandom } from "../scheduling/Random.js";

/** Calls that a run made, and how long a booking waited for its claim. */
interface ClaimFigures {
    bookings: number;
    calls: number;
    writes: number;
    meanMs: number;
    doubled: number;
}

interface CountedCalls {
    reads: number;
    writes: number;
}

const CALL_MS = 3;
const RUN_MS = 3_000;
const RATES = [20, 200, 1_000];
const ROUTERS = 8;
const PARTITIONS = 16;
const INTERVAL_MS = 75;
/** One booking in twenty is sent twice; drawn counts may exceed the share a little. */
const COPIES_SHARE = 0.07;
/** Writes a second that the platform takes. */
const SEVERAL_HUNDRED = 400;

interface Way {
    create: (service: KeyValueService) => ClaimStore;
    /** Chooses the router that claims, among those that got the booking. */
    chooseStore: (router: number, digest: string) => number;
}

const createGroup = (service: KeyValueService): ClaimStore =>
    createGroupClaimStore({ service, partitions: PARTITIONS, intervalMs: INTERVAL_MS });

const WAYS: Record<string, Way> = {
    "one swap each": { create: createSingleClaimStore, chooseStore: router => router },
    "group commit": { create: createGroup, chooseStore: router => router },
    "group commit by owner": {
        create: createGroup,
        chooseStore: (...[, digest]) => (computeHash32(digest) % PARTITIONS) % ROUTERS,
    },
};

/**
 * Calls to the key-value service against bookings a second: group commit beside one compare-and-swap each.
 * @param seed - Seed of the arrivals.
 */
export async function runClaims(seed: number): Promise<BenchReport> {
    const rows: (string | number)[][] = [];
    const figuresOf = new Map<string, ClaimFigures>();
    for (const rate of RATES) {
        for (const [name, way] of Object.entries(WAYS)) {
            const figures = await runWay(way, rate, seed);
            figuresOf.set(`${name}/${rate}`, figures);
            const writesPerSecond = (figures.writes * 1_000) / RUN_MS;
            const perBooking = figures.calls / figures.bookings;
            rows.push([name, rate, figures.bookings, writesPerSecond, perBooking, figures.meanMs]);
        }
    }
    const single = figuresOf.get("one swap each/200");
    const grouped = figuresOf.get("group commit by owner/1000");
    const doubled = [...figuresOf.values()].reduce((sum, figures) => sum + figures.doubled, 0);
    return {
        name: "claims",
        seed,
        columns: ["way", "bookings/s", "bookings", "writes/s", "calls a booking", "mean ms"],
        rows,
        checks: [
            { name: "claims given twice", value: doubled, bound: 0, isUpper: true },
            {
                name: "one swap each: calls a booking at 200/s",
                value: (single?.calls ?? 0) / (single?.bookings ?? 1),
                bound: 1 + COPIES_SHARE,
                isUpper: true,
            },
            {
                name: "group commit by owner: writes a second at 1,000 bookings/s",
                value: ((grouped?.writes ?? 0) * 1_000) / RUN_MS,
                bound: SEVERAL_HUNDRED,
                isUpper: true,
            },
        ],
    };
}

async function runWay(way: Way, rate: number, seed: number): Promise<ClaimFigures> {
    const random = createRandom(seed);
    const counted: CountedCalls = { reads: 0, writes: 0 };
    const service = createSlowService(counted);
    const stores = buildList(ROUTERS, () => way.create(service));
    const waits: number[] = [];
    const pending: Promise<void>[] = [];
    let doubled = 0;
    const startedAt = performance.now();
    for (let at = 0, count = 0; at < RUN_MS; at += random.drawExponential(1_000 / rate), count++) {
        await waitFor(Math.max(0, startedAt + at - performance.now()));
        pending.push(book(count));
    }
    await Promise.all(pending);
    const meanMs = waits.reduce((sum, wait) => sum + wait, 0) / waits.length;
    const calls = counted.reads + counted.writes;
    return { bookings: waits.length, calls, writes: counted.writes, meanMs, doubled };

    /** One booking in twenty is sent twice at two routers at the same moment. */
    async function book(count: number): Promise<void> {
        const key = { digest: computeDigest(`key-${count}`), idempotencyKey: `key-${count}` };
        const copies = count % 20 === 0 ? 2 : 1;
        const begunAt = performance.now();
        const answers = await Promise.all(buildList(copies, copy => openAt((count + copy) % ROUTERS, key)));
        waits.push(performance.now() - begunAt);
        doubled += answers.filter(answer => answer.isOurs).length === 1 ? 0 : 1;
    }

    function openAt(router: number, key: ClaimKey): Promise<ClaimAnswer> {
        const store = stores[way.chooseStore(router, key.digest)] as ClaimStore;
        return store.openClaim(key, createClaim());
    }
}

function createClaim(): Claim {
    return {
        body: "b".repeat(64),
        attempt: createAttemptId(),
        host: "service-1",
        address: "127.0.0.1",
        port: 1,
        incarnation: "inc-0123456789",
        at: Date.now(),
    };
}

/** A key-value service that needs some milliseconds a call. */
function createSlowService(counted: CountedCalls): KeyValueService {
    const store = createKeyValueStore();
    return new (class SlowService extends KeyValueService {
        override async getEntry(key: string): Promise<KeyValueEntry | undefined> {
            counted.reads++;
            await waitFor(CALL_MS);
            return store.getEntry(key);
        }

        override listEntries(prefix: string): Promise<KeyValueEntry[]> {
            return store.listEntries(prefix);
        }

        override listSnapshot(prefix: string): ReturnType<KeyValueService["listSnapshot"]> {
            return store.listSnapshot(prefix);
        }

        override async swapEntry(options: SwapOptions): Promise<SwapAnswer> {
            counted.writes++;
            await waitFor(CALL_MS);
            return store.swapEntry(options);
        }

        override grantLease(ttlMs: number): Promise<string> {
            return store.grantLease(ttlMs);
        }

        override renewLease(leaseId: string): Promise<boolean> {
            return store.renewLease(leaseId);
        }

        override watchEntries(prefix: string, afterRevision: number, timeoutMs: number): Promise<WatchAnswer> {
            return store.watchEntries(prefix, afterRevision, timeoutMs);
        }
    })();
}
