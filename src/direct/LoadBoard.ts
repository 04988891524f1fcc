/** Requests in progress at each endpoint, as one router counts its own. */
export type LoadCounts = Readonly<Record<string, number>>;

/** View of the work at the endpoints: own counts, and what the other routers told. */
export interface LoadBoard {
    startRequest(endpoint: string): void;
    endRequest(endpoint: string): void;
    /** Requests in progress at an endpoint over all routers. */
    getLoad(endpoint: string, now: number): number;
    listOwn(): LoadCounts;
    /** Takes in the counts of another router. */
    setPeerLoad(peer: string, counts: LoadCounts, now: number): void;
}

/** Age from which the counts of another router are no longer used, in milliseconds; several periods of news. */
const STALE_MS = 1_500;

interface PeerLoad {
    counts: LoadCounts;
    at: number;
}

/** Creates an empty board. */
export function createLoadBoard(): LoadBoard {
    const own = new Map<string, number>();
    const peers = new Map<string, PeerLoad>();
    return { startRequest, endRequest, getLoad, listOwn, setPeerLoad };

    function startRequest(endpoint: string): void {
        own.set(endpoint, getOwn(endpoint) + 1);
    }

    function endRequest(endpoint: string): void {
        const left = getOwn(endpoint) - 1;
        if (left > 0) {
            own.set(endpoint, left);
        } else {
            own.delete(endpoint);
        }
    }

    function getOwn(endpoint: string): number {
        return own.get(endpoint) ?? 0;
    }

    function getLoad(endpoint: string, now: number): number {
        let load = getOwn(endpoint);
        for (const [peer, { counts, at }] of peers) {
            if (now - at > STALE_MS) {
                peers.delete(peer);
            } else {
                load += counts[endpoint] ?? 0;
            }
        }
        return load;
    }

    function listOwn(): LoadCounts {
        return Object.fromEntries(own);
    }

    function setPeerLoad(peer: string, counts: LoadCounts, now: number): void {
        peers.set(peer, { counts, at: now });
    }
}
