import type http from "node:http";
import type { RequestMemory } from "../memory/index.js";
import type { Span } from "@opentelemetry/api";
import type { DocumentIndex, EndpointKind, TeamStructure, WorkRank } from "../config/index.js";
import type { Cause, EventField } from "../protocol/index.js";

/** Destination of a request and the properties that decide how it is run. */
export interface CallTarget {
    kind: EndpointKind;
    /** Name of the model or service. */
    name: string;
    method: string;
    /** Path on the endpoint. */
    path: string;
    isIdempotent: boolean;
    /** Whether the answer is an event stream. */
    isStream: boolean;
    /** Fields of the stream's events that the caller asked for, of those that the system always asks the engine for. */
    requestedFields: EventField[];
    rank: WorkRank;
    /** Estimated number of tokens. */
    cost: number;
    /** Hash of the leading part of the prompt. */
    prefixHash: number | undefined;
    /** Digests of the messages before the last one, which other requests may share. */
    sharedParts: string[];
}

/** Request and its state while it passes through the filters. */
export interface Exchange {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    /** Account of what the request makes the router hold. */
    readonly memory: RequestMemory;
    readonly span: Span;
    readonly traceId: string;
    /** Monotonic time of arrival, in milliseconds. */
    readonly arrivedAt: number;
    /** Environment document active at arrival; used for the whole exchange. */
    readonly index: DocumentIndex;
    team: TeamStructure | undefined;
    body: Buffer;
    target: CallTarget | undefined;
    idempotencyKey: string;
    /** Monotonic time when the first byte was sent to the caller, in milliseconds. */
    firstByteAt: number | undefined;
    /** Time the answered attempt spent in the agent's queue, in milliseconds. */
    queueMs: number;
    attempts: number;
    /** Hosts of the attempts, in order. */
    hosts: string[];
    isCallerDisconnected: boolean;
    /** Why the answer was truncated or late. */
    failureCause: Cause | undefined;
}

/** Exchange whose team and target are known, as required for dispatch. */
export interface ReadyExchange extends Exchange {
    team: TeamStructure;
    target: CallTarget;
}

/**
 * Returns whether the team and the target of an exchange are known.
 * @param exchange - Exchange.
 */
export function isReadyExchange(exchange: Exchange): exchange is ReadyExchange {
    return exchange.team !== undefined && exchange.target !== undefined;
}

/**
 * Computes when the first byte of the answer is due.
 * @param exchange - Exchange with a target.
 * @returns Monotonic time in milliseconds.
 */
export function computeDeadline(exchange: ReadyExchange): number {
    return exchange.arrivedAt + exchange.index.getRank(exchange.target.rank).targetMs;
}
