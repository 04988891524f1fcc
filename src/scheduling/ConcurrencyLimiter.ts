/**
 * Limits the concurrent requests at the endpoints of a service by the pauses between the events of their streams.
 * Under overload, full batches make the pauses of every stream longer than callers accept; slightly fewer concurrent
 * requests bring the remaining streams back within the limit.
 */
export interface ConcurrencyLimiter {
    /** Records the time between two events of a stream, in milliseconds. */
    recordPause(pauseMs: number, maxPauseMs: number, state: PauseContext): void;
    /** Gets the part of an endpoint's slots that may be in use; undefined while nothing needs to be limited. */
    getAllowedShare(service: string, now: number): number | undefined;
}

/** State of a service when a pause is recorded. */
export interface PauseContext {
    service: string;
    now: number;
    /** Gets the share of the slots that is in use, from 0 to 1. */
    getUsedShare: () => number;
    /** Share of the duration of a full batch's pass that does not depend on the number of requests, from 0 to 1. */
    fixedShare: number;
}

/** Length of a window whose pauses are evaluated together, in milliseconds; covers a few passes of a batch. */
const WINDOW_MS = 400;
/** Windows that are taken into account: about the duration of a typical stream, which a single long pause makes late. */
const WINDOW_COUNT = 6;
/** Minimum number of pauses for a window to be evaluated. */
const MIN_PAUSES = 10;
/** Quantile of the pauses that represents a window; longer pauses come from individual endpoints. */
const PAUSE_QUANTILE = 0.9;
/** Target as a share of the accepted pause; pass durations vary by about an eighth with the balance of the experts. */
const TARGET_SHARE = 0.88;
/** Lowest share that is set as a limit: if it does not suffice, as with a slow endpoint, limiting does not help. */
const MIN_ALLOWED_SHARE = 0.5;

interface PauseWindows {
    windowStart: number;
    pauses: number[];
    /** Allowed shares computed for the last windows, newest last. */
    allowedShares: number[];
}

/** Creates a limiter without a limit. */
export function createConcurrencyLimiter(): ConcurrencyLimiter {
    const paces = new Map<string, PauseWindows>();
    return { recordPause, getAllowedShare };

    function recordPause(pauseMs: number, maxPauseMs: number, state: PauseContext): void {
        const { service, now } = state;
        let pace = paces.get(service);
        if (pace === undefined || now - pace.windowStart > WINDOW_MS * WINDOW_COUNT) {
            pace = { windowStart: now, pauses: [], allowedShares: [] };
            paces.set(service, pace);
        }
        if (now - pace.windowStart >= WINDOW_MS) {
            if (pace.pauses.length >= MIN_PAUSES) {
                const allowed = computeAllowedShare(selectQuantile(pace.pauses) / maxPauseMs, state);
                pace.allowedShares = [...pace.allowedShares, allowed].slice(-WINDOW_COUNT);
            }
            pace.windowStart = now;
            pace.pauses = [];
        }
        pace.pauses.push(pauseMs);
    }

    function getAllowedShare(service: string, now: number): number | undefined {
        const pace = paces.get(service);
        if (pace === undefined || now - pace.windowStart > WINDOW_MS * WINDOW_COUNT) {
            return undefined;
        }
        const part = Math.min(1, ...pace.allowedShares);
        return part < 1 ? part : undefined;
    }
}

function selectQuantile(pauses: readonly number[]): number {
    return [...pauses].sort((left, right) => left - right)[Math.floor(PAUSE_QUANTILE * (pauses.length - 1))] ?? 0;
}

/** Models a pass as a fixed time plus a time per request, to predict its duration at another number of requests. */
function computeAllowedShare(pauseRatio: number, { getUsedShare, fixedShare }: PauseContext): number {
    const perSlot = 1 - fixedShare;
    const used = Math.min(1, getUsedShare());
    const allowed = (((fixedShare + perSlot * used) * TARGET_SHARE) / pauseRatio - fixedShare) / perSlot;
    return allowed < MIN_ALLOWED_SHARE ? 1 : Math.min(1, allowed);
}
