import type { EndpointRecord } from "../EndpointRecord.js";
import { type CandidateQuery, CandidateRule } from "./CandidateRule.js";
import { ExclusionReason } from "./ExclusionReason.js";

/**
 * Creates the rule that excludes endpoints outside the home regions of the route or the team. An availability zone without a known
 * region is outside all homes: an endpoint there may be anywhere.
 * @param zoneRegions - Region of each availability zone.
 * @param onUnknownZone - Called once for each zone without a region that homes exclude.
 */
export function createHomeRule(
    zoneRegions: Readonly<Record<string, string>>,
    onUnknownZone: (zone: string) => void,
): CandidateRule {
    const regions = new Map(Object.entries(zoneRegions));
    const unknownZones = new Set<string>();
    return new (class HomeRule extends CandidateRule {
        override readonly reason = ExclusionReason.OutsideHomes;
        override readonly isLasting = true;

        override isIdle({ demand }: CandidateQuery): boolean {
            return demand.homes.length === 0;
        }

        override isExcluded({ zone }: EndpointRecord, { demand }: CandidateQuery): boolean {
            const region = regions.get(zone);
            if (region === undefined && demand.homes.length > 0) {
                reportUnknownZone(zone);
            }
            return demand.homes.some(home => region === undefined || !home.includes(region));
        }
    })();

    function reportUnknownZone(zone: string): void {
        if (!unknownZones.has(zone)) {
            unknownZones.add(zone);
            onUnknownZone(zone);
        }
    }
}
