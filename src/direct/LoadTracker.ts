/** Number of one router's requests in progress at each endpoint. */
export type LoadCounts = Readonly<Record<string, number>>;

/** Tracks requests in progress at the endpoints: the router's own, and those reported by other routers. */
export interface LoadTracker {
    startRequest(endpoint: string): void;
    endRequest(endpoint: string): void;
    /** Gets the number of requests in progress at an endpoint, summed over all routers. */
    getLoad(endpoint: string, now: number): number;
    getLocalCounts(): LoadCounts;
    /** Replaces the counts reported by another router. */
    setPeerLoad(peer: string, counts: LoadCounts, now: number): void;
}

/** Age after which another router's counts are discarded, in milliseconds; several gossip periods. */
const PEER_COUNTS_EXPIRY_MS = 1_500;

interface PeerLoad {
    counts: LoadCounts;
    receivedAt: number;
}

/** Creates a tracker without any requests. */
export function createLoadTracker(): LoadTracker {
    const localCounts = new Map<string, number>();
    const peerLoads = new Map<string, PeerLoad>();
    return { startRequest, endRequest, getLoad, getLocalCounts, setPeerLoad };

    function startRequest(endpoint: string): void {
        localCounts.set(endpoint, getLocalCount(endpoint) + 1);
    }

    function endRequest(endpoint: string): void {
        const remaining = getLocalCount(endpoint) - 1;
        if (remaining > 0) {
            localCounts.set(endpoint, remaining);
        } else {
            localCounts.delete(endpoint);
        }
    }

    function getLocalCount(endpoint: string): number {
        return localCounts.get(endpoint) ?? 0;
    }

    function getLoad(endpoint: string, now: number): number {
        let load = getLocalCount(endpoint);
        for (const [peer, { counts, receivedAt }] of peerLoads) {
            if (now - receivedAt > PEER_COUNTS_EXPIRY_MS) {
                peerLoads.delete(peer);
            } else {
                load += counts[endpoint] ?? 0;
            }
        }
        return load;
    }

    function getLocalCounts(): LoadCounts {
        return Object.fromEntries(localCounts);
    }

    function setPeerLoad(peer: string, counts: LoadCounts, now: number): void {
        peerLoads.set(peer, { counts, receivedAt: now });
    }
}
