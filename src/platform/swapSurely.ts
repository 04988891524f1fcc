import { ErrorCode, hasErrorCode } from "../errors/index.js";
import { waitFor } from "../utils/time.js";
import type { KeyValueEntry, KeyValueService, SwapAnswer, SwapOptions } from "./KeyValueService.js";

/** Bounds of the reads that settle a write whose answer was lost. */
export interface SwapSurelyOptions {
    /** Number of reads. */
    reads?: number;
    /** Pause before each read, in milliseconds. */
    pauseMs?: number;
}

const DEFAULT_READS = 3;
const DEFAULT_PAUSE_MS = 100;

/**
 * Swaps an entry, and settles by reading whether a write took effect whose answer was lost.
 * Rejects with `PlatformUncertain` if that stays unknown.
 * @param service - Key-value service.
 * @param swap - Write to make.
 * @param isOurs - Tells whether an entry was written by this very call.
 * @param options - Bounds of the reads.
 */
export async function swapSurely(
    service: KeyValueService,
    swap: SwapOptions,
    isOurs: (entry: KeyValueEntry) => boolean,
    options: SwapSurelyOptions = {},
): Promise<SwapAnswer> {
    try {
        const answer = await service.swapEntry(swap);
        const isEarlierTry = !answer.applied && answer.current !== undefined && isOurs(answer.current);
        return isEarlierTry ? { ...answer, applied: true } : answer;
    } catch (error) {
        if (!hasErrorCode(error, ErrorCode.PlatformUncertain)) {
            throw error;
        }
        return settleByReading(service, swap, isOurs, options, error);
    }
}

async function settleByReading(
    service: KeyValueService,
    swap: SwapOptions,
    isOurs: (entry: KeyValueEntry) => boolean,
    options: SwapSurelyOptions,
    lost: unknown,
): Promise<SwapAnswer> {
    for (let read = 0; read < (options.reads ?? DEFAULT_READS); read++) {
        await waitFor(options.pauseMs ?? DEFAULT_PAUSE_MS);
        const answer = await readOutcome(service, swap, isOurs);
        if (answer !== undefined) {
            return answer;
        }
    }
    throw lost;
}

/** Writes again under the same expected revision: either the first write holds, or this one decides. */
async function readOutcome(
    service: KeyValueService,
    swap: SwapOptions,
    isOurs: (entry: KeyValueEntry) => boolean,
): Promise<SwapAnswer | undefined> {
    try {
        const answer = await service.swapEntry(swap);
        const isWritten = answer.current !== undefined && isOurs(answer.current);
        return isWritten ? { ...answer, applied: true } : answer;
    } catch {
        return undefined;
    }
}
