/** State of a rank as it reports it. */
export interface RankReport {
    group: string;
    /** Incremented each time the group is formed again, which clears its maps and all prepared, armed or held state. */
    epoch: number;
    rank: number;
    /** Ranks of the group. */
    size: number;
    /** The group runs passes. */
    isOpen: boolean;
    /** Wall-clock time of the rank's start in milliseconds; 0 if unknown. */
    bornAt: number;
    /** Last pass that has begun. */
    step: number;
    /** Version of the map in use; 0 is the map that a group starts with. */
    mapVersion: number;
    /** Version whose experts are copied and which is not in use yet; undefined if none. */
    preparedVersion: number | undefined;
    /** Version and pass for which the rank is armed. */
    armed: { version: number; step: number } | undefined;
    /** Pass that the group does not begin until it is released at this rank. */
    heldStep: number | undefined;
    /** Numbers of queued and running requests. */
    queued: number;
    running: number;
    /** Pass duration relative to the usual one; above 1 for a slow engine. */
    pace: number;
}

/** Experts of a rank, by set of layers. */
export type RankExperts = readonly (readonly number[])[];

/** A map: the experts by set of layers and rank. */
export type ExpertMap = readonly RankExperts[];

/** How often each expert was chosen at a rank since its start, by set of layers. */
export interface RankCounts {
    epoch: number;
    step: number;
    /** Counts of all sets, concatenated. */
    counts: readonly number[];
}

/** Kinds of order to a rank. */
export enum RankOrderKind {
    /** Copies the experts of a map, which stays unused. */
    Prepare = "prepare",
    /** Switches to a prepared map as a pass begins. */
    Arm = "arm",
    Disarm = "disarm",
    /** Prevents the group from beginning a pass. */
    Hold = "hold",
    /** Lets the group begin a pass that was held. */
    Release = "release",
}

/** An order to a rank. */
export type RankOrder =
    | { kind: RankOrderKind.Prepare; version: number; map: ExpertMap }
    | { kind: RankOrderKind.Arm; version: number; step: number }
    | { kind: RankOrderKind.Disarm; version: number }
    | { kind: RankOrderKind.Hold; step: number }
    | { kind: RankOrderKind.Release; step: number };

/** Condition that must hold when an order is executed, even if delayed. */
export interface OrderCondition {
    /** Epoch of the group; a group that was formed again refuses orders of earlier epochs. */
    epoch: number;
}

/** Outcome of an order as known to the sender. */
export enum OrderAnswer {
    Accepted = "accepted",
    /** The order does not fit the rank's state, and has no effect. */
    Refused = "refused",
    /** No answer: the order may have been executed, or may still be while its condition holds. */
    Unknown = "unknown",
}

/** Answer to an order, with the rank's report after it. */
export interface OrderResult {
    answer: OrderAnswer;
    detail: string;
    /** Undefined if the rank returned none. */
    report: RankReport | undefined;
}
