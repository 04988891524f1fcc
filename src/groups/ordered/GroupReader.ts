import { readMonotonicMs } from "../../utils/time.js";
import type { AgentRankLink } from "./AgentRankLink.js";
import type { BranchClient } from "./BranchClient.js";
import { createCountsDecoder } from "./CountsDelta.js";
import type { RankCounts, RankReport } from "./RankReport.js";

/** Reports and counts of a group, read at about the same time. */
export interface GroupReading {
    /** By rank; undefined for those that did not answer. */
    reports: (RankReport | undefined)[];
    /** Counts that were read, by their source. */
    counts: { source: number; counts: RankCounts }[];
}

/** Reads all ranks of a group. */
export abstract class GroupReader {
    abstract readGroup(): Promise<GroupReading>;
}

/**
 * Creates a reader that calls the agent of each rank.
 * @param links - Links by rank.
 */
export function createDirectReader(links: readonly AgentRankLink[]): GroupReader {
    return new (class DirectReader extends GroupReader {
        override async readGroup(): Promise<GroupReading> {
            const looks = await Promise.all(links.map(link => link.readReportAndCounts().catch(() => undefined)));
            return {
                reports: looks.map(look => look?.report),
                counts: looks.flatMap((look, source) => (look === undefined ? [] : [{ source, counts: look.counts }])),
            };
        }
    })();
}

/** A branch and the ranks of its members, in their order. */
export interface ReadBranch {
    client: BranchClient;
    ranks: readonly number[];
}

/** Interval between two readings of the counts, in milliseconds; a reading takes a quarter of the links' bandwidth for that long. */
const COUNTS_INTERVAL_MS = 400;

/**
 * Creates a reader that calls the branches of a group.
 * @param branches - Branches.
 * @param onSuperseded - Called when an agent has received a call of a coordinator with a higher term.
 */
export function createBranchedReader(branches: readonly ReadBranch[], onSuperseded: () => void): GroupReader {
    const decoders = branches.map(() => createCountsDecoder());
    let countsReadAt = Number.NEGATIVE_INFINITY;

    return new (class BranchedReader extends GroupReader {
        override async readGroup(): Promise<GroupReading> {
            const hasCounts = readMonotonicMs() - countsReadAt >= COUNTS_INTERVAL_MS;
            countsReadAt = hasCounts ? readMonotonicMs() : countsReadAt;
            const reading: GroupReading = { reports: [], counts: [] };
            const read = async ({ client, ranks }: ReadBranch, source: number): Promise<void> => {
                const { looks, counts } = await client.lookAtAll(hasCounts);
                ranks.forEach((rank, index) => (reading.reports[rank] = looks[index]?.report));
                const decoded = counts && decoders[source]?.decodeCounts(counts);
                if (decoded !== undefined) {
                    reading.counts.push({ source, counts: decoded });
                }
                if (looks.some(look => look?.isAccepted === false)) {
                    onSuperseded();
                }
            };
            // A branch that does not answer leaves its ranks without a report, which the coordinator sees.
            await Promise.all(branches.map((branch, source) => read(branch, source).catch(() => undefined)));
            return reading;
        }
    })();
}
