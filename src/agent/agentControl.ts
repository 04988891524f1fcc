import { z } from "zod";
import { buildRouter, processProcedure } from "../control/index.js";
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
const MAX_BAR_MS = 600_000;

/**
 * Builds the control procedures of an agent.
 * @param core - Core of the agent.
 */
export function buildAgentControl(core: AgentCore) {
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
        /** Starts a planned stop: no new work is accepted. */
        drain: processProcedure.mutation(() => {
            core.startDraining();
            return { isDraining: true };
        }),
    });
}

/** Type of the agent's control procedures. */
export type AgentControl = ReturnType<typeof buildAgentControl>;
