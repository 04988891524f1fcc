import { type CandidateQuery, CandidateRule, ExclusionReason } from "../candidates/index.js";
import type { EndpointRecord } from "../EndpointRecord.js";
import type { ColdEndpoints } from "./ColdEndpoints.js";

/**
 * Creates the rule that excludes cold endpoints which this router may send nothing more for now.
 * @param cold - Cold endpoints and this router's sends to them.
 */
export function createColdRule(cold: Pick<ColdEndpoints, "hasCold" | "hasRoom">): CandidateRule {
    return new (class ColdRule extends CandidateRule {
        override readonly reason = ExclusionReason.Cold;

        override isIdle({ now }: CandidateQuery): boolean {
            return !cold.hasCold(now);
        }

        override isExcluded(endpoint: EndpointRecord, { now }: CandidateQuery): boolean {
            return !cold.hasRoom(endpoint, now);
        }
    })();
}
