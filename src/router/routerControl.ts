import { z } from "zod";
import { type DocumentHolder, type RankStructure, type StoredDocument, WORK_RANKS, WorkRank } from "../config/index.js";
import { buildRouter, processProcedure } from "../control/index.js";
import { type EndpointFact, endpointFactSchema } from "../membership/index.js";

/** What a router tells its peers each second. */
export const peerMessageSchema = z.object({
    host: z.string(),
    zone: z.string(),
    documentVersion: z.number().int(),
    facts: z.array(endpointFactSchema),
    /** Digests of requests under which endpoints died, with the number of endpoints. */
    suspects: z.array(z.object({ digest: z.string(), losses: z.number().int(), generation: z.number().int() })),
});

/** What a router tells its peers. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** Scheduling facts that an agent needs of the document. */
export interface AgentPolicy {
    version: number;
    floors: Record<WorkRank, number>;
}

/** Answer to a heartbeat. */
export interface HeartbeatAnswer {
    policy: AgentPolicy | undefined;
}

/** Answer to a peer's message. */
export interface PeerAnswer {
    documentVersion: number;
}

/** Receivers of the control calls of a router. */
export interface RouterControlOptions {
    holder: DocumentHolder;
    onHeartbeat: (fact: EndpointFact) => void;
    onPeerMessage: (message: PeerMessage) => void;
}

/**
 * Builds the control procedures of a router.
 * @param options - Receivers.
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
