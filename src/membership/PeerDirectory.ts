import { type HostEntry, HostRole, HostState } from "../platform/index.js";
import { computeHash32 } from "../utils/digest.js";

/** A router that a process may speak to. */
export interface Peer {
    host: string;
    zone: string;
    address: string;
    port: number;
}

/** The routers that a process knows, from its settings and the host list. */
export interface PeerDirectory {
    recordHosts(hosts: readonly HostEntry[]): void;
    listPeers(): Peer[];
    /**
     * Chooses a few routers, the same ones each time while the list stays the same.
     * @param salt - Spreads the choices of different processes.
     * @param zone - Availability zone that goes first.
     * @param count - Number of routers.
     */
    choosePeers(salt: string, zone: string, count: number): Peer[];
}

/**
 * Creates the directory.
 * @param ownHost - Host that is left out.
 * @param seeds - Routers of the settings, which are known without the platform.
 */
export function createPeerDirectory(ownHost: string, seeds: readonly Peer[]): PeerDirectory {
    let listed: Peer[] = [];
    return { recordHosts, listPeers, choosePeers };

    function recordHosts(hosts: readonly HostEntry[]): void {
        listed = hosts
            .filter(host => host.role === HostRole.Router && host.state === HostState.Live && host.host !== ownHost)
            .map(({ host, zone, address, port }) => ({ host, zone, address, port }));
    }

    function listPeers(): Peer[] {
        const peers = new Map(seeds.filter(seed => seed.host !== ownHost).map(seed => [seed.host, seed]));
        listed.forEach(peer => peers.set(peer.host, peer));
        return [...peers.values()];
    }

    function choosePeers(salt: string, zone: string, count: number): Peer[] {
        const scored = listPeers().map(peer => ({ peer, score: computeHash32(`${salt}/${peer.host}`) }));
        scored.sort((left, right) => {
            const nearness = Number(right.peer.zone === zone) - Number(left.peer.zone === zone);
            return nearness !== 0 ? nearness : right.score - left.score;
        });
        return scored.slice(0, count).map(entry => entry.peer);
    }
}
