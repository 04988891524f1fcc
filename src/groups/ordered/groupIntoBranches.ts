/** Host of a rank. */
export interface RankHost {
    rank: number;
    /** IP address. */
    host: string;
    zone: string;
}

/** Ranks up to which a coordinator calls each agent by itself. */
const MAX_DIRECT_RANKS = 24;

/**
 * Divides the ranks of a group into branches: a coordinator calls one agent of each branch, which calls the others. With
 * about as many branches as members in each, no host makes more than twice the square root of the ranks' calls. Ranks of
 * different zones are in different branches, so that what is summed up within a branch does not cross zones.
 * @param ranks - Hosts of all ranks.
 * @returns Branches; one for each rank in a group that is small enough to be called directly.
 */
export function groupIntoBranches(ranks: readonly RankHost[]): RankHost[][] {
    if (ranks.length <= MAX_DIRECT_RANKS) {
        return ranks.map(rank => [rank]);
    }
    const byZone = new Map<string, RankHost[]>();
    for (const rank of ranks) {
        byZone.set(rank.zone, [...(byZone.get(rank.zone) ?? []), rank]);
    }
    const usualSize = Math.ceil(Math.sqrt(ranks.length));
    return [...byZone.values()].flatMap(ofZone => {
        const count = Math.ceil(ofZone.length / usualSize);
        const size = Math.ceil(ofZone.length / count);
        return Array.from({ length: count }, (unused, index) => ofZone.slice(index * size, (index + 1) * size));
    });
}
