/** The three ranks of work, most urgent first. */
export enum WorkRank {
    Urgent = "urgent",
    Standard = "standard",
    Deferrable = "deferrable",
}

/** Ranks of work in order of urgency. */
export const WORK_RANKS: readonly WorkRank[] = [WorkRank.Urgent, WorkRank.Standard, WorkRank.Deferrable];
