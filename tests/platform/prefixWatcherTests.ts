import t from "tap";
import { ErrorCode, createError } from "../../src/errors/index.js";
import { type KeyValueEntry, type WatchAnswer, startPrefixWatcher } from "../../src/platform/index.js";
import { waitFor } from "../../src/utils/time.js";
import { type KeyValueStore, createKeyValueStore } from "../../standins/platform/KeyValueStore.js";

const WAIT_MS = 60_000;
const SETTLE_MS = 30;

function startRecorder(store: KeyValueStore, isPaused?: () => boolean) {
    const seen: string[] = [];
    const watcher = startPrefixWatcher({
        service: store,
        prefix: "a/",
        waitMs: WAIT_MS,
        periodMs: 0,
        answerTimeoutMs: WAIT_MS,
        isPaused,
        listener: {
            onListing: entries => seen.push(`listed ${entries.map(entry => entry.value).join(" ")}`),
            onChanged: (entry: KeyValueEntry) => seen.push(`changed ${entry.value}`),
            onDeleted: key => seen.push(`deleted ${key}`),
            onAnswer: () => undefined,
            onFailure: () => seen.push("failed"),
        },
    });
    return { seen, watcher };
}

t.test("changes after the listing are reported once, in order", async t => {
    const store = createKeyValueStore();
    await store.swapEntry({ key: "a/1", expectedRevision: 0, value: "one" });
    const { seen, watcher } = startRecorder(store);
    await waitFor(SETTLE_MS);
    await store.swapEntry({ key: "a/2", expectedRevision: 0, value: "two" });
    await waitFor(SETTLE_MS);
    await store.swapEntry({ key: "a/1", expectedRevision: 1, value: undefined });
    await waitFor(SETTLE_MS);
    await watcher.stop();
    t.strictSame(seen, ["listed one", "changed two", "deleted a/1"]);
});

t.test("a new listing is read immediately when the history is lost", async t => {
    const store = createKeyValueStore();
    let isLost = true;
    const watch = store.watchEntries.bind(store);
    store.watchEntries = (prefix, revision, waitMs, signal): Promise<WatchAnswer> => {
        if (isLost) {
            isLost = false;
            return Promise.reject(createError({ code: ErrorCode.HistoryLost, expected: "changes", got: "none" }));
        }
        return watch(prefix, revision, waitMs, signal);
    };
    const { seen, watcher } = startRecorder(store);
    await waitFor(SETTLE_MS);
    await watcher.stop();
    t.strictSame(seen, ["listed ", "listed "]);
});

t.test("a restart aborts a watch that hangs on a dead connection", async t => {
    const store = createKeyValueStore();
    let hangs = 0;
    const watch = store.watchEntries.bind(store);
    store.watchEntries = (prefix, revision, waitMs, signal): Promise<WatchAnswer> => {
        hangs++;
        return hangs === 1
            ? new Promise((resolve, reject) => signal?.addEventListener("abort", () => reject(new Error("aborted"))))
            : watch(prefix, revision, waitMs, signal);
    };
    const { seen, watcher } = startRecorder(store);
    await waitFor(SETTLE_MS);
    await store.swapEntry({ key: "a/1", expectedRevision: 0, value: "one" });
    await waitFor(SETTLE_MS);
    t.strictSame(seen, ["listed "], "the hanging watch reports no changes");
    watcher.restart();
    await waitFor(SETTLE_MS);
    await watcher.stop();
    t.strictSame(seen, ["listed ", "listed one"]);
});

t.test("a paused watcher makes no calls, and reads a new listing when it goes on", async t => {
    const store = createKeyValueStore();
    await store.swapEntry({ key: "a/1", expectedRevision: 0, value: "one" });
    let isPaused = false;
    const { seen, watcher } = startRecorder(store, () => isPaused);
    await waitFor(SETTLE_MS);
    isPaused = true;
    watcher.restart();
    await waitFor(SETTLE_MS);
    await store.swapEntry({ key: "a/2", expectedRevision: 0, value: "two" });
    await waitFor(SETTLE_MS);
    t.strictSame(seen, ["listed one"]);
    isPaused = false;
    await waitFor(SETTLE_MS * 3);
    await watcher.stop();
    t.strictSame(seen, ["listed one", "listed one two"]);
});

t.test("a listing under way when the watcher is restarted is not reported", async t => {
    const store = createKeyValueStore();
    const list = store.listSnapshot.bind(store);
    let isFirst = true;
    store.listSnapshot = async (...call) => {
        const listing = await list(...call);
        if (isFirst) {
            isFirst = false;
            await waitFor(SETTLE_MS);
        }
        return listing;
    };
    await store.swapEntry({ key: "a/1", expectedRevision: 0, value: "one" });
    const { seen, watcher } = startRecorder(store);
    await store.swapEntry({ key: "a/2", expectedRevision: 0, value: "two" });
    watcher.restart();
    await waitFor(SETTLE_MS * 3);
    await watcher.stop();
    t.strictSame(seen, ["listed one two"]);
});

t.test("changes that a restored store made below the last revision are not missed", async t => {
    const store = createKeyValueStore();
    await store.swapEntry({ key: "a/1", expectedRevision: 0, value: "one" });
    const backup = store.takeBackup();
    await store.swapEntry({ key: "a/2", expectedRevision: 0, value: "lost" });
    const { seen, watcher } = startRecorder(store);
    await waitFor(SETTLE_MS);
    store.restoreBackup(backup);
    await store.swapEntry({ key: "a/3", expectedRevision: 0, value: "three" });
    await waitFor(SETTLE_MS);
    await store.swapEntry({ key: "a/4", expectedRevision: 0, value: "four" });
    await waitFor(SETTLE_MS);
    await watcher.stop();
    t.strictSame(seen, ["listed one lost", "listed one three four"]);
});

t.test("a change that a restored store made at a lower revision of the same key is reported", async t => {
    const store = createKeyValueStore();
    await store.swapEntry({ key: "a/1", expectedRevision: 0, value: "one" });
    const backup = store.takeBackup();
    for (const revision of [1, 2, 3]) {
        await store.swapEntry({ key: "a/1", expectedRevision: revision, value: `lost ${revision}` });
    }
    const { seen, watcher } = startRecorder(store);
    await waitFor(SETTLE_MS);
    store.restoreBackup(backup);
    await store.swapEntry({ key: "b/1", expectedRevision: 0, value: "other" });
    await store.swapEntry({ key: "b/1", expectedRevision: 2, value: "other" });
    await store.swapEntry({ key: "a/1", expectedRevision: 1, value: "four" });
    await store.swapEntry({ key: "b/1", expectedRevision: 3, value: "other" });
    await store.swapEntry({ key: "a/2", expectedRevision: 0, value: "two" });
    await waitFor(SETTLE_MS);
    await watcher.stop();
    t.equal(seen.at(-1), "listed four two");
});
