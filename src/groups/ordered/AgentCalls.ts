import { type ControlClient, createControlClient } from "../../control/index.js";
import type { OrderCondition, RankExperts } from "./RankReport.js";
import type { PlanLimits, SetPlan } from "./planMap.js";
import type { LookResult, RankControl, WireOrder, WireOrderResult } from "./rankControl.js";

/** Calls to the agent of one rank; all reject if it does not answer. */
export abstract class AgentCalls {
    /** Reads the report of the agent's rank, and the counts since they were last read if they are wanted. */
    abstract look(hasCounts: boolean): Promise<LookResult>;
    abstract readExperts(): Promise<RankExperts>;
    abstract sendOrder(order: WireOrder, condition: OrderCondition): Promise<WireOrderResult>;
    /** Has the agent plan one set of layers; see `planSet`. */
    abstract planSet(
        experts: readonly (readonly number[])[],
        expertLoads: readonly number[],
        limits: PlanLimits,
    ): Promise<SetPlan>;
    abstract close(): void;
}

/** Options of the calls to an agent. */
export interface AgentCallsOptions {
    /** Address and port of the agent. */
    address: string;
    processKey: string;
    getTerm: () => number;
    /** Time allowed for a call, in milliseconds. */
    timeoutMs: number;
}

/**
 * Creates calls that go straight to an agent.
 * @param options - Address and term.
 */
export function createDirectCalls(options: AgentCallsOptions): AgentCalls {
    const { getTerm, timeoutMs } = options;
    const client: ControlClient<RankControl> = createControlClient(options.address, options.processKey);

    return new (class DirectCalls extends AgentCalls {
        override async look(hasCounts: boolean): Promise<LookResult> {
            return (await client.call<unknown>(
                (control, signal) => control.look.query({ term: getTerm(), hasCounts }, { signal }),
                timeoutMs,
            )) as LookResult;
        }

        override readExperts(): Promise<RankExperts> {
            return client.call((control, signal) => control.readExperts.query(undefined, { signal }), timeoutMs);
        }

        override async sendOrder(order: WireOrder, condition: OrderCondition): Promise<WireOrderResult> {
            return (await client.call<unknown>(
                (control, signal) =>
                    control.sendOrder.mutate({ term: getTerm(), order: order as never, condition }, { signal }),
                timeoutMs,
            )) as WireOrderResult;
        }

        override planSet(
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
                timeoutMs,
            );
        }

        override close(): void {
            client.close();
        }
    })();
}
