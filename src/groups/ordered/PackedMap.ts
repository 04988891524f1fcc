import type { ExpertMap } from "./RankReport.js";

/** A map and its version, as an agent has it. */
export interface KnownMap {
    version: number;
    map: ExpertMap;
}

/**
 * Compact encoding of a map, less than half the size of its JSON at 72 ranks. For each set and rank, the numbers hold
 * the count of experts, followed by the experts.
 */
export interface PackedMap extends PackedNumbers {
    layerSets: number;
    ranks: number;
}

/**
 * Delta from one map to the next, for agents that have the earlier one. For each changed cell (set and rank), the numbers
 * hold its distance from the previous changed cell, the counts of removed and added experts, and those experts.
 */
export interface PackedChange extends PackedNumbers {
    /** Version of the earlier map. */
    base: number;
}

/** Fixed-width encoding of non-negative integers. */
export interface PackedNumbers {
    /** Bytes of a number, 1 or 2. */
    width: number;
    /** In base64. */
    numbers: string;
}

const MAX_BYTE = 255;

/**
 * Packs a map.
 * @param map - Map whose experts are numbered below 65,536.
 */
export function encodeMap(map: ExpertMap): PackedMap {
    const numbers = map.flatMap(ofSet => ofSet.flatMap(experts => [experts.length, ...experts]));
    return { layerSets: map.length, ranks: map[0]?.length ?? 0, ...encodeNumbers(numbers) };
}

/**
 * Unpacks a map.
 * @param packed - Packed map.
 * @returns Undefined if the counts do not match the data.
 */
export function decodeMap(packed: PackedMap): ExpertMap | undefined {
    const numbers = decodeNumbers(packed);
    if (numbers === undefined) {
        return undefined;
    }
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

/**
 * Packs the change from one map to another of the same size.
 * @param base - Earlier map and its version.
 * @param map - Later map, whose experts are in ascending order, as the earlier one's are.
 * @returns Undefined if the maps differ in size.
 */
export function encodeChange(base: KnownMap, map: ExpertMap): PackedChange | undefined {
    const earlier = base.map.flat();
    const later = map.flat();
    if (base.map.length !== map.length || earlier.length !== later.length) {
        return undefined;
    }
    const numbers: number[] = [];
    let last = 0;
    for (const [cell, experts] of later.entries()) {
        const before = earlier[cell] ?? [];
        const leaving = before.filter(expert => !experts.includes(expert));
        const coming = experts.filter(expert => !before.includes(expert));
        if (leaving.length + coming.length > 0) {
            numbers.push(cell - last, leaving.length, coming.length, ...leaving, ...coming);
            last = cell;
        }
    }
    return { base: base.version, ...encodeNumbers(numbers) };
}

/**
 * Applies a delta to the earlier map.
 * @returns Undefined if the delta does not match the map.
 */
export function applyChange(base: ExpertMap, change: PackedChange): ExpertMap | undefined {
    const numbers = decodeNumbers(change);
    const map = base.map(ofSet => ofSet.map(experts => [...experts]));
    const cells = map.flat();
    let cell = 0;
    for (let at = 0; numbers !== undefined && at < numbers.length;) {
        const [gap = 0, leavingCount = 0, comingCount = 0] = numbers.subarray(at, at + 3);
        cell += gap;
        const leavingEnd = at + 3 + leavingCount;
        const leaving = numbers.subarray(at + 3, leavingEnd);
        const coming = numbers.subarray(leavingEnd, leavingEnd + comingCount);
        const experts = cells[cell];
        if (experts === undefined || coming.length !== comingCount || !leaving.every(one => experts.includes(one))) {
            return undefined;
        }
        const kept = experts.filter(expert => !leaving.includes(expert));
        experts.splice(0, experts.length, ...[...kept, ...coming].sort((left, right) => left - right));
        at = leavingEnd + comingCount;
    }
    return numbers && map;
}

function encodeNumbers(numbers: readonly number[]): PackedNumbers {
    const isSmall = numbers.every(number => number <= MAX_BYTE);
    const bytes = isSmall ? Uint8Array.from(numbers) : new Uint8Array(Uint16Array.from(numbers).buffer);
    return {
        width: isSmall ? Uint8Array.BYTES_PER_ELEMENT : Uint16Array.BYTES_PER_ELEMENT,
        numbers: Buffer.from(bytes).toString("base64"),
    };
}

function decodeNumbers(packed: PackedNumbers): Uint8Array | Uint16Array | undefined {
    const bytes = Uint8Array.from(Buffer.from(packed.numbers, "base64"));
    if (bytes.length % packed.width !== 0) {
        return undefined;
    }
    return packed.width === Uint8Array.BYTES_PER_ELEMENT ? bytes : new Uint16Array(bytes.buffer);
}
