import { z } from "zod";
import { EndpointKind, WorkRank } from "../config/index.js";

/** What an agent says of itself and its endpoint, in each heartbeat. */
export const endpointFactSchema = z.object({
    host: z.string(),
    zone: z.string(),
    address: z.string(),
    port: z.number().int(),
    kind: z.enum([EndpointKind.Engine, EndpointKind.Service]),
    /** Model or service that the endpoint serves. */
    name: z.string(),
    /** Life of the agent's process. */
    incarnation: z.string(),
    /** Wall-clock time of the process start, which orders the lives of a host, in milliseconds. */
    startedAt: z.number(),
    /** Grows with each heartbeat of one life. */
    sequence: z.number().int(),
    isDraining: z.boolean(),
    /** The endpoint behind the agent does not answer. */
    isDown: z.boolean(),
    concurrency: z.number().int(),
    queued: z.number().int(),
    running: z.number().int(),
    /** Requests that run or go before a new request of each rank. */
    ahead: z.object({
        [WorkRank.Urgent]: z.number(),
        [WorkRank.Standard]: z.number(),
        [WorkRank.Deferrable]: z.number(),
    }),
    /** Predicted wait of urgent work, in milliseconds. */
    waitMs: z.number(),
});

/** What an agent says of itself and its endpoint. */
export type EndpointFact = z.infer<typeof endpointFactSchema>;

/**
 * Tells whether a fact is newer than another one of the same host.
 * @param fact - Fact that came.
 * @param known - Fact that is known.
 */
export function isNewerFact(fact: EndpointFact, known: EndpointFact): boolean {
    if (fact.incarnation === known.incarnation) {
        return fact.sequence > known.sequence;
    }
    return fact.startedAt > known.startedAt;
}
