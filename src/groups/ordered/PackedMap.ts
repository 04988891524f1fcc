import type { ExpertMap } from "./RankReport.js";

/** A map in a compact form for the way to the agents: with 72 ranks, less than half of its JSON. */
export interface PackedMap {
    layerSets: number;
    ranks: number;
    /** Bytes of a number, 1 or 2. */
    width: number;
    /** For each set and rank the count of its experts and the experts, in base64. */
    numbers: string;
}

const MAX_BYTE = 255;

/**
 * Packs a map.
 * @param map - Map whose experts are numbered below 65,536.
 */
export function encodeMap(map: ExpertMap): PackedMap {
    const numbers = map.flatMap(ofSet => ofSet.flatMap(experts => [experts.length, ...experts]));
    const isSmall = numbers.every(number => number <= MAX_BYTE);
    const bytes = isSmall ? Uint8Array.from(numbers) : new Uint8Array(Uint16Array.from(numbers).buffer);
    return {
        layerSets: map.length,
        ranks: map[0]?.length ?? 0,
        width: isSmall ? Uint8Array.BYTES_PER_ELEMENT : Uint16Array.BYTES_PER_ELEMENT,
        numbers: Buffer.from(bytes).toString("base64"),
    };
}

/**
 * Unpacks a map.
 * @param packed - Packed map.
 * @returns Undefined if the counts don't fit the bytes.
 */
export function decodeMap(packed: PackedMap): ExpertMap | undefined {
    const bytes = Uint8Array.from(Buffer.from(packed.numbers, "base64"));
    if (bytes.length % packed.width !== 0) {
        return undefined;
    }
    const numbers = packed.width === Uint8Array.BYTES_PER_ELEMENT ? bytes : new Uint16Array(bytes.buffer);
    const map: number[][][] = [];
    let at = 0;
    for (let set = 0; set < packed.layerSets; set++) {
        const ofSet: number[][] = [];
        for (let rank = 0; rank < packed.ranks; rank++) {
            const count = numbers[at] ?? 0;
            ofSet.push([...numbers.subarray(at + 1, at + 1 + count)]);
            at += 1 + count;
        }
        map.push(ofSet);
    }
    return at === numbers.length ? map : undefined;
}
