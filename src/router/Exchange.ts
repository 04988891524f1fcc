import type http from "node:http";
import type { Span } from "@opentelemetry/api";
import type { DocumentIndex, EndpointKind, TeamStructure, WorkRank } from "../config/index.js";
import type { Cause } from "../protocol/index.js";

/** Where a request is to go. */
export interface CallTarget {
    kind: EndpointKind;
    /** Model or service. */
    name: string;
    method: string;
    /** Path at the endpoint. */
    path: string;
    isIdempotent: boolean;
    /** The answer is an event stream. */
    isStream: boolean;
    /** The caller asked for the usage event. */
    isUsageWanted: boolean;
    rank: WorkRank;
    /** Estimated tokens. */
    cost: number;
    /** Hash of the leading part of the prompt. */
    prefixHash: number | undefined;
}

/** A request on its way through the filters. */
export interface Exchange {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly span: Span;
    readonly traceId: string;
    /** Monotonic time of arrival, in milliseconds. */
    readonly arrivedAt: number;
    /** Document in force at arrival; the whole exchange obeys it. */
    readonly index: DocumentIndex;
    team: TeamStructure | undefined;
    body: Buffer;
    target: CallTarget | undefined;
    idempotencyKey: string;
    /** Monotonic time of the first byte to the caller, in milliseconds. */
    firstByteAt: number | undefined;
    /** Time that the answered attempt waited in the agent's queue, in milliseconds. */
    queueMs: number;
    attempts: number;
    /** Endpoints that were tried, in order. */
    hosts: string[];
    isCallerGone: boolean;
    /** Cause of an answer that was cut or came late. */
    failure: Cause | undefined;
}

/** A request that all filters before the dispatch have passed. */
export interface ReadyExchange extends Exchange {
    team: TeamStructure;
    target: CallTarget;
}

/**
 * Tells whether the team and the target of an exchange are known.
 * @param exchange - Exchange.
 */
export function isReady(exchange: Exchange): exchange is ReadyExchange {
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
