/** Place in the count of an endpoint's requests that one send has taken. */
export interface SendTicket {
    /** Records that the request is being written, from which its second counts; before, it counts without an end. */
    recordWrite(now: number): void;
    /** Records that the send has ended; one that was never written counts from now. */
    end(now: number): void;
    /** Gives the place back, as the request doesn't count. */
    release(): void;
}

/** Times of this router's own sends to the endpoints, as far as they count. */
export interface ColdSends {
    /** Records a send that starts now. */
    startSend(endpoint: string, now: number): SendTicket;
    /** Counts the sends of the last second. */
    countSends(endpoint: string, now: number): number;
    /** Counts the sends of the last second that will no longer count after a time. */
    countEnding(endpoint: string, withinMs: number, now: number): number;
}

/**
 * Time for which a send counts, in milliseconds. Beyond the second of the bound, it covers that clocks and timers of the hosts are
 * exact to some milliseconds only.
 */
export const SEND_WINDOW_MS = 1_010;
/** Period in which endpoints without a send in the last second are forgotten, in milliseconds. */
const EXPIRY_PERIOD_MS = 10_000;

/** Creates the sends of a router that has sent nothing. */
export function createColdSends(): ColdSends {
    const sends = new Map<string, { at: number }[]>();
    let expiredAt = Number.NEGATIVE_INFINITY;
    return {
        startSend,
        countSends: (endpoint, now) => listRecent(endpoint, now).length,
        countEnding: (endpoint, withinMs, now) =>
            listRecent(endpoint, now).filter(({ at }) => at + SEND_WINDOW_MS <= now + withinMs).length,
    };

    function startSend(endpoint: string, now: number): SendTicket {
        expireSends(now);
        const send = { at: Number.POSITIVE_INFINITY };
        sends.set(endpoint, [...listRecent(endpoint, now), send]);
        return {
            recordWrite(now) {
                send.at = now;
            },
            end(now) {
                send.at = Math.min(send.at, now);
            },
            release() {
                send.at = Number.NEGATIVE_INFINITY;
            },
        };
    }

    function expireSends(now: number): void {
        if (now - expiredAt >= EXPIRY_PERIOD_MS) {
            expiredAt = now;
            [...sends.keys()].forEach(endpoint => listRecent(endpoint, now));
        }
    }

    function listRecent(endpoint: string, now: number): readonly { at: number }[] {
        const recent = (sends.get(endpoint) ?? []).filter(({ at }) => now - at < SEND_WINDOW_MS);
        if (recent.length === 0) {
            sends.delete(endpoint);
        } else {
            sends.set(endpoint, recent);
        }
        return recent;
    }
}
