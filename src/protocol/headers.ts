/** Headers between the router and the agent. */
export enum HopHeader {
    ProcessKey = "auburnpass-process-key",
    Attempt = "auburnpass-attempt",
    Team = "auburnpass-team",
    Weight = "auburnpass-weight",
    Rank = "auburnpass-rank",
    /** Time left until the target, in milliseconds. */
    Budget = "auburnpass-budget-ms",
    Idempotent = "auburnpass-idempotent",
    /** The attempt runs apart from all others, since endpoints died under its like. */
    Isolated = "auburnpass-isolated",
    /** Digest of the idempotency key. */
    KeyDigest = "auburnpass-key-digest",
    Incarnation = "auburnpass-incarnation",
    /** Estimated tokens of the request. */
    Cost = "auburnpass-cost",
    Outcome = "auburnpass-outcome",
    Cause = "auburnpass-cause",
    /** Fields of the events that the caller asked for, and that are otherwise removed; see `EventField`. */
    EventFields = "auburnpass-event-fields",
    /** Requests that wait and run at the agent, sent with each answer. */
    Load = "auburnpass-load",
    /** Time that the attempt waited in the agent's queue, in milliseconds. */
    QueueMs = "auburnpass-queue-ms",
    /** Size of the whole answer, sent as a trailer. */
    Length = "auburnpass-length",
}

/** Fields that the system makes engines add to the events of a stream. */
export enum EventField {
    Usage = "usage",
    TokenIds = "token-ids",
}

/** Prefix of the headers that never leave the system. */
export const HOP_PREFIX = "auburnpass-";

const CONNECTION_HEADERS = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "expect",
]);

/**
 * Copies the headers that belong to the message and not to one connection.
 * @param headers - Headers of the message.
 * @param omitted - Further names to leave out, in lower case.
 */
export function copyEndToEndHeaders(
    headers: Record<string, string | string[] | undefined>,
    omitted: readonly string[] = [],
): Record<string, string | string[]> {
    const copied: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        const isHop = CONNECTION_HEADERS.has(name) || name.startsWith(HOP_PREFIX) || omitted.includes(name);
        if (value !== undefined && !isHop) {
            copied[name] = value;
        }
    }
    return copied;
}

/**
 * Reads a header that must stand once.
 * @param headers - Headers of a message.
 * @param name - Name in lower case.
 */
export function getHeader(headers: Record<string, string | string[] | undefined>, name: string): string | undefined {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
}
