import { z } from "zod";
import { buildRouter, processProcedure } from "../../control/index.js";
import { type BranchCall, BranchCallKind, type BranchRelay, type BranchResult } from "./BranchRelay.js";
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
import { type SetPlan, planSet } from "./planMap.js";
import { type KnownMap, type PackedChange, type PackedMap, applyChange, decodeMap } from "./PackedMap.js";

/** Options of the control procedures of a rank's agent. */
export interface RankControlOptions {
    link: RankLink;
    /**
     * Records a call by a coordinator.
     * @returns False if a call with a higher term was received before.
     */
    acceptTerm: (term: number) => boolean;
    relay: BranchRelay;
}

/** An order as sent to an agent, with a packed map. */
export type WireOrder =
    | Exclude<RankOrder, { map: unknown }>
    | { kind: RankOrderKind.Prepare; version: number; map: PackedMap }
    | { kind: RankOrderKind.Prepare; version: number; change: PackedChange };

/** Answer to an order as sent by an agent. */
export interface WireOrderResult extends OrderResult {
    /** The agent does not have the base map of a delta, and did not forward the order. */
    isMapMissing?: boolean;
}

/** Result of the `look` procedure. */
export interface LookResult {
    isAccepted: boolean;
    report: RankReport | undefined;
    counts: CountsDelta | undefined;
}

const count = z.number().int().min(0);
const version = z.number().int();
const step = z.number().int();
const packedNumbers = { width: z.union([z.literal(1), z.literal(2)]), numbers: z.base64() };
const prepareSchema = z.object({
    kind: z.literal(RankOrderKind.Prepare),
    version,
    map: z.object({ layerSets: count, ranks: count, ...packedNumbers }).transform((packed, context) => {
        const map = decodeMap(packed);
        if (map === undefined) {
            context.addIssue("expected as many experts as the counts of the map state");
            return z.NEVER;
        }
        return map;
    }),
});
const prepareChangeSchema = z.object({
    kind: z.literal(RankOrderKind.Prepare),
    version,
    change: z.object({ base: version, ...packedNumbers }),
});
const orderSchema = z.union([
    prepareSchema,
    prepareChangeSchema,
    z.object({ kind: z.literal(RankOrderKind.Arm), version, step }),
    z.object({ kind: z.literal(RankOrderKind.Disarm), version }),
    z.object({ kind: z.literal(RankOrderKind.Hold), step }),
    z.object({ kind: z.literal(RankOrderKind.Release), step }),
]);
const planSchema = z.object({
    experts: z.array(z.array(count)),
    expertLoads: z.array(z.number().min(0)),
    limits: z.object({
        placements: count,
        reserve: count,
        paces: z.array(z.number()).optional(),
        leastGainPerCopy: z.number(),
    }),
});
/** Orders to a branch are checked by its members. */
const branchCallSchema = z.union([
    z.object({ kind: z.literal(BranchCallKind.Look), hasCounts: z.boolean() }),
    z.object({ kind: z.literal(BranchCallKind.ReadExperts) }),
    z.object({
        kind: z.literal(BranchCallKind.Order),
        order: z.looseObject({ kind: z.enum(RankOrderKind) }),
        epoch: z.number().int(),
    }),
]);
const MAX_BRANCH_MEMBERS = 256;
const termSchema = z.object({ term: z.number().int() });

/**
 * Builds the control procedures of a rank's agent.
 * @param options - Link to the rank.
 */
export function buildRankControl(options: RankControlOptions) {
    const { link, acceptTerm } = options;
    const encoder = createCountsEncoder();
    /** Last map that the rank was ordered to prepare, the base of the next delta. */
    let lastMap: KnownMap | undefined;
    return buildRouter({
        look: processProcedure
            .input(termSchema.extend({ hasCounts: z.boolean() }))
            .query(async ({ input }): Promise<LookResult> => {
                if (!acceptTerm(input.term)) {
                    return { isAccepted: false, report: undefined, counts: undefined };
                }
                const [report, counts] = await Promise.all([
                    link.readReport(),
                    input.hasCounts ? link.readCounts() : undefined,
                ]);
                return { isAccepted: true, report, counts: counts && encoder.encodeCounts(counts) };
            }),
        relayCall: processProcedure
            .input(
                termSchema.extend({
                    members: z.array(z.string()).max(MAX_BRANCH_MEMBERS),
                    call: branchCallSchema,
                }),
            )
            .mutation(({ input }): Promise<BranchResult> => {
                return options.relay.relayCall(input.term, input.members, input.call as BranchCall);
            }),
        planSet: processProcedure
            .input(planSchema)
            .query(({ input }): SetPlan => planSet(input.experts, input.expertLoads, input.limits)),
        readExperts: processProcedure.query((): Promise<RankExperts> => link.readExperts()),
        sendOrder: processProcedure
            .input(
                termSchema.extend({
                    order: orderSchema,
                    condition: z.object({ epoch: z.number().int() }),
                }),
            )
            .mutation(async ({ input }): Promise<WireOrderResult> => {
                if (!acceptTerm(input.term)) {
                    return {
                        answer: OrderAnswer.Refused,
                        detail: "a coordinator with a higher term was elected",
                        report: undefined,
                    };
                }
                const order = "change" in input.order ? applyToLastMap(input.order) : input.order;
                if (order === undefined) {
                    const detail = "the base map of the change is unknown";
                    return { answer: OrderAnswer.Refused, detail, report: undefined, isMapMissing: true };
                }
                if (order.kind === RankOrderKind.Prepare) {
                    lastMap = { version: order.version, map: order.map };
                }
                return link.sendOrder(order, input.condition);
            }),
    });

    function applyToLastMap({ version, change }: z.infer<typeof prepareChangeSchema>): RankOrder | undefined {
        const map = lastMap?.version === change.base ? applyChange(lastMap.map, change) : undefined;
        return map && { kind: RankOrderKind.Prepare, version, map };
    }
}

/** Control procedures of a rank's agent. */
export type RankControl = ReturnType<typeof buildRankControl>;
