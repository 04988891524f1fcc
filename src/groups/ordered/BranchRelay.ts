import { type ControlClient, createControlClient } from "../../control/index.js";
import { match } from "ts-pattern";
import { type CountsDelta, sumDeltas } from "./CountsDelta.js";
import type { LookResult, RankControl, WireOrder } from "./rankControl.js";

/** Call that an agent passes on to the members of its branch. */
export type BranchCall =
    | { kind: BranchCallKind.Look; hasCounts: boolean }
    | { kind: BranchCallKind.ReadExperts }
    | { kind: BranchCallKind.Order; order: WireOrder; epoch: number };

/** Kinds of call to a branch. */
export enum BranchCallKind {
    Look = "look",
    ReadExperts = "read-experts",
    Order = "order",
}

/** Results of a call to a branch. */
export interface BranchResult {
    /** By member, in the order of the call: its result, or none if it did not answer. */
    results: { value?: unknown }[];
    /** Sum of the counts of the members that answered, if they were wanted. */
    counts?: CountsDelta;
}

/** Passes the calls of a coordinator on to the agents of a branch. */
export interface BranchRelay {
    /**
     * Calls all members at the same time.
     * @param term - Term of the coordinator, which each member checks.
     * @param members - Addresses and ports of the members' agents.
     * @param call - Call.
     */
    relayCall(term: number, members: readonly string[], call: BranchCall): Promise<BranchResult>;
    close(): void;
}

/** Time allowed for a call to a member, in milliseconds. */
export const MEMBER_TIMEOUT_MS = 250;
/** Time allowed for a call with a map, in milliseconds; the maps of a branch share the link of the agent that relays them. */
export const MEMBER_MAP_TIMEOUT_MS = 1_000;
/** Members beyond those of the current call to which connections are kept. */
const MAX_OTHER_MEMBERS = 64;

/**
 * Creates a relay without connections.
 * @param processKey - Key presented to the members' agents.
 */
export function createBranchRelay(processKey: string): BranchRelay {
    const clients = new Map<string, ControlClient<RankControl>>();
    return {
        relayCall,
        close: () => clients.forEach(client => client.close()),
    };

    async function relayCall(term: number, members: readonly string[], call: BranchCall): Promise<BranchResult> {
        closeOthers(members);
        const values = await Promise.all(members.map(member => callMember(term, getClient(member), call)));
        const results = values.map(value => (value === undefined ? {} : { value }));
        if (call.kind !== BranchCallKind.Look || !call.hasCounts) {
            return { results };
        }
        const looks = values as (LookResult | undefined)[];
        const counts = sumDeltas(looks.flatMap(look => look?.counts ?? []));
        return {
            results: looks.map(look => (look === undefined ? {} : { value: { ...look, counts: undefined } })),
            counts,
        };
    }

    function getClient(member: string): ControlClient<RankControl> {
        const client = clients.get(member) ?? createControlClient<RankControl>(member, processKey);
        clients.set(member, client);
        return client;
    }

    function closeOthers(members: readonly string[]): void {
        if (clients.size <= members.length + MAX_OTHER_MEMBERS) {
            return;
        }
        for (const [member, client] of clients) {
            if (!members.includes(member)) {
                client.close();
                clients.delete(member);
            }
        }
    }
}

/** Returns undefined if the member does not answer; which members these are shows in the coordinator's next round. */
async function callMember(term: number, client: ControlClient<RankControl>, call: BranchCall): Promise<unknown> {
    try {
        return await match(call)
            .with({ kind: BranchCallKind.Look }, ({ hasCounts }) =>
                client.call<unknown>(
                    (control, signal) => control.look.query({ term, hasCounts }, { signal }),
                    MEMBER_TIMEOUT_MS,
                ),
            )
            .with({ kind: BranchCallKind.ReadExperts }, () =>
                client.call<unknown>(
                    (control, signal) => control.readExperts.query(undefined, { signal }),
                    MEMBER_TIMEOUT_MS,
                ),
            )
            .with({ kind: BranchCallKind.Order }, ({ order, epoch }) =>
                client.call<unknown>(
                    (control, signal) =>
                        control.sendOrder.mutate({ term, order: order as never, condition: { epoch } }, { signal }),
                    hasMap(order) ? MEMBER_MAP_TIMEOUT_MS : MEMBER_TIMEOUT_MS,
                ),
            )
            .exhaustive();
    } catch {
        return undefined;
    }
}

/**
 * Tells whether an order carries a map or the change of one, which takes longer to send.
 * @param order - Order.
 */
export function hasMap(order: WireOrder): boolean {
    return "map" in order || "change" in order;
}
