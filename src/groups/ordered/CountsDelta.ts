import type { RankCounts } from "./RankReport.js";

/** Expert choices at a rank between two reads, encoded compactly for the coordinator. */
export interface CountsDelta {
    epoch: number;
    step: number;
    /** Number of choices that one unit of `units` represents. */
    scale: number;
    /** One byte per expert, sets concatenated, in base64. */
    units: string;
}

/** Encodes deltas at the rank's agent. */
export interface CountsEncoder {
    /** Encodes the choices since the previous call; all zeros for the first call of an epoch. */
    encodeCounts(counts: RankCounts): CountsDelta;
}

/** Accumulates deltas at the coordinator. */
export interface CountsDecoder {
    /** Returns counts that grow as the rank's own do, up to the rounding of the deltas. */
    decodeCounts(delta: CountsDelta): RankCounts;
}

const MAX_UNITS = 255;

/** Creates an encoder that has seen no counts. */
export function createCountsEncoder(): CountsEncoder {
    let previous: RankCounts | undefined;
    return {
        encodeCounts(counts) {
            const before = previous?.epoch === counts.epoch ? previous.counts : counts.counts;
            previous = counts;
            // A restarted rank counts from 0 in the same epoch.
            const added = counts.counts.map((count, at) => Math.max(0, count - (before[at] ?? 0)));
            return { epoch: counts.epoch, step: counts.step, ...encodeUnits(added) };
        },
    };
}

/**
 * Adds up the deltas of several ranks, as far as they have the epoch of the first.
 * @param deltas - Deltas.
 * @returns Undefined if there are none.
 */
export function sumDeltas(deltas: readonly CountsDelta[]): CountsDelta | undefined {
    const [first] = deltas;
    if (first === undefined) {
        return undefined;
    }
    const sums: number[] = [];
    let step = 0;
    for (const delta of deltas.filter(({ epoch }) => epoch === first.epoch)) {
        step = Math.max(step, delta.step);
        Buffer.from(delta.units, "base64").forEach((units, at) => {
            sums[at] = (sums[at] ?? 0) + units * delta.scale;
        });
    }
    return { epoch: first.epoch, step, ...encodeUnits(sums) };
}

function encodeUnits(added: readonly number[]): Pick<CountsDelta, "scale" | "units"> {
    const scale = Math.max(1, added.reduce((most, count) => Math.max(most, count), 0) / MAX_UNITS);
    const units = Uint8Array.from(added, count => Math.round(count / scale));
    return { scale, units: Buffer.from(units).toString("base64") };
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
