import { createDirectCalls } from "./AgentCalls.js";
import { type AgentRankLink, createAgentRankLink } from "./AgentRankLink.js";
import { type BranchClient, createBranchClient } from "./BranchClient.js";
import { MEMBER_TIMEOUT_MS } from "./BranchRelay.js";
import { type GroupReader, createBranchedReader, createDirectReader } from "./GroupReader.js";
import { type RankHost, groupIntoBranches } from "./groupIntoBranches.js";
import { createMapEncoder } from "./MapEncoder.js";

/** A coordinator's links to the agents of its group. */
export interface GroupLinks {
    /** By rank. */
    links: readonly AgentRankLink[];
    reader: GroupReader;
    /** Number of agents that the coordinator itself calls to reach all ranks. */
    calledAgents: number;
    /** Number of ranks that are sent a map at the same time. */
    maxConcurrentMaps: number;
    close(): void;
}

/** Options of the links. */
export interface GroupLinksOptions {
    /** Hosts of all ranks, in the order of the ranks. */
    hosts: readonly RankHost[];
    controlPort: number;
    processKey: string;
    getTerm: () => number;
    /** Called when an agent has received a call of a coordinator with a higher term. */
    onSuperseded: () => void;
}

/**
 * Opens the links of a coordinator: to each agent in a small group, through the heads of branches in a large one.
 * @param options - Hosts and term.
 */
export function openGroupLinks(options: GroupLinksOptions): GroupLinks {
    const { hosts, processKey, getTerm, onSuperseded } = options;
    const encoder = createMapEncoder();
    const branches = groupIntoBranches(hosts);
    const members = hosts.map(({ host }) => {
        const address = `${host}:${options.controlPort}`;
        return { address, direct: createDirectCalls({ address, processKey, getTerm, timeoutMs: MEMBER_TIMEOUT_MS }) };
    });
    const isBranched = branches.length < hosts.length;
    const links: AgentRankLink[] = [];
    const clients: BranchClient[] = [];
    for (const branch of branches) {
        const ofBranch = branch.flatMap(({ rank }) => members[rank] ?? []);
        const client = createBranchClient({ members: ofBranch, processKey, getTerm });
        clients.push(client);
        branch.forEach(({ rank }, index) => {
            const calls = isBranched ? client.createMemberCalls(index) : ofBranch[index]?.direct;
            if (calls !== undefined) {
                links[rank] = createAgentRankLink({
                    calls,
                    address: ofBranch[index]?.address ?? "",
                    onSuperseded,
                    encoder,
                });
            }
        });
    }
    const reading = clients.map((client, index) => ({
        client,
        ranks: (branches[index] ?? []).map(({ rank }) => rank),
    }));
    return {
        links,
        reader: isBranched ? createBranchedReader(reading, onSuperseded) : createDirectReader(links),
        calledAgents: branches.length,
        maxConcurrentMaps: hosts.length,
        close() {
            links.forEach(link => link.close());
            clients.forEach(client => client.close());
        },
    };
}
