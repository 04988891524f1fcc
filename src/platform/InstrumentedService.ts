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
    /** The service rejected the call, or it was never sent; it had no effect. */
    Rejected = "turned-away",
    /** The response was lost; the call may have taken effect. */
    Lost = "lost",
    /** The history that a watch asked for was compacted, or the response could not be parsed. */
    Failed = "failed",
}

/**
 * Wraps a service to record the result of each call.
 * @param service - Service to delegate to.
 * @param recordCall - Called when a call has ended.
 */
export function createInstrumentedService(
    service: KeyValueService,
    recordCall: (operation: string, result: CallResult) => void,
): KeyValueService {
    return new (class InstrumentedService extends KeyValueService {
        override getEntry(key: string): Promise<KeyValueEntry | undefined> {
            return runRecorded("get", service.getEntry(key));
        }

        override listEntries(prefix: string): Promise<KeyValueEntry[]> {
            return runRecorded("list", service.listEntries(prefix));
        }

        override listSnapshot(prefix: string, options?: ListingOptions): Promise<Listing> {
            return runRecorded("list", service.listSnapshot(prefix, options));
        }

        override swapEntry(options: SwapOptions): Promise<SwapAnswer> {
            return runRecorded("swap", service.swapEntry(options));
        }

        override grantLease(ttlMs: number): Promise<string> {
            return runRecorded("grant", service.grantLease(ttlMs));
        }

        override renewLease(leaseId: string): Promise<boolean> {
            return runRecorded("renew", service.renewLease(leaseId));
        }

        override watchEntries(
            prefix: string,
            afterRevision: number,
            timeoutMs: number,
            signal?: AbortSignal,
        ): Promise<WatchAnswer> {
            return runRecorded("watch", service.watchEntries(prefix, afterRevision, timeoutMs, signal));
        }
    })();

    async function runRecorded<T>(operation: string, call: Promise<T>): Promise<T> {
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
        return CallResult.Rejected;
    }
    return hasErrorCode(error, ErrorCode.PlatformUncertain) ? CallResult.Lost : CallResult.Failed;
}
