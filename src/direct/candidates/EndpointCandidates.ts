import type { EndpointDirectory } from "../EndpointDirectory.js";
import type { EndpointRecord } from "../EndpointRecord.js";
import type { CandidateRule } from "./CandidateRule.js";
import type { ExclusionReason } from "./ExclusionReason.js";
import type { RequestDemand } from "./RequestDemand.js";

/** An endpoint of a service, with what rules it out for a request. */
export interface AssessedEndpoint {
    endpoint: EndpointRecord;
    /** Empty if the endpoint is a candidate. */
    reasons: ExclusionReason[];
}

/**
 * Tells which endpoints a request may be sent to. All that sends requests asks it, so that each condition stands in one place.
 */
export interface EndpointCandidates {
    /** Lists the endpoints of a service that a request may be sent to now. */
    listCandidates(service: string, demand: RequestDemand, now: number): EndpointRecord[];
    /**
     * Tells whether waiting may help a request for which there is no candidate: no lasting rule excludes all serving endpoints of
     * the service.
     */
    hasProspect(service: string, demand: RequestDemand, now: number): boolean;
    /** Lists all serving endpoints of a service with the reasons that exclude them. */
    assessEndpoints(service: string, demand: RequestDemand, now: number): AssessedEndpoint[];
}

/**
 * Creates the candidates of a router.
 * @param directory - Known endpoints.
 * @param rules - Rules, each of which excludes endpoints for one reason.
 */
export function createEndpointCandidates(
    directory: Pick<EndpointDirectory, "listServing">,
    rules: readonly CandidateRule[],
): EndpointCandidates {
    const lasting = rules.filter(rule => rule.isLasting);
    return {
        listCandidates(service, demand, now) {
            const active = rules.filter(rule => !rule.isIdle({ demand, now }));
            return directory
                .listServing(service)
                .filter(endpoint => !active.some(rule => rule.isExcluded(endpoint, { demand, now })));
        },
        hasProspect(service, demand, now) {
            const active = lasting.filter(rule => !rule.isIdle({ demand, now }));
            const serving = active.length === 0 ? [] : directory.listServing(service);
            return (
                serving.length === 0 ||
                serving.some(endpoint => !active.some(rule => rule.isExcluded(endpoint, { demand, now })))
            );
        },
        assessEndpoints: (service, demand, now) =>
            directory.listServing(service).map(endpoint => ({
                endpoint,
                reasons: rules.filter(rule => rule.isExcluded(endpoint, { demand, now })).map(({ reason }) => reason),
            })),
    };
}
