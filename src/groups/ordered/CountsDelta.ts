import type { RankCounts } from "./RankReport.js";

/** Choices of experts between two looks at a rank, in a compact form for the way to the coordinator. */
export interface CountsDelta {
    epoch: number;
    step: number;
    /** Choices that one unit of `units` stands for. */
    scale: number;
    /** One byte for each expert, sets one after the other, in base64. */
    units: string;
}

/** Makes deltas on the side of the rank. */
export interface CountsEncoder {
    /** Encodes what was chosen since the last look; nothing at the first look, and at the first of an epoch. */
    encodeCounts(counts: RankCounts): CountsDelta;
}

/** Sums deltas up on the side of the coordinator. */
export interface CountsDecoder {
    /** Gets counts that grow as the rank's own do, within the rounding of the deltas. */
    decodeCounts(delta: CountsDelta): RankCounts;
}

const MAX_UNITS = 255;

/** Creates an encoder that has seen no counts. */
export function createCountsEncoder(): CountsEncoder {
    let last: RankCounts | undefined;
    return {
        encodeCounts(counts) {
            const before = last?.epoch === counts.epoch ? last.counts : counts.counts;
            last = counts;
            // A rank that has started again counts from 0 in the same epoch.
            const added = counts.counts.map((count, at) => Math.max(0, count - (before[at] ?? 0)));
            const scale = Math.max(1, added.reduce((most, count) => Math.max(most, count), 0) / MAX_UNITS);
            const units = Uint8Array.from(added, count => Math.round(count / scale));
            return { epoch: counts.epoch, step: counts.step, scale, units: Buffer.from(units).toString("base64") };
        },
    };
}

/** Creates a decoder whose counts begin at 0. */
export function createCountsDecoder(): CountsDecoder {
    let epoch: number | undefined;
    let sums: number[] = [];
    return {
        decodeCounts(delta) {
            const units = Buffer.from(delta.units, "base64");
            if (epoch !== delta.epoch || sums.length !== units.length) {
                epoch = delta.epoch;
                sums = new Array<number>(units.length).fill(0);
            }
            sums = sums.map((sum, at) => sum + (units[at] ?? 0) * delta.scale);
            return { epoch: delta.epoch, step: delta.step, counts: sums };
        },
    };
}
