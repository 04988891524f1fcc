/** What a rank of a group says of itself. */
export interface RankReport {
    group: string;
    /** Grows each time that the group is formed anew, which clears maps and all that is prepared, armed or held. */
    epoch: number;
    rank: number;
    /** Ranks of the group. */
    size: number;
    /** The group runs passes. */
    isOpen: boolean;
    /** Wall-clock time of the rank's start in milliseconds; 0 if it isn't told. */
    bornAt: number;
    /** Last pass that has begun. */
    step: number;
    /** Version of the map in use; 0 is the map that a group starts with. */
    mapVersion: number;
    /** Version whose copy is complete; undefined if none waits. */
    preparedVersion: number | undefined;
    /** Version and pass for which the rank is armed. */
    armed: { version: number; step: number } | undefined;
    /** Pass that the group doesn't begin before it is released at this rank. */
    heldStep: number | undefined;
    /** Requests that wait and run. */
    queued: number;
    running: number;
    /** Over 1 for a slow engine. */
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
    /** Sets one after the other. */
    counts: readonly number[];
}

/** Kinds of order to a rank. */
export enum RankOrderKind {
    /** Copies the experts of a map, which stays unused. */
    Prepare = "prepare",
    /** Switches to a prepared map as a pass begins. */
    Arm = "arm",
    Disarm = "disarm",
    /** Keeps the group from beginning a pass. */
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

/** What must hold for an order to be carried out, now or late. */
export interface OrderCondition {
    /** Epoch of the group; a group formed anew takes no order of an earlier one. */
    epoch: number;
}

/** What is known of an order. */
export enum OrderAnswer {
    Accepted = "accepted",
    /** The order does not fit the rank's state, and has no effect. */
    Refused = "refused",
    /** No answer came: the order may have been carried out, or may be later, while its condition holds. */
    Unknown = "unknown",
}

/** Answer to an order, with the rank's report after it. */
export interface OrderResult {
    answer: OrderAnswer;
    detail: string;
    /** Undefined if the rank gave none. */
    report: RankReport | undefined;
}
