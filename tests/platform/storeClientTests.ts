import t from "tap";
import { createStoreClient } from "../../platform/StoreClient.js";
import { ErrorCode, hasErrorCode } from "../../src/errors/index.js";
import { createLeaderLease } from "../../src/groups/ordered/LeaderLease.js";
import type { KeyValueService } from "../../src/platform/index.js";
import { type StoreStandin, startStoreStandin } from "../../standins/platform/storeStandin.js";
import type { OwningTest } from "../fixtures.js";

async function startStore(t: OwningTest): Promise<{ standin: StoreStandin; client: KeyValueService }> {
    const standin = await startStoreStandin();
    t.teardown(() => standin.close());
    return { standin, client: createStoreClient(`127.0.0.1:${standin.port}`) };
}

async function getCode(call: Promise<unknown>): Promise<ErrorCode | undefined> {
    try {
        await call;
        return undefined;
    } catch (error) {
        return Object.values(ErrorCode).find(code => hasErrorCode(error, code));
    }
}

t.test("an entry is written under a condition, read, listed over pages and deleted", async t => {
    const { client } = await startStore(t);
    for (let index = 1; index <= 7; index++) {
        t.match(await client.swapEntry({ key: `a/${index}`, expectedRevision: 0, value: `ü${index}` }), {
            applied: true,
        });
    }
    t.match(await client.getEntry("a/3"), { key: "a/3", value: "ü3", revision: 3 });
    t.equal(await client.getEntry("a/9"), undefined);
    const listing = await client.listSnapshot("a/");
    t.strictSame(
        listing.entries.map(entry => entry.value),
        [1, 2, 3, 4, 5, 6, 7].map(index => `ü${index}`),
    );
    t.equal(listing.position.revision, 7);
    const refused = await client.swapEntry({ key: "a/3", expectedRevision: 9, value: "other" });
    t.match(refused, { applied: false, current: { value: "ü3", revision: 3 } });
    t.match(await client.swapEntry({ key: "a/3", expectedRevision: 3, value: undefined }), { applied: true });
    t.match(await client.swapEntry({ key: "a/3", expectedRevision: 3, value: "x" }), {
        applied: false,
        current: undefined,
    });
});

t.test("a watch gives changes and deletions after a revision", async t => {
    const { client } = await startStore(t);
    await client.swapEntry({ key: "a/1", expectedRevision: 0, value: "one" });
    await client.swapEntry({ key: "a/2", expectedRevision: 0, value: "two" });
    await client.swapEntry({ key: "a/1", expectedRevision: 1, value: undefined });
    const answer = await client.watchEntries("a/", 1, 100);
    t.match(answer, { position: { era: 0, revision: 3 }, changed: [{ key: "a/2" }], deleted: ["a/1"] });
});

t.test("failures tell whether a call may have had an effect", async t => {
    const { standin, client } = await startStore(t);
    const write = () => client.swapEntry({ key: `k${Math.random()}`, expectedRevision: 0, value: "v" });
    standin.faults.status = 503;
    t.equal(await getCode(write()), ErrorCode.PlatformUnavailable);
    standin.faults.status = 429;
    t.equal(await getCode(write()), ErrorCode.PlatformUnavailable);
    standin.faults.status = undefined;
    standin.faults.lostAnswers = 1;
    t.equal(await getCode(write()), ErrorCode.PlatformUncertain);
    standin.faults.isHistoryLost = true;
    t.equal(await getCode(client.watchEntries("a/", 1, 100)), ErrorCode.HistoryLost);
    standin.faults.isSilent = true;
    t.equal(await getCode(client.getEntry("a")), ErrorCode.PlatformUncertain);
    standin.faults.isSilent = false;
    t.equal(await getCode(client.getEntry("a")), undefined, "a new connection answers");
    await standin.close();
    t.equal(await getCode(write()), ErrorCode.PlatformUncertain, "the kept connection was cut under the call");
    t.equal(await getCode(write()), ErrorCode.PlatformUnavailable, "no connection, so no effect");
});

t.test("one process at a time holds an office, also when the answer that grants it is lost", async t => {
    const { standin, client } = await startStore(t);
    const create = (holder: string) => createLeaderLease({ service: client, key: "office", holder, ttlMs: 60_000 });
    const first = create("one");
    const second = create("two");
    standin.faults.lostAnswers = 1;
    await t.rejects(first.acquireOrRenew());
    const term = await first.acquireOrRenew();
    t.ok(term, "the office is won although the first answer was lost");
    t.equal(await second.acquireOrRenew(), undefined);
    t.equal(await first.acquireOrRenew(), term);
    standin.store.endLeases();
    const later = await second.acquireOrRenew();
    t.ok((later ?? 0) > (term ?? 0), "a later office has a higher term");
    t.equal(second.getTerm(), later);
});

t.test("a listing whose pages lie before and after a restore is read again", async t => {
    const { standin, client } = await startStore(t);
    for (let index = 1; index <= 4; index++) {
        await client.swapEntry({ key: `a/${index}`, expectedRevision: 0, value: `old ${index}` });
    }
    const backup = standin.store.takeBackup();
    const list = standin.store.listEntries.bind(standin.store);
    let pages = 0;
    standin.store.listEntries = prefix => {
        pages++;
        if (pages === 2) {
            standin.store.restoreBackup(backup);
            standin.store.overwriteEntry("a/1", "new 1");
        }
        return list(prefix);
    };
    const listing = await client.listSnapshot("a/");
    t.match(listing, { position: { era: 1, revision: 5 } });
    t.equal(listing.entries[0]?.value, "new 1");
    t.equal(listing.entries.length, 4);
});

t.test(
    "a lease of an earlier era counts as ended, though the restored store gives out its identifier again",
    async t => {
        const { standin, client } = await startStore(t);
        const backup = standin.store.takeBackup();
        const lease = await client.grantLease(60_000);
        standin.store.restoreBackup(backup);
        const other = createStoreClient(`127.0.0.1:${standin.port}`);
        await other.grantLease(60_000);
        t.equal(await client.renewLease(lease), false);
        const write = client.swapEntry({ key: "a", expectedRevision: 0, value: "one", leaseId: lease });
        t.equal(await getCode(write), ErrorCode.LeaseEnded);
        t.equal(await client.getEntry("a"), undefined, "nothing is written under the lease of another process");
    },
);

t.test(
    "a term of leadership is higher than all before, also after a restore, and no two leaders have the same",
    async t => {
        const { standin, client } = await startStore(t);
        const create = (holder: string) => createLeaderLease({ service: client, key: "office", holder, ttlMs: 60_000 });
        const [first, second, third] = ["one", "two", "three"].map(create);
        const backup = standin.store.takeBackup();
        await client.swapEntry({ key: "x", expectedRevision: 0, value: "a" });
        const term = (await first?.acquireOrRenew()) ?? 0;
        standin.store.restoreBackup(backup);
        const next = (await second?.acquireOrRenew()) ?? 0;
        t.ok(next > term, `${next} after ${term}`);
        standin.store.restoreBackup(backup);
        const last = (await third?.acquireOrRenew()) ?? 0;
        t.ok(last > next, `${last} after ${next}`);
    },
);

t.test("a leader whose entry a restored store has kept holds it by a lease of its own", async t => {
    const { standin, client } = await startStore(t);
    const create = (holder: string, ttlMs = 60_000) =>
        createLeaderLease({ service: client, key: "office", holder, ttlMs });
    const before = create("one");
    const term = (await before.acquireOrRenew()) ?? 0;
    standin.store.restoreBackup(standin.store.takeBackup());
    const restarted = create("one");
    const next = (await restarted.acquireOrRenew()) ?? 0;
    t.ok(next > term);
    standin.store.endLease("1");
    t.equal((await client.getEntry("office"))?.value, "one", "the end of the earlier lease doesn't end the leadership");
    t.equal(await create("two").acquireOrRenew(), undefined);
});

t.test("a process whose lease ended before its first answer came can still be elected", async t => {
    const { standin, client } = await startStore(t);
    const lease = createLeaderLease({ service: client, key: "office", holder: "one", ttlMs: 60_000 });
    standin.faults.lostAnswers = 1;
    await t.rejects(lease.acquireOrRenew());
    standin.store.endLeases();
    await lease.acquireOrRenew();
    t.ok(await lease.acquireOrRenew());
});
