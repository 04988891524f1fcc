import { readMonotonicMs } from "../utils/time.js";

/** Bounds the second sends of all routers together, without asking the others. */
export interface RetryShare {
    recordRequest(service: string): void;
    /** Takes a second send from the share; false if it is spent. */
    takeRetry(service: string): boolean;
}

/** Options of the share. */
export interface RetryShareOptions {
    /** Second sends for each request, over all routers. */
    ratio: number;
    /** Second sends beyond the ratio in a window, over all routers. */
    burst: number;
    windowMs: number;
    /** Routers among which the burst is divided. */
    getRouters: () => number;
}

/** Part of the allowance that is used: a router that restarts forgets what its predecessor sent in the same window. */
const USED_PART = 0.5;
const SLICES = 10;

interface ServiceWindow {
    requests: number[];
    retries: number[];
    slice: number;
}

/**
 * Creates the share of one router. It errs low: unused parts aren't carried over.
 * @param options - Allowance of all routers.
 */
export function createRetryShare(options: RetryShareOptions): RetryShare {
    const windows = new Map<string, ServiceWindow>();
    const sliceMs = options.windowMs / SLICES;
    return { recordRequest, takeRetry };

    function recordRequest(service: string): void {
        addToSlice(getWindow(service).requests);
    }

    function takeRetry(service: string): boolean {
        const window = getWindow(service);
        const earned = options.ratio * sumSlices(window.requests);
        const allowed = USED_PART * (earned + options.burst / options.getRouters());
        if (sumSlices(window.retries) + 1 > allowed) {
            return false;
        }
        addToSlice(window.retries);
        return true;
    }

    function getWindow(service: string): ServiceWindow {
        const slice = Math.floor(readMonotonicMs() / sliceMs);
        let window = windows.get(service);
        if (window === undefined) {
            window = { requests: createSlices(), retries: createSlices(), slice };
            windows.set(service, window);
        }
        for (let passed = Math.min(SLICES, slice - window.slice); passed > 0; passed--) {
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
    return new Array<number>(SLICES).fill(0);
}

function addToSlice(slices: number[]): void {
    slices[SLICES - 1] = (slices[SLICES - 1] ?? 0) + 1;
}

function sumSlices(slices: readonly number[]): number {
    return slices.reduce((sum, count) => sum + count, 0);
}
