import { ErrorCode, createError } from "../../errors/index.js";
import type { AgentCalls } from "./AgentCalls.js";
import { createCountsDecoder } from "./CountsDelta.js";
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
import type { LookResult } from "./rankControl.js";

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
    calls: AgentCalls;
    /** Address and port of the agent, for messages. */
    address: string;
    /** Called when the agent has received a call of a coordinator with a higher term. */
    onSuperseded: () => void;
    /** Encoder of maps, shared by all links of the group. */
    encoder: MapEncoder;
}

/**
 * Creates a link through an agent.
 * @param options - Calls and encoder.
 */
export function createAgentRankLink(options: AgentRankLinkOptions): AgentRankLink {
    const { calls, encoder } = options;
    const decoder = createCountsDecoder();
    /** Last map sent to the agent, against which the next is sent as a delta. */
    let lastMap: KnownMap | undefined;

    return new (class ControlRankLink extends AgentRankLink {
        override async readReport(): Promise<RankReport> {
            return readLook(await calls.look(false));
        }

        override async readCounts(): Promise<RankCounts> {
            return (await this.readReportAndCounts()).counts;
        }

        override async readReportAndCounts(): Promise<{ report: RankReport; counts: RankCounts }> {
            const look = await calls.look(true);
            const report = readLook(look);
            if (look.counts === undefined) {
                throw createMissingReplyError("counts");
            }
            return { report, counts: decoder.decodeCounts(look.counts) };
        }

        override planSet(...plan: Parameters<AgentRankLink["planSet"]>): Promise<SetPlan> {
            return calls.planSet(...plan);
        }

        override readExperts(): Promise<RankExperts> {
            return calls.readExperts();
        }

        override async sendOrder(order: RankOrder, condition: OrderCondition): Promise<OrderResult> {
            try {
                return order.kind === RankOrderKind.Prepare
                    ? await sendMap(order, condition)
                    : await calls.sendOrder(order, condition);
            } catch (error) {
                const detail = error instanceof Error ? error.message : String(error);
                return { answer: OrderAnswer.Unknown, detail, report: undefined };
            }
        }

        override close(): void {
            calls.close();
        }
    })();

    /** Sends a delta if the agent has the earlier map, and the whole map otherwise. */
    async function sendMap(order: PrepareOrder, condition: OrderCondition): Promise<OrderResult> {
        const { kind, version } = order;
        const map = encoder.orderExperts(order.map);
        const change = encoder.encodeFrom(lastMap, map);
        let result = change && (await calls.sendOrder({ kind, version, change }, condition));
        if (result === undefined || result.isMapMissing === true) {
            result = await calls.sendOrder({ kind, version, map: encoder.encodeWhole(map) }, condition);
        }
        lastMap = { version, map };
        return result;
    }

    function readLook(look: LookResult): RankReport {
        if (!look.isAccepted) {
            options.onSuperseded();
        }
        if (look.report === undefined) {
            throw createMissingReplyError("a report");
        }
        return look.report;
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
