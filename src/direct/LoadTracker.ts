/** Number of requests in progress at each endpoint, of one router or of a zone's. */
export type LoadCounts = Readonly<Record<string, number>>;

/** Tracks requests in progress at the endpoints: the router's own, and those reported by other routers. */
export interface LoadTracker {
    startRequest(endpoint: string): void;
    endRequest(endpoint: string): void;
    /** Gets the number of requests in progress at an endpoint, summed over all routers. */
    getLoad(endpoint: string, now: number): number;
    getLocalCounts(): LoadCounts;
    /** Gets the counts of this router and of those of its zone. */
    getZoneCounts(now: number): LoadCounts;
    /** Replaces the counts of another router of the zone. */
    setPeerLoad(peer: string, counts: LoadCounts, now: number): void;
    /** Replaces the counts of all routers of another zone. */
    setZoneLoad(zone: string, counts: LoadCounts, now: number): void;
}

/** Age after which the counts of others are discarded, in milliseconds; several gossip periods. */
const COUNTS_EXPIRY_MS = 1_500;

interface PeerLoad {
    counts: LoadCounts;
    receivedAt: number;
}

/** Creates a tracker without any requests. */
export function createLoadTracker(): LoadTracker {
    const localCounts = new Map<string, number>();
    const peerLoads = new Map<string, PeerLoad>();
    const zoneLoads = new Map<string, PeerLoad>();
    return {
        startRequest,
        endRequest,
        getLoad: (endpoint, now) =>
            getLocalCount(endpoint) + sumLoads(peerLoads, endpoint, now) + sumLoads(zoneLoads, endpoint, now),
        getLocalCounts: () => Object.fromEntries(localCounts),
        getZoneCounts,
        setPeerLoad: (peer, counts, now) => void peerLoads.set(peer, { counts, receivedAt: now }),
        setZoneLoad: (zone, counts, now) => void zoneLoads.set(zone, { counts, receivedAt: now }),
    };

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

    function getZoneCounts(now: number): LoadCounts {
        const sums = new Map(localCounts);
        for (const { counts, receivedAt } of peerLoads.values()) {
            if (now - receivedAt <= COUNTS_EXPIRY_MS) {
                Object.entries(counts).forEach(([endpoint, count]) => {
                    sums.set(endpoint, (sums.get(endpoint) ?? 0) + count);
                });
            }
        }
        return Object.fromEntries(sums);
    }
}

function sumLoads(loads: Map<string, PeerLoad>, endpoint: string, now: number): number {
    let sum = 0;
    for (const [source, { counts, receivedAt }] of loads) {
        if (now - receivedAt > COUNTS_EXPIRY_MS) {
            loads.delete(source);
        } else {
            sum += counts[endpoint] ?? 0;
        }
    }
    return sum;
}
