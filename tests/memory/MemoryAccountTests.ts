import t from "tap";
import { type MemoryAccount, type MemoryHold, createMemoryAccount } from "../../src/memory/index.js";

const BOUND_BYTES = 800_000;
/** Seven eighths of the bound: holds of more than 64 KiB can't use the rest. */
const LARGE_BOUND_BYTES = 700_000;

interface Bench {
    account: MemoryAccount;
    evicted: string[];
    openHold(name: string, canEvict?: boolean): MemoryHold;
    passTime(ms: number): void;
}

function createBench(): Bench {
    let now = 0;
    const evicted: string[] = [];
    const account = createMemoryAccount({
        boundBytes: BOUND_BYTES,
        getNow: () => now,
        onEvicted: () => undefined,
        onRefused: () => undefined,
    });
    return {
        account,
        evicted,
        passTime: ms => (now += ms),
        openHold(name, canEvict = true) {
            const hold = account.openHold(() => {
                if (canEvict) {
                    evicted.push(name);
                    hold.close();
                }
                return canEvict;
            });
            return hold;
        },
    };
}

t.test("what was held longest without progress is given up first, and what is needed for work never", async t => {
    const { account, evicted, openHold, passTime } = createBench();
    const [running, older, newer] = [openHold("running", false), openHold("older"), openHold("newer")];
    [running, older, newer].forEach(hold => hold.reserve(200_000));
    passTime(100);
    older.recordProgress();
    passTime(100);
    newer.recordProgress();
    passTime(1_000);
    t.ok(openHold("next").reserve(200_000));
    t.strictSame(evicted, ["older"]);
    t.equal(account.getHeldBytes(), 600_000);
});

t.test("holds with progress are not given up, as none of them would complete otherwise", async t => {
    const { account, evicted, openHold, passTime } = createBench();
    openHold("first").reserve(LARGE_BOUND_BYTES);
    passTime(100);
    t.notOk(openHold("next").reserve(100_000));
    t.strictSame(evicted, []);
    t.ok(openHold("small").reserve(10_000), "small requests have a reserve");
    t.equal(account.getHeldBytes(), LARGE_BOUND_BYTES + 10_000);
});

t.test("one request inside the limits has room on an idle process, whatever its memory", async t => {
    const { account, openHold } = createBench();
    t.notOk(openHold("too large").reserve(5_000_000));
    account.setLargestRequest(5_000_000);
    t.ok(openHold("largest").reserve(5_000_000));
});
