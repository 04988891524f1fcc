import { z } from "zod";
import { buildRouter, processProcedure } from "../../control/index.js";
import { type CountsDelta, createCountsEncoder } from "./CountsDelta.js";
import type { RankLink } from "./RankLink.js";
import {
    OrderAnswer,
    type OrderResult,
    type RankExperts,
    type RankOrder,
    RankOrderKind,
    type RankReport,
} from "./RankReport.js";
import { type PackedMap, decodeMap } from "./PackedMap.js";

/** Receivers of the control calls of a rank's agent. */
export interface RankControlOptions {
    link: RankLink;
    /**
     * Notes a coordinator's call.
     * @returns False if a coordinator of a higher term was heard before.
     */
    acceptTerm: (term: number) => boolean;
}

/** An order on its way to an agent, whose map is packed. */
export type WireOrder =
    Exclude<RankOrder, { map: unknown }> | { kind: RankOrderKind.Prepare; version: number; map: PackedMap };

/** Answer to a look at a rank. */
export interface RankLook {
    isAccepted: boolean;
    report: RankReport | undefined;
    counts: CountsDelta | undefined;
}

const count = z.number().int().min(0);
const version = z.number().int();
const step = z.number().int();
const orderSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal(RankOrderKind.Prepare),
        version,
        map: z
            .object({
                layerSets: count,
                ranks: count,
                width: z.union([z.literal(1), z.literal(2)]),
                numbers: z.base64(),
            })
            .transform((packed, context) => {
                const map = decodeMap(packed);
                if (map === undefined) {
                    context.addIssue("expected as many experts as the counts tell");
                    return z.NEVER;
                }
                return map;
            }),
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
    const encoder = createCountsEncoder();
    return buildRouter({
        look: processProcedure
            .input(termSchema.extend({ hasCounts: z.boolean() }))
            .query(async ({ input }): Promise<RankLook> => {
                if (!acceptTerm(input.term)) {
                    return { isAccepted: false, report: undefined, counts: undefined };
                }
                // The counts are read at each look, so that those of a sample tell of the time since the last look.
                const [report, counts] = await Promise.all([link.readReport(), link.readCounts()]);
                const delta = encoder.encodeCounts(counts);
                return { isAccepted: true, report, counts: input.hasCounts ? delta : undefined };
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
                return link.sendOrder(input.order, input.condition);
            }),
    });
}

/** Control procedures of a rank's agent. */
export type RankControl = ReturnType<typeof buildRankControl>;
