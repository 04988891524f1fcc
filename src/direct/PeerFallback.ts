import { type ControlClient, createControlClient } from "../control/index.js";
import { ErrorCode, hasErrorCode } from "../errors/index.js";
import type { PeerGossip, GossipMessage } from "../peers/index.js";
import { UNKNOWN_ERA, comparePositions } from "../platform/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import { type Loop, readMonotonicMs, startLoop } from "../utils/time.js";
import { createDocumentFetcher } from "./DocumentFetcher.js";
import type { DocumentKnowledge } from "./DocumentKnowledge.js";
import type { DocumentReply } from "./DocumentServer.js";
import type { EndpointDirectory } from "./EndpointDirectory.js";
import { type EndpointKnowledge, PLATFORM_SILENCE_MS } from "./EndpointKnowledge.js";
import type { Evacuations } from "./evacuation/index.js";
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
    ownZone: string;
    gossip: PeerGossip;
    holder: RouteIndexHolder;
    directory: EndpointDirectory;
    /** Maximum time until a change of the document is in force, in milliseconds. */
    applyMs: number;
    knowledge: EndpointKnowledge;
    documentKnowledge: DocumentKnowledge;
    evacuations: Pick<Evacuations, "mergeReport">;
    /** Tells whether this router reads the store itself. */
    isReadingStore: () => boolean;
    logger: Logger;
}

/** Fetches routes and endpoints from other routers when this one does not read the store, or gets no answer of it. */
export interface PeerFallback {
    /** Fetches the sender's routes or endpoints immediately if they are newer, and takes note if the endpoints are the same. */
    handleMessage(message: GossipMessage): void;
    stop(): Promise<void>;
}

const CHECK_PERIOD_MS = 500;
const CALL_TIMEOUT_MS = 700;
/** Maximum time since the platform confirmed a peer's list for it to be fetched, in milliseconds. */
const MAX_PEER_PLATFORM_AGE_MS = 2_000;
/** Fraction of `applyMs` after which a call for parts of the document has failed. */
const DOCUMENT_CALL_FRACTION = 0.15;
/**
 * Fraction of `applyMs` for which a higher version is expected from a router of the same zone before one of another zone is
 * asked, whose traffic is charged.
 */
const OWN_ZONE_FRACTION = 0.2;
/** Time for which a router that failed to send its document is not asked again, in milliseconds. */
const FAILED_PEER_MS = 1_000;
/** Known version that makes a peer's snapshot come without its document. */
const NO_DOCUMENT_VERSION = Number.MAX_SAFE_INTEGER;

/**
 * Starts the peer fallback.
 * @param options - Peers and the components that are updated.
 */
export function startPeerFallback(options: PeerFallbackOptions): PeerFallback {
    const { holder, directory, knowledge, logger } = options;
    const clients = new Map<string, ControlClient<DirectControl>>();
    const fetcher = createDocumentFetcher(holder);
    /** Monotonic times until which peers are not asked for the document, in milliseconds. */
    const avoidedPeers = new Map<string, number>();
    let isFetching = false;
    let isFetchingDocument = false;
    const loop: Loop = startLoop(CHECK_PERIOD_MS, fetchIfPlatformSilent, error =>
        logger.logFailure(EventId.TaskFailed, error, { task: "peer fallback" }),
    );
    return {
        handleMessage,
        async stop() {
            await loop.stop();
            clients.forEach(client => client.close());
        },
    };

    function handleMessage(message: GossipMessage): void {
        if (message.documentAgeMs >= 0) {
            options.documentKnowledge.recordConfirmed(message.version, message.documentAgeMs);
        } else {
            options.documentKnowledge.recordHeard(message.version);
        }
        const position = knowledge.locateRevision(message.storeEra, message.endpointRevision);
        const progress = comparePositions(position, knowledge.getPosition());
        const areEndpointsEqual = message.endpointDigest === directory.getDigest();
        if (message.endpointAgeMs >= 0 && areEndpointsEqual && progress >= 0) {
            knowledge.recordPosition(position, message.endpointAgeMs);
        }
        const address = `${message.address}:${options.controlPort}`;
        if (progress > 0 && !areEndpointsEqual && canFetchEndpoints(message.zone) && !isFetching) {
            void fetchSnapshot(address, NO_DOCUMENT_VERSION);
        }
        if (message.version > holder.getVersion() && canFetchDocument(address, message.zone)) {
            void fetchDocument(address);
        }
    }

    function canFetchDocument(address: string, zone: string): boolean {
        const now = readMonotonicMs();
        const isZoneLate = options.documentKnowledge.getBehindMs() >= OWN_ZONE_FRACTION * options.applyMs;
        return (
            !isFetchingDocument &&
            (avoidedPeers.get(address) ?? Number.NEGATIVE_INFINITY) <= now &&
            (zone === options.ownZone || isZoneLate || holder.getVersion() === 0)
        );
    }

    /**
     * A router that reads the store, or one of another zone, is asked only while the store is silent: then any peer may know of
     * changes that this router, perhaps restarted, has missed.
     */
    function canFetchEndpoints(zone: string): boolean {
        const isSilent = knowledge.getAgeMs() >= PLATFORM_SILENCE_MS;
        return isSilent || (!options.isReadingStore() && zone === options.ownZone);
    }

    async function fetchIfPlatformSilent(): Promise<void> {
        if (knowledge.getAgeMs() < PLATFORM_SILENCE_MS) {
            return;
        }
        const address = choosePeer();
        if (address === undefined) {
            return;
        }
        const isDocumentWanted = holder.getVersion() === 0 || options.documentKnowledge.getBehindMs() > 0;
        if (isDocumentWanted && !isFetchingDocument) {
            await fetchDocument(address);
        }
        await fetchSnapshot(address, NO_DOCUMENT_VERSION);
    }

    /**
     * Chooses the peer whose list the platform has confirmed last. Without such a peer, a router that has no routes or
     * no endpoints tries its seeds in turn.
     */
    function choosePeer(): string | undefined {
        const candidates = options.gossip
            .listRecent(MAX_PEER_PLATFORM_AGE_MS)
            .map(message => ({ address: message.address, ageMs: getKnowledgeAge(message) }))
            .filter(({ ageMs }) => ageMs >= 0 && ageMs < MAX_PEER_PLATFORM_AGE_MS)
            .sort((left, right) => left.ageMs - right.ageMs);
        if (candidates[0] !== undefined) {
            return `${candidates[0].address}:${options.controlPort}`;
        }
        const seeds = options.seeds.filter(seed => !seed.startsWith(`${options.ownAddress}:`));
        const hasState = holder.getVersion() > 0 && directory.countRecords() > 0;
        return hasState || seeds.length === 0
            ? undefined
            : seeds[Math.floor(readMonotonicMs() / CHECK_PERIOD_MS) % seeds.length];
    }

    async function fetchDocument(address: string): Promise<void> {
        isFetchingDocument = true;
        const startedAt = readMonotonicMs();
        try {
            await fetcher.fetchDocument(address, digests =>
                getClient(address).call(
                    (control, signal) =>
                        control.getDocument.query({ address: options.ownAddress, digests }, { signal }) as Promise<
                            DocumentReply | undefined
                        >,
                    DOCUMENT_CALL_FRACTION * options.applyMs,
                ),
            );
        } catch (error) {
            if (hasErrorCode(error, ErrorCode.NotSupported)) {
                // Routers of earlier versions send their document only as a whole.
                await fetchSnapshot(address, holder.getVersion());
            } else {
                avoidedPeers.set(address, readMonotonicMs() + FAILED_PEER_MS);
                logFailure(error, address, startedAt);
            }
        } finally {
            isFetchingDocument = false;
        }
    }

    /** Fetches the endpoints of a peer, and its document if that is newer than a known version. */
    async function fetchSnapshot(address: string, knownVersion: number): Promise<void> {
        isFetching = true;
        const startedAt = readMonotonicMs();
        try {
            const client = getClient(address);
            const snapshot = await client.call<RouterSnapshot>(
                (control, signal) =>
                    control.getKnowledge.query({ version: knownVersion }, { signal }) as Promise<RouterSnapshot>,
                CALL_TIMEOUT_MS,
            );
            applySnapshot(snapshot, address, readMonotonicMs() - startedAt);
        } catch (error) {
            logFailure(error, address, startedAt);
        } finally {
            isFetching = false;
        }
    }

    function logFailure(error: unknown, peer: string, startedAt: number): void {
        const lastedMs = Math.round(readMonotonicMs() - startedAt);
        const behindMs = Math.round(options.documentKnowledge.getBehindMs());
        logger.logFailure(EventId.PeerUnreachable, error, { peer, lastedMs, behindMs });
    }

    function applySnapshot(snapshot: RouterSnapshot, address: string, lastedMs: number): void {
        if (snapshot.evacuations !== undefined) {
            options.evacuations.mergeReport(snapshot.evacuations, address, lastedMs);
        }
        if (snapshot.document !== undefined) {
            holder.applyDocument(snapshot.document, address);
        }
        // An older snapshot would restore endpoints that have been removed since.
        const position = knowledge.locateRevision(snapshot.storeEra ?? UNKNOWN_ERA, snapshot.endpointRevision);
        const isNewer = comparePositions(position, knowledge.getPosition()) > 0;
        const isNeeded = !options.isReadingStore() || knowledge.getAgeMs() >= PLATFORM_SILENCE_MS;
        const ageMs = snapshot.endpointAgeMs ?? MAX_PEER_PLATFORM_AGE_MS;
        if (isNewer && isNeeded && ageMs >= 0) {
            directory.setEra(position.era);
            directory.applyListing(snapshot.endpoints, address);
            knowledge.recordPosition(position, ageMs);
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

/** Routers of earlier versions tell only when the store last answered them. */
function getKnowledgeAge({ endpointAgeMs, platformAgeMs }: GossipMessage): number {
    return endpointAgeMs >= 0 ? endpointAgeMs : platformAgeMs;
}
