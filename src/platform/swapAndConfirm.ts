import { ErrorCode, hasErrorCode } from "../errors/index.js";
import { waitFor } from "../utils/time.js";
import type { KeyValueEntry, KeyValueService, SwapAnswer, SwapOptions } from "./KeyValueService.js";

/** Options of the repeated swaps after a lost response. */
export interface SwapConfirmOptions {
    /** Number of repeated swaps. */
    attempts?: number;
    /** Pause before each repeated swap, in milliseconds. */
    pauseMs?: number;
}

const DEFAULT_ATTEMPTS = 3;
const DEFAULT_PAUSE_MS = 100;

/**
 * Swaps an entry, and repeats the swap if its response was lost, to find out whether it took effect.
 * Rejects with `PlatformUncertain` if that remains unknown.
 * @param service - Key-value service.
 * @param swap - Swap to execute.
 * @param isOwnWrite - Checks whether an entry was written by this call.
 * @param options - Number and pause of the repeated swaps.
 */
export async function swapAndConfirm(
    service: KeyValueService,
    swap: SwapOptions,
    isOwnWrite: (entry: KeyValueEntry) => boolean,
    options: SwapConfirmOptions = {},
): Promise<SwapAnswer> {
    try {
        const answer = await service.swapEntry(swap);
        const isOwnEarlierWrite = !answer.applied && answer.current !== undefined && isOwnWrite(answer.current);
        return isOwnEarlierWrite ? { ...answer, applied: true } : answer;
    } catch (error) {
        if (!hasErrorCode(error, ErrorCode.PlatformUncertain)) {
            throw error;
        }
        return confirmByRepeating(service, swap, isOwnWrite, options, error);
    }
}

async function confirmByRepeating(
    service: KeyValueService,
    swap: SwapOptions,
    isOwnWrite: (entry: KeyValueEntry) => boolean,
    options: SwapConfirmOptions,
    originalError: unknown,
): Promise<SwapAnswer> {
    for (let attempt = 0; attempt < (options.attempts ?? DEFAULT_ATTEMPTS); attempt++) {
        await waitFor(options.pauseMs ?? DEFAULT_PAUSE_MS);
        const answer = await repeatSwap(service, swap, isOwnWrite);
        if (answer !== undefined) {
            return answer;
        }
    }
    throw originalError;
}

/** Repeats the swap with the same expected revision: if the first one took effect, the current entry is its own write. */
async function repeatSwap(
    service: KeyValueService,
    swap: SwapOptions,
    isOwnWrite: (entry: KeyValueEntry) => boolean,
): Promise<SwapAnswer | undefined> {
    try {
        const answer = await service.swapEntry(swap);
        const isWritten = answer.current !== undefined && isOwnWrite(answer.current);
        return isWritten ? { ...answer, applied: true } : answer;
    } catch {
        return undefined;
    }
}
