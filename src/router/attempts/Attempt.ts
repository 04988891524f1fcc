import { HopHeader, copyEndToEndHeaders, createAttemptId } from "../../protocol/index.js";
import type { EndpointView } from "../../membership/index.js";
import type { ReadyExchange } from "../Exchange.js";
import type { AgentAddress } from "./AgentDirectory.js";
import type { ChannelRequest } from "./AttemptChannel.js";

/** One try of a request at one endpoint. */
export interface AttemptPlan {
    id: string;
    agent: AgentAddress;
    incarnation: string;
}

const MIN_BUDGET_MS = 1;
/** A request that was claimed waits longer than its target rather than not at all. */
const ONCE_BUDGET_MS = 30_000;

/**
 * Plans an attempt at an endpoint.
 * @param view - Endpoint.
 */
export function createAttemptPlan(view: EndpointView): AttemptPlan {
    const { host, address, port, incarnation } = view.fact;
    return { id: createAttemptId(), agent: { host, address, port }, incarnation };
}

/** Parts of a channel request that differ between attempts of one exchange. */
export interface AttemptMessage {
    plan: AttemptPlan;
    body: Buffer;
    deadline: number;
    now: number;
    keyDigest: string;
    isIsolated: boolean;
    processKey: string;
    traceHeaders: Record<string, string>;
    signal: AbortSignal;
}

/**
 * Builds the request that opens an attempt.
 * @param exchange - Request of the caller.
 * @param message - Parts of this attempt.
 */
export function buildAttemptRequest(exchange: ReadyExchange, message: AttemptMessage): ChannelRequest {
    const { target, team } = exchange;
    const { plan } = message;
    const budgetMs = target.isIdempotent ? message.deadline - message.now : ONCE_BUDGET_MS;
    const omitted = ["authorization", "content-length", "accept-encoding"];
    return {
        agent: plan.agent,
        attempt: plan.id,
        incarnation: plan.incarnation,
        method: target.method,
        path: `/attempts/${plan.id}${target.path}`,
        headers: {
            ...copyEndToEndHeaders(exchange.request.headers, omitted),
            ...message.traceHeaders,
            "content-length": String(message.body.length),
            [HopHeader.ProcessKey]: message.processKey,
            [HopHeader.Team]: team.name,
            [HopHeader.Weight]: String(team.weight),
            [HopHeader.Rank]: target.rank,
            [HopHeader.Budget]: String(Math.max(MIN_BUDGET_MS, Math.ceil(budgetMs))),
            [HopHeader.Idempotent]: target.isIdempotent ? "1" : "0",
            [HopHeader.Isolated]: message.isIsolated ? "1" : "0",
            [HopHeader.KeyDigest]: message.keyDigest,
            [HopHeader.Incarnation]: plan.incarnation,
            [HopHeader.Cost]: String(Math.max(1, Math.round(target.cost))),
        },
        body: message.body,
        offset: 0,
        signal: message.signal,
    };
}

/**
 * Builds the request that follows an attempt from an offset on.
 * @param plan - Attempt.
 * @param offset - Bytes of the answer that are there already.
 * @param processKey - Key that the router presents.
 * @param signal - Ends the wait for the head.
 */
export function buildFollowRequest(
    plan: AttemptPlan,
    offset: number,
    processKey: string,
    signal: AbortSignal,
): ChannelRequest {
    return {
        agent: plan.agent,
        attempt: plan.id,
        incarnation: plan.incarnation,
        method: "GET",
        path: `/answers/${plan.id}?from=${offset}`,
        headers: { [HopHeader.ProcessKey]: processKey },
        body: Buffer.alloc(0),
        offset,
        signal,
    };
}
