import { type ControlClient, createControlClient } from "../control/index.js";
import type { PeerMessage, RouterControl } from "../router/routerControl.js";
import type { StoredDocument } from "../config/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import { type Loop, readMonotonicMs, startLoop } from "../utils/time.js";
import { type EndpointTable, FactOrigin } from "./EndpointTable.js";
import type { Peer, PeerDirectory } from "./PeerDirectory.js";

/** Options of the exchange between routers. */
export interface PeerExchangeOptions {
    host: string;
    zone: string;
    processKey: string;
    peers: PeerDirectory;
    table: EndpointTable;
    getDocumentVersion: () => number;
    listSuspects: () => PeerMessage["suspects"];
    listPartReports: () => PeerMessage["parts"];
    onDocument: (stored: StoredDocument, from: string) => void;
    /** Called at each tick for a zone none of whose routers answers. */
    onZoneSilent: (zone: string) => void;
    logger: Logger;
}

/** Version that a peer has in force; undefined if it can't be reached. */
export interface PeerVersion {
    host: string;
    version: number | undefined;
}

/** Exchange of endpoint facts, document versions and suspects between routers. */
export interface PeerExchange {
    /** Sends the news at once, in place of at the next tick. */
    sendNow(): Promise<void>;
    /** Sends the news to every router, and waits until those that can be reached have them. */
    sendToAll(): Promise<void>;
    /** Reacts to the version that a peer has announced. */
    handleVersion(host: string, version: number): void;
    /** Asks every peer for the version that it has in force. */
    queryVersions(): Promise<PeerVersion[]>;
    stop(): Promise<void>;
}

interface PeerLink {
    client: ControlClient<RouterControl>;
    place: string;
    /** Version of the table that the peer has. */
    sentVersion: number;
    /** Monotonic time until which another peer of the zone goes first, in milliseconds. */
    failedUntil: number;
}

const TICK_MS = 1_000;
const CALL_TIMEOUT_MS = 800;
const FAILED_MS = 5_000;
const PEERS_PER_OTHER_ZONE = 1;
/** Facts heard from the own zone are known there; facts of other zones are passed on inside the zone only. */
const ORIGINS_FOR_OWN_ZONE = [FactOrigin.Agent, FactOrigin.OtherZone];
const ORIGINS_FOR_OTHER_ZONES = [FactOrigin.Agent];

/**
 * Starts the exchange.
 * @param options - Identity, table and receivers.
 */
export function startPeerExchange(options: PeerExchangeOptions): PeerExchange {
    const links = new Map<string, PeerLink>();
    /** Several copies at once would share the link, and time out together. */
    let isFetchingDocument = false;
    const loop: Loop = startLoop(TICK_MS, sendNow, error => options.logger.logFailure(EventId.TaskFailed, error));
    return { sendNow, sendToAll, handleVersion, queryVersions, stop };

    async function sendNow(): Promise<void> {
        await Promise.all(chooseTargets().map(sendTo));
        findSilentZones().forEach(options.onZoneSilent);
    }

    /** Zones all of whose routers failed at their last call. */
    function findSilentZones(): string[] {
        const now = readMonotonicMs();
        const peers = options.peers.listPeers().filter(peer => peer.zone !== options.zone);
        const heard = new Set(peers.filter(peer => !hasFailed(peer, now)).map(peer => peer.zone));
        return [...new Set(peers.map(peer => peer.zone))].filter(zone => !heard.has(zone));
    }

    function hasFailed(peer: Peer, now: number): boolean {
        return (links.get(peer.host)?.failedUntil ?? 0) > now;
    }

    async function sendToAll(): Promise<void> {
        await Promise.all(options.peers.listPeers().map(sendTo));
    }

    /** All routers of the own zone, and of each other zone one that differs from host to host. */
    function chooseTargets(): Peer[] {
        const peers = options.peers.listPeers();
        const own = peers.filter(peer => peer.zone === options.zone);
        const otherZones = new Set(peers.map(peer => peer.zone).filter(zone => zone !== options.zone));
        const others = [...otherZones].flatMap(zone => chooseOfZone(zone, peers));
        return [...own, ...others];
    }

    /** Peers that failed a moment ago go last, and are still tried when no other is left. */
    function chooseOfZone(zone: string, peers: readonly Peer[]): Peer[] {
        const now = readMonotonicMs();
        const ordered = options.peers.choosePeers(options.host, zone, peers.length).filter(peer => peer.zone === zone);
        const healthy = ordered.filter(peer => !hasFailed(peer, now));
        return (healthy.length > 0 ? healthy : ordered).slice(0, PEERS_PER_OTHER_ZONE);
    }

    async function sendTo(peer: Peer): Promise<void> {
        const link = getLink(peer);
        const origins = peer.zone === options.zone ? ORIGINS_FOR_OWN_ZONE : ORIGINS_FOR_OTHER_ZONES;
        const changes = options.table.listFactsAfter(link.sentVersion, origins);
        const message: PeerMessage = {
            host: options.host,
            zone: options.zone,
            documentVersion: options.getDocumentVersion(),
            facts: changes.facts,
            suspects: options.listSuspects(),
            parts: options.listPartReports(),
        };
        try {
            const answer = await link.client.call(
                (control, signal) => control.exchange.mutate(message, { signal }),
                CALL_TIMEOUT_MS,
            );
            link.sentVersion = changes.version;
            link.failedUntil = 0;
            handleVersion(peer.host, answer.documentVersion);
        } catch {
            link.failedUntil = readMonotonicMs() + FAILED_MS;
        }
    }

    function handleVersion(host: string, version: number): void {
        if (version > options.getDocumentVersion() && !isFetchingDocument) {
            void fetchDocument(host);
        }
    }

    async function fetchDocument(host: string): Promise<void> {
        const peer = options.peers.listPeers().find(candidate => candidate.host === host);
        if (peer === undefined) {
            return;
        }
        isFetchingDocument = true;
        try {
            const stored = await getLink(peer).client.call(
                (control, signal) => control.getDocument.query(undefined, { signal }),
                CALL_TIMEOUT_MS,
            );
            if (stored !== undefined) {
                options.onDocument(stored, host);
            }
        } catch (error) {
            options.logger.logFailure(EventId.TaskFailed, error, { peer: host });
        } finally {
            isFetchingDocument = false;
        }
    }

    function queryVersions(): Promise<PeerVersion[]> {
        return Promise.all(options.peers.listPeers().map(queryVersion));
    }

    async function queryVersion(peer: Peer): Promise<PeerVersion> {
        try {
            const answer = await getLink(peer).client.call(
                (control, signal) => control.getVersion.query(undefined, { signal }),
                CALL_TIMEOUT_MS,
            );
            return { host: peer.host, version: answer.version };
        } catch {
            return { host: peer.host, version: undefined };
        }
    }

    function getLink(peer: Peer): PeerLink {
        const place = `${peer.address}:${peer.port}`;
        const known = links.get(peer.host);
        if (known?.place === place) {
            return known;
        }
        known?.client.close();
        const client = createControlClient<RouterControl>(place, options.processKey);
        const link = { client, place, sentVersion: 0, failedUntil: 0 };
        links.set(peer.host, link);
        return link;
    }

    async function stop(): Promise<void> {
        await loop.stop();
        links.forEach(link => link.client.close());
    }
}
