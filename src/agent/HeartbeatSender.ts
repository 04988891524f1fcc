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

/** Tells a few routers of the zone, each second, how the agent is. */
export interface HeartbeatSender {
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
    const loop: Loop = startLoop(TICK_MS, sendNow, error => options.logger.logFailure(EventId.TaskFailed, error));
    return { sendNow, stop };

    /** Routers that fail are passed over in favour of the next ones, at last of other zones. */
    async function sendNow(): Promise<void> {
        const candidates = options.peers.choosePeers(options.host, options.zone, CANDIDATES);
        const first = await Promise.all(candidates.slice(0, LISTENERS).map(sendTo));
        let missing = first.filter(isHeard => !isHeard).length;
        for (const candidate of candidates.slice(LISTENERS)) {
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
