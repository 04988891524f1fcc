/**
 * Limits the requests at the endpoints of a service by the pauses in their streams. It answers an overload in which
 * batches are so full that every stream comes with pauses longer than callers accept: some requests fewer at a time
 * bring all others back in time.
 */
export interface PaceControl {
    /** Notes the time between two events of a stream, in milliseconds. */
    recordPause(pauseMs: number, maxPauseMs: number, state: PaceState): void;
    /** Gets the part of an endpoint's slots that may be in use; undefined while nothing needs to be limited. */
    getAllowedPart(service: string, now: number): number | undefined;
}

/** State of a service when a pause is noted. */
export interface PaceState {
    service: string;
    now: number;
    /** Part of the slots that is in use, 0 to 1. */
    getUsedPart: () => number;
    /** Part of the time of a full batch's pass that does not depend on the number of requests, 0 to 1. */
    fixedPart: number;
}

/** Period whose pauses are judged together, in milliseconds; a few passes of a batch. */
const WINDOW_MS = 400;
/** Periods that count: about the length of a usual stream, which one long pause makes late. */
const WINDOWS = 6;
/** Pauses in a window below which it says nothing. */
const LEAST_PAUSES = 10;
/** Part of the pauses of a window that are at most as long as its judged one; longer ones are single endpoints'. */
const JUDGED_PART = 0.9;
/** Part of the accepted pause that is aimed at; passes vary by about an eighth with the balance of the experts. */
const AIM_PART = 0.88;
/** Least part that is allowed: if it isn't enough, as when an endpoint is slow by itself, no limit is of use. */
const LEAST_PART = 0.5;

interface ServicePace {
    windowStart: number;
    pauses: number[];
    /** Allowed parts by the last windows, the newest last. */
    allowedParts: number[];
}

/** Creates a control that limits nothing. */
export function createPaceControl(): PaceControl {
    const paces = new Map<string, ServicePace>();
    return { recordPause, getAllowedPart };

    function recordPause(pauseMs: number, maxPauseMs: number, state: PaceState): void {
        const { service, now } = state;
        let pace = paces.get(service);
        if (pace === undefined || now - pace.windowStart > WINDOW_MS * WINDOWS) {
            pace = { windowStart: now, pauses: [], allowedParts: [] };
            paces.set(service, pace);
        }
        if (now - pace.windowStart >= WINDOW_MS) {
            if (pace.pauses.length >= LEAST_PAUSES) {
                const allowed = computeAllowedPart(chooseJudged(pace.pauses) / maxPauseMs, state);
                pace.allowedParts = [...pace.allowedParts, allowed].slice(-WINDOWS);
            }
            pace.windowStart = now;
            pace.pauses = [];
        }
        pace.pauses.push(pauseMs);
    }

    function getAllowedPart(service: string, now: number): number | undefined {
        const pace = paces.get(service);
        if (pace === undefined || now - pace.windowStart > WINDOW_MS * WINDOWS) {
            return undefined;
        }
        const part = Math.min(1, ...pace.allowedParts);
        return part < 1 ? part : undefined;
    }
}

function chooseJudged(pauses: readonly number[]): number {
    return [...pauses].sort((left, right) => left - right)[Math.floor(JUDGED_PART * (pauses.length - 1))] ?? 0;
}

/** A pass takes a fixed time and a time for each request, so its time at another number of requests can be told. */
function computeAllowedPart(timesMax: number, { getUsedPart, fixedPart }: PaceState): number {
    const perSlot = 1 - fixedPart;
    const used = Math.min(1, getUsedPart());
    const allowed = (((fixedPart + perSlot * used) * AIM_PART) / timesMax - fixedPart) / perSlot;
    return allowed < LEAST_PART ? 1 : Math.min(1, allowed);
}
