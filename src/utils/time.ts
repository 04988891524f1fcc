/** Number of milliseconds in a second. */
export const MS_PER_SECOND = 1_000;

/**
 * Waits for a number of milliseconds on the runtime's clock.
 * @param delayMs - Delay in milliseconds.
 * @param signal - Ends the wait early.
 */
export function waitFor(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal?.aborted === true) {
            resolve();
            return;
        }
        const timer = setTimeout(finish, delayMs);
        signal?.addEventListener("abort", finish, { once: true });
        function finish(): void {
            clearTimeout(timer);
            signal?.removeEventListener("abort", finish);
            resolve();
        }
    });
}

/**
 * Reads the monotonic clock, which no adjustment of the wall clock moves.
 * @returns Milliseconds since an arbitrary start.
 */
export function readMonotonicMs(): number {
    return performance.now();
}

/**
 * Rounds an age for messages and logs.
 * @param ageMs - Time since an event, in milliseconds; infinite if it never took place.
 * @returns -1 for an event that never took place.
 */
export function roundAge(ageMs: number): number {
    return Number.isFinite(ageMs) ? Math.round(ageMs) : -1;
}

/** A task that repeats until it is stopped. */
export interface Loop {
    /** Ends the loop and waits for the run in progress. */
    stop(): Promise<void>;
}

/**
 * Runs a task again and again, with a pause after each run.
 * @param intervalMs - Pause in milliseconds, or what gives it anew after each run.
 * @param run - Task; what it throws goes to onError and the loop goes on.
 * @param onError - Receives what a run throws.
 */
export function startLoop(
    intervalMs: number | (() => number),
    run: (signal: AbortSignal) => Promise<void>,
    onError: (error: unknown) => void,
): Loop {
    const controller = new AbortController();
    const finished = runLoop();
    return {
        async stop() {
            controller.abort();
            await finished;
        },
    };

    async function runLoop(): Promise<void> {
        // The first run may use what the caller creates after the loop.
        await Promise.resolve();
        while (!controller.signal.aborted) {
            try {
                await run(controller.signal);
            } catch (error) {
                onError(error);
            }
            await waitFor(typeof intervalMs === "number" ? intervalMs : intervalMs(), controller.signal);
        }
    }
}
