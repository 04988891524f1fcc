import type { WorkRank } from "../config/WorkRank.js";
import type { Cause } from "../protocol/Cause.js";

/** A request that waits for a slot at an endpoint. */
export interface WorkItem {
    id: string;
    rank: WorkRank;
    team: string;
    /** Weight of the team among the teams of its rank. */
    weight: number;
    /** Estimated tokens. */
    cost: number;
    /** Time by which the first byte is due, on the monotonic clock in milliseconds. */
    deadline: number;
}

/** A rejected item, with the cause and the time after which to retry. */
export interface RejectedWork {
    item: WorkItem;
    cause: Cause;
    retryAfterMs: number;
}

/** Result of an offer: the item is queued unless it is among the rejected ones. */
export interface OfferResult {
    rejected: RejectedWork[];
}

/** Result of taking an item. */
export interface TakeResult {
    item: WorkItem | undefined;
    /** Items that can no longer meet their deadline. */
    rejected: RejectedWork[];
}

/** Measurements of a finished item. */
export interface CompletedWork {
    item: WorkItem;
    /** Actual tokens, if known; otherwise the estimate. */
    cost: number;
    /** Time in the slot, in milliseconds. */
    durationMs: number;
    /** Time from the start in the slot to the first byte, in milliseconds. */
    firstByteMs: number;
}

/** Queue of the requests for one endpoint. */
export abstract class WorkQueue {
    /**
     * Offers an item.
     * @param item - Item to queue.
     * @param now - Monotonic time in milliseconds.
     */
    abstract offerWork(item: WorkItem, now: number): OfferResult;

    /**
     * Takes the item to start next; each taken item holds a slot until it is completed.
     * @param now - Monotonic time in milliseconds.
     */
    abstract takeWork(now: number): TakeResult;

    /**
     * Frees the slot of an item and updates the estimates from its run.
     * @param work - Item with its observed cost and time.
     */
    abstract completeWork(work: CompletedWork): void;

    /**
     * Removes a waiting item.
     * @param id - Identifier of the item.
     * @returns False if the item is not queued.
     */
    abstract removeWork(id: string): boolean;

    /**
     * Rejects the items that can no longer meet their deadline.
     * @param now - Monotonic time in milliseconds.
     */
    abstract rejectLateWork(now: number): RejectedWork[];

    /** Counts the waiting items of a rank of work, or of all. */
    abstract countWaiting(rank?: WorkRank): number;

    /** Counts the items that hold a slot. */
    abstract countRunning(): number;

    /**
     * Counts the items that hold a slot or precede a new item of a rank.
     * @param rank - Rank of work of the item.
     */
    abstract countAhead(rank: WorkRank): number;

    /**
     * Predicts the wait of a new item, in milliseconds.
     * @param rank - Rank of work of the item.
     */
    abstract predictWait(rank: WorkRank): number;
}
