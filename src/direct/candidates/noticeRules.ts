import type { EndpointNotices } from "../EndpointNotices.js";
import type { EndpointPauses } from "../EndpointPauses.js";
import type { EndpointRecord } from "../EndpointRecord.js";
import { type CandidateQuery, CandidateRule } from "./CandidateRule.js";
import { ExclusionReason } from "./ExclusionReason.js";

/**
 * Creates the rule that excludes endpoints which said that they leave.
 * @param notices - What endpoints say of themselves.
 */
export function createLeavingRule(notices: Pick<EndpointNotices, "isLeaving" | "hasLeaving">): CandidateRule {
    return new (class LeavingRule extends CandidateRule {
        override readonly reason = ExclusionReason.Leaving;

        override isIdle(): boolean {
            return !notices.hasLeaving();
        }

        override isExcluded(endpoint: EndpointRecord): boolean {
            return notices.isLeaving(endpoint);
        }
    })();
}

/**
 * Creates the rule that excludes endpoints which want a pause of this router.
 * @param pauses - Pauses that endpoints have named.
 */
export function createPauseRule(pauses: Pick<EndpointPauses, "getPausedUntil" | "isEmpty">): CandidateRule {
    return new (class PauseRule extends CandidateRule {
        override readonly reason = ExclusionReason.Paused;

        override isIdle(): boolean {
            return pauses.isEmpty();
        }

        override isExcluded(endpoint: EndpointRecord, { now }: CandidateQuery): boolean {
            return pauses.getPausedUntil(endpoint.id) > now;
        }
    })();
}
