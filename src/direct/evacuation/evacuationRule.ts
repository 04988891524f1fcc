import { CandidateRule } from "../candidates/CandidateRule.js";
import { ExclusionReason } from "../candidates/ExclusionReason.js";
import type { EndpointRecord } from "../EndpointRecord.js";
import type { Evacuations } from "./Evacuations.js";

/**
 * Creates the rule that excludes endpoints of evacuated availability zones.
 * @param evacuations - Evacuated zones.
 */
export function createEvacuationRule(evacuations: Pick<Evacuations, "isEvacuated" | "isEmpty">): CandidateRule {
    return new (class EvacuationRule extends CandidateRule {
        override readonly reason = ExclusionReason.Evacuated;
        override readonly isLasting = true;

        override isIdle(): boolean {
            return evacuations.isEmpty();
        }

        override isExcluded(endpoint: EndpointRecord): boolean {
            return evacuations.isEvacuated(endpoint.zone);
        }
    })();
}
