import { type ControlClient, createControlClient } from "../control/index.js";
import type { PeerGossip, GossipMessage } from "../peers/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import { type Loop, readMonotonicMs, startLoop } from "../utils/time.js";
import type { EndpointDirectory } from "./EndpointDirectory.js";
import type { RouteIndexHolder } from "./RouteIndexHolder.js";
import type { DirectControl, RouterSnapshot } from "./directControl.js";

/** Options of the peer fallback. */
export interface PeerFallbackOptions {
    processKey: string;
    /** Control addresses of configured routers, tried when no peer in contact with the platform is known. */
    seeds: readonly string[];
    /** Port of the control server, the same on every router. */
    controlPort: number;
    ownAddress: string;
    gossip: PeerGossip;
    holder: RouteIndexHolder;
    directory: EndpointDirectory;
    /** Time since the platform last answered this router, in milliseconds. */
    getPlatformAgeMs: () => number;
    /** Revision of the platform's store up to which this router has read the endpoints from the store itself. */
    getEndpointRevision: () => number;
    logger: Logger;
}

/** Fetches routes and endpoints from other routers when the platform does not answer this one. */
export interface PeerFallback {
    /** Fetches the sender's routes immediately if they have a higher version. */
    handleMessage(message: GossipMessage): void;
    /** Gets the store revision up to which the endpoints are known, from the store or a peer. */
    getEndpointRevision(): number;
    /** Gets the time since endpoints were last applied from a peer, in milliseconds. */
    getAgeMs(): number;
    stop(): Promise<void>;
}

/** Time without an answer from the platform after which endpoints are fetched from peers, in milliseconds. */
export const PLATFORM_SILENCE_MS = 1_500;
const CHECK_PERIOD_MS = 500;
const CALL_TIMEOUT_MS = 700;
/** Maximum time since a peer's last answer from the platform for its snapshot to be fetched, in milliseconds. */
const MAX_PEER_PLATFORM_AGE_MS = 2_000;

/**
 * Starts the peer fallback.
 * @param options - Peers and the components that are updated.
 */
export function startPeerFallback(options: PeerFallbackOptions): PeerFallback {
    const { holder, directory, logger } = options;
    const clients = new Map<string, ControlClient<DirectControl>>();
    let isFetching = false;
    /** Store revision of the endpoints last applied from a peer. */
    let peerRevision = 0;
    let appliedAt = Number.NEGATIVE_INFINITY;
    const loop: Loop = startLoop(CHECK_PERIOD_MS, fetchIfPlatformSilent, error =>
        logger.logFailure(EventId.TaskFailed, error, { task: "peer fallback" }),
    );
    return {
        handleMessage,
        getEndpointRevision,
        getAgeMs: () => readMonotonicMs() - appliedAt,
        async stop() {
            await loop.stop();
            clients.forEach(client => client.close());
        },
    };

    function handleMessage(message: GossipMessage): void {
        if (message.version > holder.getVersion() && !isFetching) {
            void fetchSnapshot(`${message.address}:${options.controlPort}`);
        }
    }

    function getEndpointRevision(): number {
        return Math.max(peerRevision, options.getEndpointRevision());
    }

    async function fetchIfPlatformSilent(): Promise<void> {
        if (options.getPlatformAgeMs() < PLATFORM_SILENCE_MS) {
            return;
        }
        const address = choosePeer();
        if (address !== undefined) {
            await fetchSnapshot(address);
        }
    }

    /**
     * Chooses the peer with the most recent answer from the platform. Without such a peer, a router that has no routes or
     * no endpoints tries its seeds in turn.
     */
    function choosePeer(): string | undefined {
        const candidates = options.gossip
            .listRecent(MAX_PEER_PLATFORM_AGE_MS)
            .filter(message => message.platformAgeMs >= 0 && message.platformAgeMs < MAX_PEER_PLATFORM_AGE_MS)
            .sort((left, right) => left.platformAgeMs - right.platformAgeMs);
        if (candidates[0] !== undefined) {
            return `${candidates[0].address}:${options.controlPort}`;
        }
        const seeds = options.seeds.filter(seed => !seed.startsWith(`${options.ownAddress}:`));
        const hasState = holder.getVersion() > 0 && directory.countRecords() > 0;
        return hasState || seeds.length === 0
            ? undefined
            : seeds[Math.floor(readMonotonicMs() / CHECK_PERIOD_MS) % seeds.length];
    }

    async function fetchSnapshot(address: string): Promise<void> {
        isFetching = true;
        try {
            const client = getClient(address);
            const snapshot = await client.call<RouterSnapshot>(
                (control, signal) => control.getKnowledge.query(undefined, { signal }) as Promise<RouterSnapshot>,
                CALL_TIMEOUT_MS,
            );
            applySnapshot(snapshot, address);
        } catch (error) {
            logger.logFailure(EventId.PeerUnreachable, error, { peer: address });
        } finally {
            isFetching = false;
        }
    }

    function applySnapshot(snapshot: RouterSnapshot, address: string): void {
        if (snapshot.document !== undefined) {
            holder.applyDocument(snapshot.document, address);
        }
        // An older snapshot would restore endpoints that have been removed since.
        const isNewer = snapshot.endpointRevision > getEndpointRevision();
        if (options.getPlatformAgeMs() >= PLATFORM_SILENCE_MS && isNewer) {
            peerRevision = snapshot.endpointRevision;
            appliedAt = readMonotonicMs();
            directory.applyListing(snapshot.endpoints, address);
        }
    }

    function getClient(address: string): ControlClient<DirectControl> {
        let client = clients.get(address);
        if (client === undefined) {
            client = createControlClient<DirectControl>(address, options.processKey);
            clients.set(address, client);
        }
        return client;
    }
}
