import { type ControlClient, createControlClient } from "../control/index.js";
import type { EndpointFact, Peer, PeerDirectory } from "../membership/index.js";
import type { AgentPolicy, RouterControl } from "../router/routerControl.js";
import { EventId, type Logger } from "../telemetry/index.js";
import { type Loop, startLoop } from "../utils/time.js";

/** Options of the heartbeats. */
export interface HeartbeatOptions {
    host: string;
    zone: string;
    processKey: string;
    peers: PeerDirectory;
    buildFact: () => EndpointFact;
    getPolicyVersion: () => number;
    onPolicy: (policy: AgentPolicy) => void;
    logger: Logger;
}

/** Tells the routers of the zone how the agent is: a few listeners, in turn, one each second. */
export interface HeartbeatSender {
    /** Tells all listeners at once. */
    sendNow(): Promise<void>;
    stop(): Promise<void>;
}

const TICK_MS = 1_000;
const CALL_TIMEOUT_MS = 800;
const LISTENERS = 2;
const CANDIDATES = 6;

/**
 * Starts the heartbeats.
 * @param options - Identity and facts.
 */
export function startHeartbeats(options: HeartbeatOptions): HeartbeatSender {
    const clients = new Map<string, ControlClient<RouterControl>>();
    let turn = 0;
    const loop: Loop = startLoop(TICK_MS, sendTick, error => options.logger.logFailure(EventId.TaskFailed, error));
    return { sendNow, stop };

    function sendNow(): Promise<void> {
        return sendToListeners(LISTENERS);
    }

    function sendTick(): Promise<void> {
        turn++;
        return turn === 1 ? sendNow() : sendToListeners(1);
    }

    /** Routers that fail are passed over in favour of the next ones, at last of other zones. */
    async function sendToListeners(count: number): Promise<void> {
        const candidates = options.peers.choosePeers(options.host, options.zone, CANDIDATES);
        const listeners = candidates.slice(0, LISTENERS);
        const first = turn % Math.max(1, listeners.length);
        const ordered = [...listeners.slice(first), ...listeners.slice(0, first), ...candidates.slice(LISTENERS)];
        const heard = await Promise.all(ordered.slice(0, count).map(sendTo));
        let missing = heard.filter(isHeard => !isHeard).length;
        for (const candidate of ordered.slice(count)) {
            if (missing === 0) {
                return;
            }
            missing -= (await sendTo(candidate)) ? 1 : 0;
        }
    }

    async function sendTo(peer: Peer): Promise<boolean> {
        const place = `${peer.address}:${peer.port}`;
        const client = clients.get(place) ?? createControlClient<RouterControl>(place, options.processKey);
        clients.set(place, client);
        const message = { fact: options.buildFact(), policyVersion: options.getPolicyVersion() };
        try {
            const answer = await client.call(
                (control, signal) => control.heartbeat.mutate(message, { signal }),
                CALL_TIMEOUT_MS,
            );
            if (answer.policy !== undefined) {
                options.onPolicy(answer.policy);
            }
            return true;
        } catch {
            return false;
        }
    }

    async function stop(): Promise<void> {
        await loop.stop();
        clients.forEach(client => client.close());
    }
}
