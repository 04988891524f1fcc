/** The three ranks of work, most urgent first. */
export enum WorkRank {
    Urgent = "urgent",
    Standard = "standard",
    Deferrable = "deferrable",
}

/** Ranks of work in order of urgency. */
export const WORK_RANKS: readonly WorkRank[] = [WorkRank.Urgent, WorkRank.Standard, WorkRank.Deferrable];

/**
 * Builds a record with a value for each rank of work.
 * @param create - Creates the value of a rank.
 */
export function mapRanks<T>(create: (rank: WorkRank) => T): Record<WorkRank, T> {
    return {
        [WorkRank.Urgent]: create(WorkRank.Urgent),
        [WorkRank.Standard]: create(WorkRank.Standard),
        [WorkRank.Deferrable]: create(WorkRank.Deferrable),
    };
}
