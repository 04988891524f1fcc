import { readMonotonicMs, waitFor } from "../../utils/time.js";

/** Options of the gate. */
export interface ReadGateOptions {
    /** Time within which no endpoint of an evacuated zone may get a request, in milliseconds. */
    evacuateMs: number;
    /** Gets the time since the store confirmed the evacuated zones, in milliseconds. */
    getAgeMs: () => number;
    /** Called once when requests begin to be held. */
    onHeld: (ageMs: number) => void;
}

/**
 * Holds requests for a moment when the knowledge of evacuated zones is old and nobody could be asked yet, as after the process
 * stood still. A router that has failed to reach the store holds nothing: it goes on with what it last knew.
 */
export interface ReadGate {
    isReadNeeded(): boolean;
    /** Waits until the knowledge is recent, or nobody can be reached. */
    waitUntilRead(signal: AbortSignal): Promise<void>;
    /**
     * Records a failed call to the store.
     * @param lastedMs - Duration of the call, in milliseconds.
     */
    recordFailedRead(lastedMs: number): void;
}

/** Fraction of `evacuateMs` from which the knowledge is too old to send by; the rest is for connecting to the endpoint. */
const SEND_AGE_FRACTION = 0.85;
/** A failed call that lasted longer than this fraction of `evacuateMs` was under way while the process stood still. */
const MAX_FAILED_CALL_FRACTION = 0.5;
/** Longest time for which requests are held, in milliseconds: a listing that hangs until its timeout, and another one. */
const MAX_HOLD_MS = 1_000;
const POLL_MS = 20;

/**
 * Creates the gate.
 * @param options - Bound and age of the knowledge.
 */
export function createReadGate(options: ReadGateOptions): ReadGate {
    const { evacuateMs, getAgeMs } = options;
    let failedAt = Number.NEGATIVE_INFINITY;
    let hold: { since: number; isVain: boolean } | undefined;
    return { isReadNeeded, waitUntilRead, recordFailedRead };

    function isReadNeeded(): boolean {
        const ageMs = getAgeMs();
        if (ageMs < SEND_AGE_FRACTION * evacuateMs) {
            hold = undefined;
            return false;
        }
        const now = readMonotonicMs();
        if (hold === undefined) {
            hold = { since: now, isVain: failedAt > now - ageMs };
            if (!hold.isVain) {
                options.onHeld(ageMs);
            }
        }
        return !hold.isVain && now - hold.since < MAX_HOLD_MS;
    }

    async function waitUntilRead(signal: AbortSignal): Promise<void> {
        while (isReadNeeded() && !signal.aborted) {
            await waitFor(POLL_MS, signal);
        }
    }

    function recordFailedRead(lastedMs: number): void {
        // The failure of a call that was under way while the process stood still must not open the gate.
        isReadNeeded();
        if (lastedMs < MAX_FAILED_CALL_FRACTION * evacuateMs) {
            failedAt = readMonotonicMs();
        }
    }
}
