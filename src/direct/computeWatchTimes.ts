/** Times of a watch, in milliseconds. */
export interface WatchTimes {
    /** Minimum time between the starts of two calls. */
    periodMs: number;
    /** Maximum wait of a call at the store. */
    waitMs: number;
    /** Time beyond the wait after which a call has failed. */
    answerTimeoutMs: number;
}

/**
 * Fractions of the time within which a leaving endpoint must be recognised. Their sum leaves a fifth for a second call after
 * one that hung on a dead connection.
 */
const PERIOD_FRACTION = 0.3;
const WAIT_FRACTION = 0.2;
const ANSWER_FRACTION = 0.3;
const MAX_PERIOD_MS = 900;
/** Equals the store client's timeout, in milliseconds. */
const MAX_ANSWER_TIMEOUT_MS = 700;
/**
 * Maximum time between two answers of a store that answers at once, in milliseconds. It leaves 0.3 s for the answer of a
 * slow store before it counts as silent.
 */
const MAX_GAP_MS = 1_200;

/** Fractions of the time within which a change of the document must be in force; the rest is for its way to the other routers. */
const DOCUMENT_WAIT_FRACTION = 0.5;
const DOCUMENT_ANSWER_FRACTION = 0.3;
const DOCUMENT_PERIOD_MS = 50;
/** Longest wait of a watch of the document, in milliseconds; peers announce a version that the router misses meanwhile. */
const MAX_DOCUMENT_WAIT_MS = 2_500;

/**
 * Fraction of the time in which an evacuation must be obeyed. The answers of this watch confirm the evacuated zones too, and the
 * other routers, which learn it later, read the store themselves only when these answers fail.
 */
const EVACUATION_WAIT_FRACTION = 0.25;

/**
 * Computes the times of the watch of the routing document and the evacuated availability zones.
 * @param applyMs - Maximum time until a change is in force on every router, in milliseconds.
 * @param evacuateMs - Maximum time until an evacuation is obeyed, in milliseconds; infinite if there are none.
 */
export function computeDocumentWatchTimes(applyMs: number, evacuateMs: number): WatchTimes {
    return {
        periodMs: DOCUMENT_PERIOD_MS,
        waitMs: Math.min(MAX_DOCUMENT_WAIT_MS, DOCUMENT_WAIT_FRACTION * applyMs, EVACUATION_WAIT_FRACTION * evacuateMs),
        answerTimeoutMs: Math.min(MAX_ANSWER_TIMEOUT_MS, DOCUMENT_ANSWER_FRACTION * applyMs),
    };
}

/**
 * Computes the times of the watch of the endpoints.
 * @param leavingMs - Maximum time until a leaving endpoint is recognised, in milliseconds.
 */
export function computeWatchTimes(leavingMs: number): WatchTimes {
    const periodMs = Math.min(MAX_PERIOD_MS, PERIOD_FRACTION * leavingMs);
    return {
        periodMs,
        waitMs: Math.min(MAX_GAP_MS - periodMs, WAIT_FRACTION * leavingMs),
        answerTimeoutMs: Math.min(MAX_ANSWER_TIMEOUT_MS, ANSWER_FRACTION * leavingMs),
    };
}
