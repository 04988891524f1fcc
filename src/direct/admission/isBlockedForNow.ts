import { type EndpointCandidates, ExclusionReason, type RequestDemand } from "../candidates/index.js";

/** Reasons that pass as soon as other requests end, or within a second. */
const PASSING_REASONS: ReadonlySet<ExclusionReason> = new Set([ExclusionReason.Cold, ExclusionReason.MemoryFull]);

/**
 * Tells whether a request that has no candidate will have one without any change of the service: some endpoint is excluded
 * only because it has taken as many requests as it can hold now. Such a request waits; others are refused at once.
 * @param candidates - Candidates of the router.
 * @param service - Service of the request.
 * @param demand - What the request needs.
 * @param tried - Endpoints that don't count.
 * @param now - Monotonic time, in milliseconds.
 */
export function isBlockedForNow(
    candidates: Pick<EndpointCandidates, "assessEndpoints">,
    service: string,
    demand: RequestDemand,
    tried: ReadonlySet<string>,
    now: number,
): boolean {
    return candidates
        .assessEndpoints(service, demand, now)
        .some(
            ({ endpoint, reasons }) =>
                !tried.has(endpoint.id) && reasons.length > 0 && reasons.every(reason => PASSING_REASONS.has(reason)),
        );
}
