import { z } from "zod";
import { buildRouter, processProcedure } from "../control/index.js";
import type { RankGuard } from "../groups/index.js";
import type { AgentCore, AgentLoad } from "./AgentCore.js";
import type { AttemptState } from "./AttemptLedger.js";
import type { AnswerEnd } from "./KeptAnswer.js";

/** What an agent says of an attempt. */
export interface AttemptReport {
    incarnation: string;
    state: AttemptState;
    /** Bytes of the answer so far. */
    length: number;
    end?: AnswerEnd;
    /** The endpoint died under the attempt. */
    isEndpointDead: boolean;
    /** The answer can still be read from its start. */
    isAnswerKept: boolean;
}

const idSchema = z.string().regex(/^[A-Za-z0-9-]{1,64}$/);
const placementSchema = z.array(z.array(z.number().int()));
const grantSchema = z.object({
    epoch: z.number().int(),
    upToStep: z.number().int(),
    schedule: z.array(z.object({ afterStep: z.number().int(), version: z.number().int() })),
});
const MAX_BAR_MS = 600_000;

/**
 * Builds the control procedures of an agent.
 * @param core - Core of the agent.
 * @param getGuard - Gives the guard of the agent's rank, if the agent belongs to a group.
 */
export function buildAgentControl(core: AgentCore, getGuard: () => RankGuard | undefined) {
    return buildRouter({
        /** Tells the state of an attempt, and bars it if it was never seen. */
        settleAttempt: processProcedure.input(z.object({ id: idSchema })).mutation(({ input }): AttemptReport => {
            const state = core.settleState(input.id);
            const record = core.getAttempt(input.id);
            const answer = record?.answer;
            return {
                incarnation: core.incarnation,
                state,
                length: answer?.getLength() ?? 0,
                end: answer?.getEnd(),
                isEndpointDead: record?.isEndpointDead ?? false,
                isAnswerKept: answer?.hasChunks() ?? false,
            };
        }),
        /** Bars an idempotency key for a time; false if an attempt holds it. */
        barKey: processProcedure
            .input(z.object({ keyDigest: z.string().max(64), barMs: z.number().int().min(1).max(MAX_BAR_MS) }))
            .mutation(({ input }) => ({
                incarnation: core.incarnation,
                isBarred: core.barKey(input.keyDigest, input.barMs),
            })),
        getLoad: processProcedure.query((): AgentLoad => core.getLoad()),
        /** Shuts out the coordinators of older epochs. */
        fenceRank: processProcedure
            .input(z.object({ epoch: z.number().int() }))
            .mutation(({ input }) => getGuard()?.fence(input.epoch)),
        /** Lets the rank run further steps. */
        grantPermit: processProcedure.input(grantSchema).mutation(({ input }) => getGuard()?.grant(input)),
        /** Makes the rank fetch the weights of a map. */
        stageMap: processProcedure
            .input(z.object({ epoch: z.number().int(), version: z.number().int(), placement: placementSchema }))
            .mutation(({ input }) => getGuard()?.stage(input.epoch, input.version, input.placement)),
        /** Starts a planned stop: no new work is accepted. */
        drain: processProcedure.mutation(() => {
            core.startDraining();
            return { isDraining: true };
        }),
    });
}

/** Type of the agent's control procedures. */
export type AgentControl = ReturnType<typeof buildAgentControl>;
