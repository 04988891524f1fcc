/** Notices that the process stood still, which its monotonic clock does not show on every host. */
export interface FreezeWatch {
    /** Checks the clock at once; true from the moment at which a standstill is noticed until it is reset. */
    hasStoodStill(): boolean;
    reset(): void;
    stop(): void;
}

/** Period of the check, in milliseconds. */
const BEAT_MS = 100;

/**
 * Starts to watch the time of day, which goes on while the process stands still.
 * @param limitMs - Gap between two beats that counts as a standstill, in milliseconds.
 */
export function startFreezeWatch(limitMs: number): FreezeWatch {
    let beatAt = Date.now();
    let isFrozen = false;
    const timer = setInterval(check, BEAT_MS);
    timer.unref();
    return {
        hasStoodStill() {
            check();
            return isFrozen;
        },
        reset() {
            beatAt = Date.now();
            isFrozen = false;
        },
        stop: () => clearInterval(timer),
    };

    function check(): void {
        const now = Date.now();
        isFrozen ||= now - beatAt > limitMs;
        beatAt = now;
    }
}
