import { type CandidateQuery, CandidateRule, ExclusionReason } from "../candidates/index.js";
import type { EndpointRecord } from "../EndpointRecord.js";
import type { EndpointMemory } from "./EndpointMemory.js";

/**
 * Creates the rule that excludes endpoints whose memory has no room for a request beside those that they hold.
 * @param memory - Memory of the endpoints.
 */
export function createMemoryRule(memory: Pick<EndpointMemory, "hasRoom">): CandidateRule {
    return new (class MemoryRule extends CandidateRule {
        override readonly reason = ExclusionReason.MemoryFull;

        override isIdle({ demand }: CandidateQuery): boolean {
            return demand.tokens === undefined;
        }

        override isExcluded(endpoint: EndpointRecord, { demand, now }: CandidateQuery): boolean {
            return !memory.hasRoom(endpoint, demand.tokens, now);
        }
    })();
}

/**
 * Creates the rule that excludes endpoints whose whole memory is too small for a request. Such a request doesn't wait.
 * @param memory - Memory of the endpoints.
 */
export function createSizeRule(memory: Pick<EndpointMemory, "isTooLarge">): CandidateRule {
    return new (class SizeRule extends CandidateRule {
        override readonly reason = ExclusionReason.TooLarge;
        override readonly isLasting = true;

        override isIdle({ demand }: CandidateQuery): boolean {
            return demand.tokens === undefined;
        }

        override isExcluded(endpoint: EndpointRecord, { demand }: CandidateQuery): boolean {
            return memory.isTooLarge(endpoint, demand.tokens);
        }
    })();
}
