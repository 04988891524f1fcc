import { readMonotonicMs } from "../utils/time.js";

/** Limits the retries of all routers together, without communication between them. */
export interface SharedRetryBudget {
    /** Counts a request, which adds to the budget. */
    recordRequest(service: string): void;
    /** Takes a retry from the budget of this router; returns false if the budget is spent. */
    takeRetry(service: string): boolean;
}

/** Options of the shared retry budget. */
export interface SharedRetryBudgetOptions {
    /** Retries allowed per request, over all routers. */
    ratio: number;
    /** Retries allowed in a window in addition to the ratio, over all routers. */
    burst: number;
    /** Length of the sliding window, in milliseconds. */
    windowMs: number;
    /** Gets the number of routers among which the burst is divided. */
    getRouterCount: () => number;
}

/**
 * Fraction of the budget that a router uses. A restarted router does not know the retries that it sent in the same window
 * before the restart, and stays within the budget together with them.
 */
const SAFETY_FACTOR = 0.5;
const SLICE_COUNT = 10;

interface SlidingWindow {
    requests: number[];
    retries: number[];
    slice: number;
}

/**
 * Creates the part of the retry budget that one router may use. Unused retries are not carried over to later windows.
 * @param options - Budget of all routers.
 */
export function createSharedRetryBudget(options: SharedRetryBudgetOptions): SharedRetryBudget {
    const windows = new Map<string, SlidingWindow>();
    const sliceMs = options.windowMs / SLICE_COUNT;
    return { recordRequest, takeRetry };

    function recordRequest(service: string): void {
        incrementCurrentSlice(getWindow(service).requests);
    }

    function takeRetry(service: string): boolean {
        const window = getWindow(service);
        const proportional = options.ratio * sumSlices(window.requests);
        const allowed = SAFETY_FACTOR * (proportional + options.burst / options.getRouterCount());
        if (sumSlices(window.retries) + 1 > allowed) {
            return false;
        }
        incrementCurrentSlice(window.retries);
        return true;
    }

    function getWindow(service: string): SlidingWindow {
        const slice = Math.floor(readMonotonicMs() / sliceMs);
        let window = windows.get(service);
        if (window === undefined) {
            window = { requests: createSlices(), retries: createSlices(), slice };
            windows.set(service, window);
        }
        for (let passed = Math.min(SLICE_COUNT, slice - window.slice); passed > 0; passed--) {
            window.requests.shift();
            window.requests.push(0);
            window.retries.shift();
            window.retries.push(0);
        }
        window.slice = slice;
        return window;
    }
}

function createSlices(): number[] {
    return new Array<number>(SLICE_COUNT).fill(0);
}

function incrementCurrentSlice(slices: number[]): void {
    slices[SLICE_COUNT - 1] = (slices[SLICE_COUNT - 1] ?? 0) + 1;
}

function sumSlices(slices: readonly number[]): number {
    return slices.reduce((sum, count) => sum + count, 0);
}
