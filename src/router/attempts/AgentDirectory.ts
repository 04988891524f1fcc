import http from "node:http";
import type { AgentControl, AttemptReport } from "../../agent/agentControl.js";
import { type ControlClient, createControlClient } from "../../control/index.js";

/** Address of an agent's process. */
export interface AgentAddress {
    host: string;
    address: string;
    port: number;
}

/** Connections of a router to the agents: pools for data, clients for control. */
export interface AgentDirectory {
    getPool(agent: AgentAddress): http.Agent;
    /** Replaces a pool, so that no new request takes a connection as old as a silent one. */
    replacePool(agent: AgentAddress): void;
    /** Asks for an attempt; undefined if the agent can't be reached. */
    settleAttempt(agent: AgentAddress, id: string): Promise<AttemptReport | undefined>;
    /** Bars a key at an agent; undefined if the agent can't be reached. */
    barKey(agent: AgentAddress, keyDigest: string, barMs: number): Promise<BarReport | undefined>;
    /** Starts the planned stop of an agent; false if it can't be reached. */
    drain(agent: AgentAddress): Promise<boolean>;
    close(): void;
}

/** Answer of an agent to the barring of a key. */
export interface BarReport {
    incarnation: string;
    isBarred: boolean;
}

const CONTROL_TIMEOUT_MS = 400;

/**
 * Creates the connections to the agents.
 * @param processKey - Key that the router presents.
 */
export function createAgentDirectory(processKey: string): AgentDirectory {
    const pools = new Map<string, http.Agent>();
    const clients = new Map<string, ControlClient<AgentControl>>();
    return { getPool, replacePool, settleAttempt, barKey, drain, close };

    function getPool(agent: AgentAddress): http.Agent {
        const place = formatPlace(agent);
        const pool = pools.get(place) ?? new http.Agent({ keepAlive: true });
        pools.set(place, pool);
        return pool;
    }

    function replacePool(agent: AgentAddress): void {
        const place = formatPlace(agent);
        const pool = pools.get(place);
        pools.delete(place);
        Object.values(pool?.freeSockets ?? {}).forEach(sockets => sockets?.forEach(socket => socket.destroy()));
    }

    async function settleAttempt(agent: AgentAddress, id: string): Promise<AttemptReport | undefined> {
        return callAgent(agent, client =>
            client.call((control, signal) => control.settleAttempt.mutate({ id }, { signal }), CONTROL_TIMEOUT_MS),
        );
    }

    async function barKey(agent: AgentAddress, keyDigest: string, barMs: number): Promise<BarReport | undefined> {
        return callAgent(agent, client =>
            client.call(
                (control, signal) => control.barKey.mutate({ keyDigest, barMs }, { signal }),
                CONTROL_TIMEOUT_MS,
            ),
        );
    }

    async function drain(agent: AgentAddress): Promise<boolean> {
        const answer = await callAgent(agent, client =>
            client.call((control, signal) => control.drain.mutate(undefined, { signal }), CONTROL_TIMEOUT_MS),
        );
        return answer?.isDraining === true;
    }

    async function callAgent<T>(
        agent: AgentAddress,
        call: (client: ControlClient<AgentControl>) => Promise<T>,
    ): Promise<T | undefined> {
        const place = formatPlace(agent);
        const client = clients.get(place) ?? createControlClient<AgentControl>(place, processKey);
        clients.set(place, client);
        try {
            return await call(client);
        } catch {
            return undefined;
        }
    }

    function close(): void {
        pools.forEach(pool => pool.destroy());
        clients.forEach(client => client.close());
    }
}

function formatPlace(agent: AgentAddress): string {
    return `${agent.address}:${agent.port}`;
}
