import * as fc from "fast-check";
import t from "tap";
import { createCountsDecoder, createCountsEncoder } from "../../../src/groups/ordered/CountsDelta.js";
import { applyChange, decodeMap, encodeChange, encodeMap } from "../../../src/groups/ordered/PackedMap.js";
import { runLimited } from "../../../src/utils/runLimited.js";
import { waitFor } from "../../../src/utils/time.js";

const MAP_BYTES = 5_000;

t.test("a decoded map equals the encoded one", t => {
    const experts = fc.array(fc.integer({ min: 0, max: 65_535 }), { maxLength: 5 });
    const sizes = fc.tuple(fc.integer({ min: 1, max: 4 }), fc.integer({ min: 1, max: 6 }));
    const map = sizes.chain(([sets, ranks]) =>
        fc.array(fc.array(experts, { minLength: ranks, maxLength: ranks }), { minLength: sets, maxLength: sets }),
    );
    fc.assert(fc.property(map, value => void t.strictSame(decodeMap(encodeMap(value)), value)));
    const packed = encodeMap([[[1, 2], [3]]]);
    t.equal(decodeMap({ ...packed, ranks: 3 }), undefined);
    t.equal(decodeMap({ ...packed, width: 2, numbers: "AAAA" }), undefined);
    t.end();
});

t.test("a delta turns the earlier map into the later one, and a delta that does not match is rejected", t => {
    const experts = fc.uniqueArray(fc.integer({ min: 0, max: 400 }), { maxLength: 5 });
    const cells = fc.array(fc.tuple(experts, experts), { minLength: 6, maxLength: 6 });
    const order = (list: number[]): number[] => [...list].sort((left, right) => left - right);
    fc.assert(
        fc.property(cells, value => {
            const [base, later] = [0, 1].map(side => [
                value.slice(0, 3).map(pair => order(pair[side] ?? [])),
                value.slice(3).map(pair => order(pair[side] ?? [])),
            ]);
            const change = encodeChange({ version: 7, map: base ?? [] }, later ?? []);
            t.equal(change?.base, 7);
            t.strictSame(change && applyChange(base ?? [], change), later);
        }),
    );
    const base = [[[1, 2], [3]]];
    t.equal(encodeChange({ version: 1, map: base }, [[[1, 2]]]), undefined, "another size");
    const change = encodeChange({ version: 1, map: base }, [[[1, 4], [3]]]);
    t.ok(change);
    t.equal(change && applyChange([[[1], [3]]], change), undefined, "a removed expert is not present");
    t.equal(change && applyChange([], change), undefined, "no such rank");
    t.equal(change && applyChange(base, { ...change, numbers: change.numbers.slice(0, 4) }), undefined, "cut short");
    t.end();
});

t.test("the map of 72 ranks takes at most 5 KB", t => {
    const map = Array.from({ length: 12 }, () => Array.from({ length: 72 }, (unused, rank) => [rank, rank + 1, 143]));
    t.ok(JSON.stringify(encodeMap(map)).length <= MAP_BYTES);
    t.end();
});

t.test("counts decoded from deltas grow as the rank's own, up to rounding", t => {
    const encoder = createCountsEncoder();
    const decoder = createCountsDecoder();
    const own = [0, 10, 100_000];
    decoder.decodeCounts(encoder.encodeCounts({ epoch: 1, step: 0, counts: [...own] }));
    let received = decoder.decodeCounts(encoder.encodeCounts({ epoch: 1, step: 1, counts: [5, 10, 100_200] }));
    t.strictSame(received, { epoch: 1, step: 1, counts: [5, 0, 200] });
    received = decoder.decodeCounts(encoder.encodeCounts({ epoch: 1, step: 2, counts: [5, 10_010, 200_200] }));
    t.ok(Math.abs((received.counts[2] ?? 0) - 100_200) < 1_000);
    t.ok(Math.abs((received.counts[1] ?? 0) - 10_000) < 1_000);
    received = decoder.decodeCounts(encoder.encodeCounts({ epoch: 2, step: 0, counts: [7, 7, 7] }));
    t.strictSame(received.counts, [0, 0, 0], "an epoch restarts the counts");
    t.strictSame(
        decoder.decodeCounts(encoder.encodeCounts({ epoch: 2, step: 1, counts: [1, 8, 7] })).counts,
        [0, 1, 0],
        "a restarted rank counts from 0",
    );
    t.end();
});

t.test("a limited run keeps its limit, its order, and waits for all when one fails", async t => {
    let running = 0;
    let most = 0;
    let ended = 0;
    const run = async (item: number): Promise<number> => {
        running++;
        most = Math.max(most, running);
        await waitFor(5);
        running--;
        ended++;
        if (item === 3) {
            throw new Error("third");
        }
        return item * 2;
    };
    t.strictSame(await runLimited([1, 2, 4, 5, 6], 2, run), [2, 4, 8, 10, 12]);
    t.equal(most, 2);
    ended = 0;
    await t.rejects(runLimited([1, 2, 3, 4, 5], 3, run), /third/);
    t.equal(ended, 5);
});
