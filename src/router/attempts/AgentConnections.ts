import http from "node:http";
import type { AgentControl, AttemptReport } from "../../agent/agentControl.js";
import { type ControlClient, createControlClient } from "../../control/index.js";

/** Network address of an agent process. */
export interface AgentAddress {
    host: string;
    address: string;
    port: number;
}

/** Connections from a router to its agents: HTTP connection pools for requests, tRPC clients for control calls. */
export interface AgentConnections {
    getPool(agent: AgentAddress): http.Agent;
    /** Replaces an agent's pool, so that new requests do not reuse connections as old as a stalled one. */
    replacePool(agent: AgentAddress): void;
    /** Queries the state of an attempt. Resolves to undefined if the agent is unreachable. */
    settleAttempt(agent: AgentAddress, id: string): Promise<AttemptReport | undefined>;
    /** Bars an idempotency key on an agent. Resolves to undefined if the agent is unreachable. */
    barKey(agent: AgentAddress, keyDigest: string, barMs: number): Promise<KeyBarResult | undefined>;
    /** Starts a graceful shutdown of an agent. Resolves to false if the agent is unreachable. */
    drain(agent: AgentAddress): Promise<boolean>;
    close(): void;
}

/** Agent's response to a request to bar a key. */
export interface KeyBarResult {
    incarnation: string;
    isBarred: boolean;
}

const CONTROL_TIMEOUT_MS = 400;

/**
 * Creates the connections to the agents.
 * @param processKey - Key that authenticates the router to the agents.
 */
export function createAgentConnections(processKey: string): AgentConnections {
    const pools = new Map<string, http.Agent>();
    const clients = new Map<string, ControlClient<AgentControl>>();
    return { getPool, replacePool, settleAttempt, barKey, drain, close };

    function getPool(agent: AgentAddress): http.Agent {
        const authority = formatAuthority(agent);
        const pool = pools.get(authority) ?? new http.Agent({ keepAlive: true });
        pools.set(authority, pool);
        return pool;
    }

    function replacePool(agent: AgentAddress): void {
        const authority = formatAuthority(agent);
        const pool = pools.get(authority);
        pools.delete(authority);
        Object.values(pool?.freeSockets ?? {}).forEach(sockets => sockets?.forEach(socket => socket.destroy()));
    }

    async function settleAttempt(agent: AgentAddress, id: string): Promise<AttemptReport | undefined> {
        return callAgent(agent, client =>
            client.call((control, signal) => control.settleAttempt.mutate({ id }, { signal }), CONTROL_TIMEOUT_MS),
        );
    }

    async function barKey(agent: AgentAddress, keyDigest: string, barMs: number): Promise<KeyBarResult | undefined> {
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
        const authority = formatAuthority(agent);
        const client = clients.get(authority) ?? createControlClient<AgentControl>(authority, processKey);
        clients.set(authority, client);
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

function formatAuthority(agent: AgentAddress): string {
    return `${agent.address}:${agent.port}`;
}
