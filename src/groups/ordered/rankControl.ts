import { z } from "zod";
import { buildRouter, processProcedure } from "../../control/index.js";
import type { RankLink } from "./RankLink.js";
import {
    OrderAnswer,
    type OrderResult,
    type RankCounts,
    type RankExperts,
    type RankOrder,
    RankOrderKind,
    type RankReport,
} from "./RankReport.js";

/** Receivers of the control calls of a rank's agent. */
export interface RankControlOptions {
    link: RankLink;
    /**
     * Notes a coordinator's call.
     * @returns False if a coordinator of a higher term was heard before.
     */
    acceptTerm: (term: number) => boolean;
}

/** Answer to a look at a rank. */
export interface RankLook {
    isAccepted: boolean;
    report: RankReport | undefined;
    counts: RankCounts | undefined;
}

const version = z.number().int();
const step = z.number().int();
const orderSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal(RankOrderKind.Prepare),
        version,
        map: z.array(z.array(z.array(z.number().int()))),
    }),
    z.object({ kind: z.literal(RankOrderKind.Arm), version, step }),
    z.object({ kind: z.literal(RankOrderKind.Disarm), version }),
    z.object({ kind: z.literal(RankOrderKind.Hold), step }),
    z.object({ kind: z.literal(RankOrderKind.Release), step }),
]);
const termSchema = z.object({ term: z.number().int() });

/**
 * Builds the control procedures of a rank's agent.
 * @param options - Link to the rank.
 */
export function buildRankControl(options: RankControlOptions) {
    const { link, acceptTerm } = options;
    return buildRouter({
        look: processProcedure
            .input(termSchema.extend({ hasCounts: z.boolean() }))
            .query(async ({ input }): Promise<RankLook> => {
                if (!acceptTerm(input.term)) {
                    return { isAccepted: false, report: undefined, counts: undefined };
                }
                const [report, counts] = await Promise.all([
                    link.readReport(),
                    input.hasCounts ? link.readCounts() : undefined,
                ]);
                return { isAccepted: true, report, counts };
            }),
        readExperts: processProcedure.query((): Promise<RankExperts> => link.readExperts()),
        sendOrder: processProcedure
            .input(
                termSchema.extend({
                    order: orderSchema,
                    condition: z.object({ epoch: z.number().int() }),
                }),
            )
            .mutation(async ({ input }): Promise<OrderResult> => {
                if (!acceptTerm(input.term)) {
                    return {
                        answer: OrderAnswer.Refused,
                        detail: "a later coordinator is in office",
                        report: undefined,
                    };
                }
                return link.sendOrder(input.order as RankOrder, input.condition);
            }),
    });
}

/** Control procedures of a rank's agent. */
export type RankControl = ReturnType<typeof buildRankControl>;
