import { type KnownMap, type PackedChange, type PackedMap, encodeChange, encodeMap } from "./PackedMap.js";
import type { ExpertMap } from "./RankReport.js";

/** Encodes the maps of one group, and caches each encoding for all its agents. */
export interface MapEncoder {
    /** Sorts the experts of each rank, so that a map has the same encoding whether sent whole or built from deltas. */
    orderExperts(map: ExpertMap): ExpertMap;
    encodeWhole(map: ExpertMap): PackedMap;
    /** Encodes the change from a map that an agent has; undefined if it has no map of that size. */
    encodeFrom(known: KnownMap | undefined, map: ExpertMap): PackedChange | undefined;
}

/** Creates an encoder. */
export function createMapEncoder(): MapEncoder {
    const ordered = new WeakMap<ExpertMap, ExpertMap>();
    const packed = new WeakMap<ExpertMap, PackedMap>();
    /** Changes by the later map, and then by the earlier one. */
    const changes = new WeakMap<ExpertMap, WeakMap<ExpertMap, PackedChange>>();
    return {
        orderExperts: map => getOrMake(ordered, map, orderAll),
        encodeWhole: map => getOrMake(packed, map, encodeMap),
        encodeFrom(known, map) {
            if (known === undefined) {
                return undefined;
            }
            const byEarlier = getOrMake(changes, map, () => new WeakMap<ExpertMap, PackedChange>());
            const change = byEarlier.get(known.map) ?? encodeChange(known, map);
            if (change !== undefined) {
                byEarlier.set(known.map, change);
            }
            return change;
        },
    };
}

function orderAll(map: ExpertMap): ExpertMap {
    return map.map(ofSet => ofSet.map(experts => [...experts].sort((left, right) => left - right)));
}

function getOrMake<T>(made: WeakMap<ExpertMap, T>, map: ExpertMap, make: (map: ExpertMap) => T): T {
    const value = made.get(map) ?? make(map);
    made.set(map, value);
    return value;
}
