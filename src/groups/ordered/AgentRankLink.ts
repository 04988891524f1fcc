import { type ControlClient, createControlClient } from "../../control/index.js";
import { ErrorCode, createError } from "../../errors/index.js";
import { type CountsDelta, createCountsDecoder } from "./CountsDelta.js";
import { RankLink } from "./RankLink.js";
import {
    type OrderCondition,
    OrderAnswer,
    type OrderResult,
    type RankCounts,
    type RankExperts,
    type RankOrder,
    RankOrderKind,
    type RankReport,
} from "./RankReport.js";
import type { PlanLimits, SetPlan } from "./planMap.js";
import type { MapEncoder } from "./MapEncoder.js";
import type { KnownMap } from "./PackedMap.js";
import type { RankControl, LookResult, WireOrder, WireOrderResult } from "./rankControl.js";

/** Link to a rank through the agent on its host. */
export abstract class AgentRankLink extends RankLink {
    /** Reads the report and the counts with one call. */
    abstract readReportAndCounts(): Promise<{ report: RankReport; counts: RankCounts }>;
    /** Has the agent plan one set of layers; see `planSet`. */
    abstract planSet(
        experts: readonly (readonly number[])[],
        expertLoads: readonly number[],
        limits: PlanLimits,
    ): Promise<SetPlan>;
    abstract close(): void;
}

/** Options of a link. */
export interface AgentRankLinkOptions {
    /** Address and port of the agent. */
    address: string;
    processKey: string;
    getTerm: () => number;
    /** Called when the agent has received a call of a coordinator with a higher term. */
    onSuperseded: () => void;
    /** Encoder of maps, shared by all links of the group. */
    encoder: MapEncoder;
    /** Time allowed for a call, in milliseconds. */
    timeoutMs: number;
}

/**
 * Creates a link through an agent.
 * @param options - Address and term.
 */
export function createAgentRankLink(options: AgentRankLinkOptions): AgentRankLink {
    const decoder = createCountsDecoder();
    const client: ControlClient<RankControl> = createControlClient(options.address, options.processKey);
    /** Last map sent to the agent, against which the next is sent as a delta. */
    let lastMap: KnownMap | undefined;

    return new (class ControlRankLink extends AgentRankLink {
        override async readReport(): Promise<RankReport> {
            return (await callLook(false)).report;
        }

        override async readCounts(): Promise<RankCounts> {
            return (await this.readReportAndCounts()).counts;
        }

        override async readReportAndCounts(): Promise<{ report: RankReport; counts: RankCounts }> {
            const { report, counts } = await callLook(true);
            if (counts === undefined) {
                throw createMissingReplyError("counts");
            }
            return { report, counts: decoder.decodeCounts(counts) };
        }

        override async planSet(
            experts: readonly (readonly number[])[],
            expertLoads: readonly number[],
            limits: PlanLimits,
        ): Promise<SetPlan> {
            return client.call(
                (control, signal) =>
                    control.planSet.query(
                        {
                            experts: experts.map(ofRank => [...ofRank]),
                            expertLoads: expertLoads.map(Math.round),
                            limits: { ...limits, paces: limits.paces && [...limits.paces] },
                        },
                        { signal },
                    ),
                options.timeoutMs,
            );
        }

        override async readExperts(): Promise<RankExperts> {
            return client.call(
                (control, signal) => control.readExperts.query(undefined, { signal }),
                options.timeoutMs,
            );
        }

        override async sendOrder(order: RankOrder, condition: OrderCondition): Promise<OrderResult> {
            try {
                return order.kind === RankOrderKind.Prepare
                    ? await sendMap(order, condition)
                    : await callOrder(order, condition);
            } catch (error) {
                const detail = error instanceof Error ? error.message : String(error);
                return { answer: OrderAnswer.Unknown, detail, report: undefined };
            }
        }

        override close(): void {
            client.close();
        }
    })();

    async function callOrder(order: WireOrder, condition: OrderCondition): Promise<WireOrderResult> {
        return (await client.call<unknown>(
            (control, signal) =>
                control.sendOrder.mutate({ term: options.getTerm(), order: order as never, condition }, { signal }),
            options.timeoutMs,
        )) as WireOrderResult;
    }

    /** Sends a delta if the agent has the earlier map, and the whole map otherwise. */
    async function sendMap(order: PrepareOrder, condition: OrderCondition): Promise<OrderResult> {
        const { kind, version } = order;
        const { encoder } = options;
        const map = encoder.orderExperts(order.map);
        const change = encoder.encodeFrom(lastMap, map);
        let result = change && (await callOrder({ kind, version, change }, condition));
        if (result === undefined || result.isMapMissing === true) {
            result = await callOrder({ kind, version, map: encoder.encodeWhole(map) }, condition);
        }
        lastMap = { version, map };
        return result;
    }

    async function callLook(hasCounts: boolean): Promise<{ report: RankReport; counts: CountsDelta | undefined }> {
        const look = (await client.call<unknown>(
            (control, signal) => control.look.query({ term: options.getTerm(), hasCounts }, { signal }),
            options.timeoutMs,
        )) as LookResult;
        if (!look.isAccepted) {
            options.onSuperseded();
        }
        if (look.report === undefined) {
            throw createMissingReplyError("a report");
        }
        return { report: look.report, counts: look.counts };
    }

    function createMissingReplyError(what: string): Error {
        return createError({
            code: ErrorCode.Refused,
            expected: `${what} of the agent at ${options.address}`,
            got: "none",
        });
    }
}

type PrepareOrder = Extract<RankOrder, { kind: RankOrderKind.Prepare }>;
