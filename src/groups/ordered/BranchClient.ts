import { type ControlClient, createControlClient } from "../../control/index.js";
import { ErrorCode, createError } from "../../errors/index.js";
import { AgentCalls } from "./AgentCalls.js";
import {
    type BranchCall,
    BranchCallKind,
    type BranchResult,
    MEMBER_MAP_TIMEOUT_MS,
    MEMBER_TIMEOUT_MS,
    hasMap,
} from "./BranchRelay.js";
import type { CountsDelta } from "./CountsDelta.js";
import type { OrderCondition, RankExperts } from "./RankReport.js";
import type { LookResult, RankControl, WireOrder, WireOrderResult } from "./rankControl.js";

/** Member of a branch, as its coordinator knows it. */
export interface BranchMember {
    /** Address and port of the member's agent. */
    address: string;
    /** Calls that go straight to the member. */
    direct: AgentCalls;
}

/** Calls to the agents of a branch through one of them, the head. */
export interface BranchClient {
    /** Reads the reports of all members, and the sum of their counts if they are wanted. */
    lookAtAll(hasCounts: boolean): Promise<{ looks: (LookResult | undefined)[]; counts: CountsDelta | undefined }>;
    /** Creates calls to one member; equal calls that are made to several members in the same turn are sent as one. */
    createMemberCalls(index: number): AgentCalls;
    close(): void;
}

/** Options of the client of a branch. */
export interface BranchClientOptions {
    members: readonly BranchMember[];
    processKey: string;
    getTerm: () => number;
}

/** Calls that wait for the end of the current turn. */
interface PendingCall {
    call: BranchCall;
    waiting: { index: number; resolve: (value: unknown) => void; reject: (error: unknown) => void }[];
}

/** Tries of a control call to a member that is silent; see `ControlClient.call`. */
const MEMBER_TRIES = 2;
/** Time for the way to the head and back, in milliseconds. */
const HEAD_MARGIN_MS = 100;

/**
 * Creates the client of a branch.
 * @param options - Members and term.
 */
export function createBranchClient(options: BranchClientOptions): BranchClient {
    const { members, getTerm } = options;
    /** Member that relays the calls; the next one takes over if it does not answer. */
    let head = 0;
    let headClient: ControlClient<RankControl> | undefined;
    const pending = new Map<string, PendingCall>();
    return {
        async lookAtAll(hasCounts) {
            const result = await callBranch(members, { kind: BranchCallKind.Look, hasCounts });
            return { looks: result.results.map(({ value }) => value as LookResult | undefined), counts: result.counts };
        },
        createMemberCalls,
        close: closeHead,
    };

    function createMemberCalls(index: number): AgentCalls {
        const direct = members[index]?.direct;
        if (direct === undefined) {
            throw createError({ code: ErrorCode.Refused, expected: "a member of the branch", got: `index ${index}` });
        }

        return new (class MemberCalls extends AgentCalls {
            override async look(hasCounts: boolean): Promise<LookResult> {
                // The counts of a branch are summed up, so those of one member are read from itself.
                const call = { kind: BranchCallKind.Look, hasCounts: false } as const;
                return hasCounts ? direct.look(true) : ((await addCall(index, call)) as LookResult);
            }

            override async readExperts(): Promise<RankExperts> {
                return (await addCall(index, { kind: BranchCallKind.ReadExperts })) as RankExperts;
            }

            override async sendOrder(order: WireOrder, { epoch }: OrderCondition): Promise<WireOrderResult> {
                return (await addCall(index, { kind: BranchCallKind.Order, order, epoch })) as WireOrderResult;
            }

            override planSet(...plan: Parameters<AgentCalls["planSet"]>): ReturnType<AgentCalls["planSet"]> {
                return direct.planSet(...plan);
            }

            override close(): void {
                direct.close();
            }
        })();
    }

    function addCall(index: number, call: BranchCall): Promise<unknown> {
        return new Promise((resolve, reject) => {
            if (pending.size === 0) {
                setImmediate(() => void sendPending());
            }
            const key = describeCall(call);
            const equal = pending.get(key) ?? { call, waiting: [] };
            pending.set(key, equal);
            equal.waiting.push({ index, resolve, reject });
        });
    }

    async function sendPending(): Promise<void> {
        const calls = [...pending.values()];
        pending.clear();
        await Promise.all(calls.map(sendCall));
    }

    async function sendCall({ call, waiting }: PendingCall): Promise<void> {
        const [single] = waiting;
        if (single !== undefined && waiting.length === 1) {
            await callDirectly(single.index, call).then(single.resolve, single.reject);
            return;
        }
        try {
            const { results } = await callBranch(
                waiting.flatMap(({ index }) => members[index] ?? []),
                call,
            );
            waiting.forEach(({ index, resolve, reject }, at) => {
                const value = results[at]?.value;
                return value === undefined ? reject(createSilenceError(index)) : resolve(value);
            });
        } catch (error) {
            waiting.forEach(({ reject }) => reject(error));
        }
    }

    function callDirectly(index: number, call: BranchCall): Promise<unknown> {
        const direct = members[index]?.direct;
        if (direct === undefined) {
            return Promise.reject(createSilenceError(index));
        }
        switch (call.kind) {
            case BranchCallKind.Look:
                return direct.look(call.hasCounts);
            case BranchCallKind.ReadExperts:
                return direct.readExperts();
            case BranchCallKind.Order:
                return direct.sendOrder(call.order, { epoch: call.epoch });
        }
    }

    async function callBranch(called: readonly BranchMember[], call: BranchCall): Promise<BranchResult> {
        const isLong = call.kind === BranchCallKind.Order && hasMap(call.order);
        const memberMs = isLong ? MEMBER_MAP_TIMEOUT_MS : MEMBER_TIMEOUT_MS;
        const addresses = called.map(({ address }) => address);
        headClient ??= createControlClient<RankControl>(members[head]?.address ?? "", options.processKey);
        try {
            return (await headClient.call<unknown>(
                (control, signal) =>
                    control.relayCall.mutate({ term: getTerm(), members: addresses, call: call as never }, { signal }),
                MEMBER_TRIES * memberMs + HEAD_MARGIN_MS,
            )) as BranchResult;
        } catch (error) {
            closeHead();
            head = (head + 1) % members.length;
            throw error;
        }
    }

    function closeHead(): void {
        headClient?.close();
        headClient = undefined;
    }

    function createSilenceError(index: number): Error {
        return createError({
            code: ErrorCode.Unreachable,
            expected: `an answer of ${members[index]?.address}`,
            got: "silence",
        });
    }
}

/** Describes a call, equal for calls that can be sent as one: a version and its base identify the content of a map. */
function describeCall(call: BranchCall): string {
    if (call.kind !== BranchCallKind.Order) {
        return JSON.stringify(call);
    }
    const { order, epoch } = call;
    const base = "change" in order ? order.change.base : "none";
    return JSON.stringify([
        epoch,
        order.kind,
        "version" in order && order.version,
        "step" in order && order.step,
        base,
    ]);
}
