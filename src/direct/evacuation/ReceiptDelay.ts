import { readMonotonicMs } from "../../utils/time.js";

/**
 * Bounds how long a message may have waited in the buffers of this host before it is read. While the process stands still,
 * messages of others wait there, and the ages that they tell are too low afterwards.
 */
export interface ReceiptDelay {
    /** Records that the process runs; called again and again. */
    recordTurn(): void;
    /** Gets the longest time that a message read now may have waited, in milliseconds; 0 if the process has not stood still. */
    getMaxMs(): number;
}

/** Time without a turn that counts as a standstill, in milliseconds. Turns are 50 ms apart; a loaded host delays them. */
const STANDSTILL_MS = 500;
/** Time after a standstill in which messages from before are read, in milliseconds. */
const BACKLOG_MS = 500;

/** Creates the delay of a process that runs. */
export function createReceiptDelay(): ReceiptDelay {
    let turnAt = readMonotonicMs();
    let gapMs = 0;
    let backlogUntil = Number.NEGATIVE_INFINITY;
    return {
        recordTurn,
        getMaxMs() {
            recordTurn();
            return turnAt < backlogUntil ? gapMs : 0;
        },
    };

    function recordTurn(): void {
        const now = readMonotonicMs();
        if (now - turnAt > STANDSTILL_MS) {
            gapMs = now - turnAt + BACKLOG_MS;
            backlogUntil = now + BACKLOG_MS;
        }
        turnAt = now;
    }
}
