import { mixHash32 } from "../../src/utils/digest.js";
import { readMonotonicMs, waitFor } from "../../src/utils/time.js";
import { type Random, createRandom } from "../scheduling/Random.js";
import { createRunRecord } from "./RunRecord.js";
import { startSoakCallers } from "./SoakCallers.js";
import { checkSoak } from "./SoakChecker.js";
import { type PlayedFault, startSoakFaults } from "./SoakFaults.js";
import { startSoakFleet, waitUntilReady } from "./SoakFleet.js";
import { LASTING_KEY, REVOKED_KEY, startSoakPlatform } from "./SoakPlatform.js";

/** Options of a soak. */
export interface SoakOptions {
    seed: number;
    /** Time in which faults are played, in milliseconds. */
    faultsMs: number;
    routers: number;
    endpoints: number;
    /** Requests a second, over all routers. */
    perSecond: number;
    /** Mean time between two faults, in milliseconds. */
    meanGapMs: number;
}

/** Result of a soak. */
export interface SoakResult {
    seed: number;
    findings: string[];
    requests: number;
    served: number;
    faults: readonly PlayedFault[];
    /** Folder of the logs. */
    folder: string;
}

/** Size of a run by hand. */
export const USUAL_SOAK: Omit<SoakOptions, "seed" | "faultsMs"> = {
    routers: 3,
    endpoints: 6,
    perSecond: 60,
    meanGapMs: 900,
};

/** Time without faults at the end, in milliseconds: recovery, and as long again to see it. */
const CALM_MS = 16_000;
const STATUS_SUCCESS = 200;

/**
 * Plays a soak: real routers as processes, faults from outside, promises checked by what callers and endpoints saw.
 * @param options - Seed and sizes.
 */
export async function playSoak(options: SoakOptions): Promise<SoakResult> {
    const record = createRunRecord();
    const fleet = await startSoakFleet(options.routers);
    const platform = await startSoakPlatform({
        store: fleet.store.store,
        record,
        random: createStream(options.seed, 1),
        endpoints: options.endpoints,
    });
    try {
        await waitUntilReady(fleet);
        const callers = startSoakCallers({
            fleet,
            random: createStream(options.seed, 2),
            perSecond: options.perSecond,
            keys: [LASTING_KEY, REVOKED_KEY],
        });
        const random = createStream(options.seed, 0);
        const faults = startSoakFaults({
            fleet,
            platform,
            random,
            restoreRandom: createRandom(mixHash32(options.seed ^ RESTORE_SEED)),
            evacuationRandom: createRandom(mixHash32(options.seed ^ EVACUATION_SEED)),
            meanGapMs: options.meanGapMs,
        });
        await waitFor(options.faultsMs);
        await faults.stop();
        const calmFrom = readMonotonicMs();
        await waitFor(CALM_MS);
        await callers.stop();
        const { attempts } = callers;
        const { announcements } = platform;
        const { ownEnds } = fleet;
        return {
            seed: options.seed,
            findings: checkSoak({ attempts, record, faults: faults.played, announcements, ownEnds, calmFrom }),
            requests: attempts.length,
            served: attempts.filter(attempt => attempt.status === STATUS_SUCCESS && attempt.isWhole).length,
            faults: faults.played,
            folder: fleet.folder,
        };
    } finally {
        await fleet.close();
        await platform.close();
    }
}

/** Set the restores and the evacuations apart from the streams of all seeds. */
const RESTORE_SEED = 0x5eed;
const EVACUATION_SEED = 0xe7ac;
const STREAMS = 3;

/** Creates one of the independent streams of random numbers of a seed; close seeds give streams that differ at once. */
function createStream(seed: number, stream: number): Random {
    return createRandom(mixHash32(STREAMS * seed + stream));
}
