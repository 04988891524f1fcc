/**
 * Remembers which endpoints turn requests away and name a pause. A pause binds the router that was told. The other routers prefer
 * other endpoints meanwhile, and after it one request tries the endpoint before the rest come back. This answers the load of a
 * service some of whose endpoints shed everything: without it a request is turned away twice while sound endpoints have room.
 */
export interface EndpointPauses {
    /** Records that an endpoint turned a request of this router away and wants none for a time. */
    recordPause(endpoint: string, pauseMs: number, now: number): void;
    /** Records that an endpoint took a request of this router. */
    recordTaken(endpoint: string, now: number): void;
    /** Records a request to an endpoint, which tries it if its pause is over. */
    recordSend(endpoint: string, now: number): void;
    /** Gets the time at which an endpoint wants requests of this router again, in milliseconds. */
    getPausedUntil(endpoint: string): number;
    /**
     * Tells whether an endpoint is likely to turn a request away.
     * @param isTrial - Whether the request may try an endpoint whose pause is over, as it can be sent to another one after it.
     */
    isDoubtful(endpoint: string, isTrial: boolean, now: number): boolean;
    /** Lists the pauses that endpoints have named to this router, for the others. */
    listPauses(now: number): ReportedPause[];
    /** Merges the pauses that endpoints have named to another router. */
    mergePauses(pauses: readonly ReportedPause[], now: number): void;
    forget(endpoint: string): void;
    isEmpty(): boolean;
}

/** An endpoint, and the rest of the pause that it wants, in milliseconds. */
export type ReportedPause = [endpoint: string, leftMs: number];

/** Time after a pause for which an endpoint that has taken no request since is doubtful, in milliseconds. */
const DOUBT_MS = 2_000;
/** Time after a pause named to another router for which news of its first request is awaited, in milliseconds. */
const NEWS_MS = 500;
/** Time after which a request that tries an endpoint no longer keeps others from trying it, in milliseconds. */
const TRIAL_MS = 1_000;
/** Number of pauses in one message; with more, there are few other endpoints to prefer. */
const MAX_REPORTED = 64;

interface Pause {
    until: number;
    /** Time of the request that tries the endpoint after the pause; undefined if there was none. */
    triedAt: number | undefined;
}

/** Creates the memory of a router that was told of no pause. */
export function createEndpointPauses(): EndpointPauses {
    const own = new Map<string, Pause>();
    /** Ends of the pauses that were named to other routers. */
    const others = new Map<string, number>();
    /** Times of the last requests that endpoints have taken which paused for other routers. */
    const takenAt = new Map<string, number>();
    return {
        recordPause(endpoint, pauseMs, now) {
            forgetPast(now);
            own.set(endpoint, { until: Math.max(getPausedUntil(endpoint), now + pauseMs), triedAt: undefined });
            takenAt.delete(endpoint);
        },
        recordTaken(endpoint, now) {
            const pause = own.get(endpoint);
            if (pause !== undefined && pause.until <= now) {
                own.delete(endpoint);
            }
            if (others.has(endpoint)) {
                takenAt.set(endpoint, now);
            }
        },
        recordSend(endpoint, now) {
            const pause = own.get(endpoint);
            if (pause !== undefined && pause.until <= now) {
                pause.triedAt = now;
            }
        },
        getPausedUntil,
        isDoubtful,
        listPauses: now =>
            [...own]
                .filter(([, { until }]) => until > now)
                .slice(0, MAX_REPORTED)
                .map(([endpoint, { until }]) => [endpoint, Math.round(until - now)]),
        mergePauses(pauses, now) {
            if (pauses.length > 0) {
                forgetPast(now);
            }
            for (const [endpoint, leftMs] of pauses) {
                others.set(endpoint, Math.max(others.get(endpoint) ?? 0, now + leftMs));
            }
        },
        forget(endpoint) {
            own.delete(endpoint);
            others.delete(endpoint);
            takenAt.delete(endpoint);
        },
        isEmpty: () => own.size === 0 && others.size === 0,
    };

    function getPausedUntil(endpoint: string): number {
        return own.get(endpoint)?.until ?? Number.NEGATIVE_INFINITY;
    }

    function isDoubtful(endpoint: string, isTrial: boolean, now: number): boolean {
        const pause = own.get(endpoint);
        if (pause !== undefined && now < pause.until + DOUBT_MS) {
            const isTried = pause.triedAt !== undefined && now - pause.triedAt < TRIAL_MS;
            return now < pause.until || !isTrial || isTried;
        }
        const isPausedElsewhere = now < (others.get(endpoint) ?? 0) + NEWS_MS;
        return isPausedElsewhere && now - (takenAt.get(endpoint) ?? Number.NEGATIVE_INFINITY) > TRIAL_MS;
    }

    function forgetPast(now: number): void {
        for (const [endpoint, { until }] of own) {
            if (now >= until + DOUBT_MS) {
                own.delete(endpoint);
            }
        }
        for (const [endpoint, until] of others) {
            if (now >= until + NEWS_MS) {
                others.delete(endpoint);
                takenAt.delete(endpoint);
            }
        }
    }
}
