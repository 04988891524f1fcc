import { HopHeader, copyEndToEndHeaders, createAttemptId } from "../../protocol/index.js";
import type { EndpointView } from "../../membership/index.js";
import type { ReadyExchange } from "../Exchange.js";
import type { AgentAddress } from "./AgentConnections.js";
import type { ChannelRequest } from "./AttemptChannel.js";

/** One attempt to run a request on one endpoint. */
export interface AttemptPlan {
    id: string;
    agent: AgentAddress;
    incarnation: string;
}

const MIN_BUDGET_MS = 1;
/** A claimed request may wait longer than its rank's target time instead of being refused. */
const NON_IDEMPOTENT_BUDGET_MS = 30_000;

/**
 * Plans an attempt on an endpoint.
 * @param view - Endpoint.
 */
export function createAttemptPlan(view: EndpointView): AttemptPlan {
    const { host, address, port, incarnation } = view.fact;
    return { id: createAttemptId(), agent: { host, address, port }, incarnation };
}

/** Parts of a channel request that differ between the attempts of one request. */
export interface AttemptRequestParts {
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
 * @param exchange - Caller's request.
 * @param parts - Parts specific to this attempt.
 */
export function buildAttemptRequest(exchange: ReadyExchange, parts: AttemptRequestParts): ChannelRequest {
    const { target, team } = exchange;
    const { plan } = parts;
    const budgetMs = target.isIdempotent ? parts.deadline - parts.now : NON_IDEMPOTENT_BUDGET_MS;
    const omittedHeaders = ["authorization", "content-length", "accept-encoding"];
    return {
        agent: plan.agent,
        attempt: plan.id,
        incarnation: plan.incarnation,
        method: target.method,
        path: `/attempts/${plan.id}${target.path}`,
        headers: {
            ...copyEndToEndHeaders(exchange.request.headers, omittedHeaders),
            ...parts.traceHeaders,
            "content-length": String(parts.body.length),
            [HopHeader.ProcessKey]: parts.processKey,
            [HopHeader.Team]: team.name,
            [HopHeader.Weight]: String(team.weight),
            [HopHeader.Rank]: target.rank,
            [HopHeader.Budget]: String(Math.max(MIN_BUDGET_MS, Math.ceil(budgetMs))),
            [HopHeader.Idempotent]: target.isIdempotent ? "1" : "0",
            [HopHeader.Isolated]: parts.isIsolated ? "1" : "0",
            [HopHeader.KeyDigest]: parts.keyDigest,
            [HopHeader.Incarnation]: plan.incarnation,
            [HopHeader.EventFields]: target.requestedFields.join(","),
            [HopHeader.Cost]: String(Math.max(1, Math.round(target.cost))),
        },
        body: parts.body,
        offset: 0,
        signal: parts.signal,
    };
}

/**
 * Builds the request that fetches the answer of an existing attempt from an offset on.
 * @param plan - Attempt.
 * @param offset - Number of answer bytes already received.
 * @param processKey - Key that authenticates the router to the agent.
 * @param signal - Aborts the wait for the response head.
 */
export function buildAttachRequest(
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
