import { ErrorCode, hasErrorCode } from "../errors/index.js";
import {
    type KeyValueEntry,
    KeyValueService,
    type Listing,
    type ListingOptions,
    type SwapAnswer,
    type SwapOptions,
    type WatchAnswer,
} from "./KeyValueService.js";

/** How a call to the service ended. */
export enum CallResult {
    Answered = "answered",
    /** The service turned the call away; it had no effect. */
    TurnedAway = "turned-away",
    /** The answer was lost; the call may have had its effect. */
    Lost = "lost",
    /** The history that a watch asked for is dropped, or the answer can't be read. */
    Failed = "failed",
}

/**
 * Wraps a service so that its calls are counted.
 * @param service - Service that does the work.
 * @param recordCall - Takes each call when it has ended.
 */
export function createCountedService(
    service: KeyValueService,
    recordCall: (operation: string, result: CallResult) => void,
): KeyValueService {
    return new (class CountedService extends KeyValueService {
        override getEntry(key: string): Promise<KeyValueEntry | undefined> {
            return runCounted("get", service.getEntry(key));
        }

        override listEntries(prefix: string): Promise<KeyValueEntry[]> {
            return runCounted("list", service.listEntries(prefix));
        }

        override listSnapshot(prefix: string, options?: ListingOptions): Promise<Listing> {
            return runCounted("list", service.listSnapshot(prefix, options));
        }

        override swapEntry(options: SwapOptions): Promise<SwapAnswer> {
            return runCounted("swap", service.swapEntry(options));
        }

        override grantLease(ttlMs: number): Promise<string> {
            return runCounted("grant", service.grantLease(ttlMs));
        }

        override renewLease(leaseId: string): Promise<boolean> {
            return runCounted("renew", service.renewLease(leaseId));
        }

        override watchEntries(
            prefix: string,
            afterRevision: number,
            timeoutMs: number,
            signal?: AbortSignal,
        ): Promise<WatchAnswer> {
            return runCounted("watch", service.watchEntries(prefix, afterRevision, timeoutMs, signal));
        }
    })();

    async function runCounted<T>(operation: string, call: Promise<T>): Promise<T> {
        try {
            const answer = await call;
            recordCall(operation, CallResult.Answered);
            return answer;
        } catch (error) {
            recordCall(operation, classifyFailure(error));
            throw error;
        }
    }
}

function classifyFailure(error: unknown): CallResult {
    if (hasErrorCode(error, ErrorCode.PlatformUnavailable)) {
        return CallResult.TurnedAway;
    }
    return hasErrorCode(error, ErrorCode.PlatformUncertain) ? CallResult.Lost : CallResult.Failed;
}
