import type { EndpointRecord } from "../EndpointRecord.js";
import type { ExclusionReason } from "./ExclusionReason.js";
import type { RequestDemand } from "./RequestDemand.js";

/** A question for the candidates of one request. */
export interface CandidateQuery {
    demand: RequestDemand;
    /** Monotonic time, in milliseconds. */
    now: number;
}

/** Rules endpoints out for one reason. */
export abstract class CandidateRule {
    abstract readonly reason: ExclusionReason;
    /** Whether what the rule excludes stays excluded for longer than a request can wait. */
    readonly isLasting: boolean = false;
    /** Tells whether the rule excludes an endpoint. */
    abstract isExcluded(endpoint: EndpointRecord, query: CandidateQuery): boolean;
    /** Tells whether the rule excludes no endpoint at all, so that it need not be asked for each. */
    abstract isIdle(query: CandidateQuery): boolean;
}
