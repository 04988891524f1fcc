import { z } from "zod";
import { type DocumentHolder, type RankStructure, type StoredDocument, WORK_RANKS, WorkRank } from "../config/index.js";
import { buildRouter, processProcedure } from "../control/index.js";
import { type EndpointFact, endpointFactSchema } from "../membership/index.js";
import { partReportSchema } from "../scheduling/index.js";

/** Schema of the message that a router sends to its peers every second. */
export const peerMessageSchema = z.object({
    host: z.string(),
    zone: z.string(),
    documentVersion: z.number().int(),
    facts: z.array(endpointFactSchema),
    /** Digests of requests that crashed endpoints, with the number of endpoints lost. */
    suspects: z.array(z.object({ digest: z.string(), losses: z.number().int(), generation: z.number().int() })),
    /** Parts of prompts that are suspected of crashing endpoints, or were so lately. */
    parts: z.array(partReportSchema).default([]),
});

/** Message that a router sends to its peers. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** Scheduling settings from the environment document that agents need. */
export interface AgentPolicy {
    version: number;
    floors: Record<WorkRank, number>;
}

/** Response to a heartbeat. */
export interface HeartbeatAnswer {
    policy: AgentPolicy | undefined;
}

/** Response to a peer message. */
export interface PeerAnswer {
    documentVersion: number;
}

/** Document holder and listeners for a router's control calls. */
export interface RouterControlOptions {
    holder: DocumentHolder;
    onHeartbeat: (fact: EndpointFact) => void;
    onPeerMessage: (message: PeerMessage) => void;
}

/**
 * Builds the control procedures of a router.
 * @param options - Document holder and listeners.
 */
export function buildRouterControl(options: RouterControlOptions) {
    const { holder } = options;
    return buildRouter({
        heartbeat: processProcedure
            .input(z.object({ fact: endpointFactSchema, policyVersion: z.number().int() }))
            .mutation(({ input }): HeartbeatAnswer => {
                options.onHeartbeat(input.fact);
                const policy = createPolicy(holder);
                return { policy: policy !== undefined && policy.version > input.policyVersion ? policy : undefined };
            }),
        exchange: processProcedure.input(peerMessageSchema).mutation(({ input }): PeerAnswer => {
            options.onPeerMessage(input);
            return { documentVersion: holder.getVersion() };
        }),
        getDocument: processProcedure.query((): StoredDocument | undefined => holder.getStored()),
        getVersion: processProcedure.query(() => ({ version: holder.getVersion() })),
    });
}

/** Type of the router's control procedures. */
export type RouterControl = ReturnType<typeof buildRouterControl>;

function createPolicy(holder: DocumentHolder): AgentPolicy | undefined {
    const index = holder.getIndex();
    if (index === undefined) {
        return undefined;
    }
    const ranks: Record<WorkRank, RankStructure> = index.document.ranks;
    const [urgent, standard, deferrable] = WORK_RANKS.map(rank => ranks[rank].floor);
    return {
        version: index.version,
        floors: {
            [WorkRank.Urgent]: urgent ?? 0,
            [WorkRank.Standard]: standard ?? 0,
            [WorkRank.Deferrable]: deferrable ?? 0,
        },
    };
}
