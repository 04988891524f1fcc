import type { MapSwitch, PermitGrant, RankPermit } from "./RankPermit.js";

/** Phases of a coordinator. */
export enum CoordinationPhase {
    /** Ranks are being fenced; nothing is granted. */
    Fencing = "fencing",
    Steady = "steady",
    /** A new version is being staged at the ranks. */
    Staging = "staging",
}

/** What a rank reports when it is fenced. */
export interface FenceReport {
    permit: RankPermit;
    /** Last step that the rank has begun; -1 for none. */
    lastStep: number;
}

/** What a coordinator knows of its group. */
export interface Coordination {
    phase: CoordinationPhase;
    epoch: number;
    ranks: number;
    /** What the fenced ranks have reported, by rank. */
    fenced: readonly (FenceReport | undefined)[];
    /** Highest step granted to any rank, by this or an earlier coordinator. */
    grantedStep: number;
    schedule: readonly MapSwitch[];
    /** Version that is being staged, and the ranks that have it. */
    stagedVersion: number | undefined;
    stagedRanks: readonly number[];
}

/**
 * Creates the state of a coordinator that has just won its epoch.
 * @param epoch - Epoch, from the revision of the platform's entry.
 * @param ranks - Ranks of the group.
 * @param kept - Schedule that the platform keeps, which holds every switch ever granted.
 */
export function createCoordination(epoch: number, ranks: number, kept: readonly MapSwitch[]): Coordination {
    return {
        phase: CoordinationPhase.Fencing,
        epoch,
        ranks,
        fenced: new Array<FenceReport | undefined>(ranks).fill(undefined),
        grantedStep: -1,
        schedule: kept,
        stagedVersion: undefined,
        stagedRanks: [],
    };
}

/**
 * Records that a rank is fenced. Once all are, the coordinator knows the highest step that may have been run.
 *
 * A rank that was replaced has forgotten its permit. Since the ranks run in lock-step, it can have begun
 * no step later than the one after the last step of the others.
 * @param state - Coordinator.
 * @param rank - Rank.
 * @param report - What the rank has reported.
 */
export function recordFenced(state: Coordination, rank: number, report: FenceReport): Coordination {
    if (state.phase !== CoordinationPhase.Fencing || report.permit.epoch !== state.epoch) {
        return state;
    }
    const fenced = state.fenced.map((known, place) => (place === rank ? report : known));
    const isComplete = fenced.every(known => known !== undefined);
    if (!isComplete) {
        return { ...state, fenced };
    }
    const granted = fenced.map(known => known?.permit.upToStep ?? -1);
    const begun = fenced.map(known => (known?.lastStep ?? -1) + 1);
    const grantedStep = Math.max(...granted, ...begun);
    return { ...state, fenced, grantedStep, phase: CoordinationPhase.Steady };
}

/**
 * Plans the next grant.
 * @param state - Coordinator.
 * @param slowestStep - Last step that all ranks have run.
 * @param lead - Steps that a permit reaches beyond it, so that a healthy group never waits.
 * @returns Undefined while nothing may be granted.
 */
export function planGrant(state: Coordination, slowestStep: number, lead: number): PermitGrant | undefined {
    if (state.phase === CoordinationPhase.Fencing || state.schedule.length === 0) {
        return undefined;
    }
    const upToStep = Math.max(state.grantedStep, slowestStep + lead);
    return { epoch: state.epoch, upToStep, schedule: state.schedule };
}

/**
 * Records that a grant is about to be sent.
 * @param state - Coordinator.
 * @param grant - Grant.
 */
export function recordGrant(state: Coordination, grant: PermitGrant): Coordination {
    return { ...state, grantedStep: Math.max(state.grantedStep, grant.upToStep) };
}

/**
 * Starts a change to a new map.
 * @param state - Coordinator.
 * @param version - Version of the map.
 */
export function startStaging(state: Coordination, version: number): Coordination {
    if (state.phase !== CoordinationPhase.Steady) {
        return state;
    }
    return { ...state, phase: CoordinationPhase.Staging, stagedVersion: version, stagedRanks: [] };
}

/**
 * Records that a rank has staged the new map.
 * @param state - Coordinator.
 * @param rank - Rank.
 * @param version - Version that the rank has staged.
 */
export function recordStaged(state: Coordination, rank: number, version: number): Coordination {
    if (state.stagedVersion !== version || state.stagedRanks.includes(rank)) {
        return state;
    }
    return { ...state, stagedRanks: [...state.stagedRanks, rank] };
}

/**
 * Plans the switch, once all ranks have staged the map: it takes effect after the highest step ever granted,
 * so no rank can have run a step that it covers.
 * @param state - Coordinator.
 * @returns Schedule to keep in the platform before it is granted; undefined while ranks are missing.
 */
export function planSwitch(state: Coordination): readonly MapSwitch[] | undefined {
    const version = state.stagedVersion;
    if (state.phase !== CoordinationPhase.Staging || version === undefined || state.stagedRanks.length < state.ranks) {
        return undefined;
    }
    return [...state.schedule, { afterStep: state.grantedStep, version }];
}

/**
 * Records that the platform keeps a switch.
 * @param state - Coordinator.
 * @param schedule - Schedule that is kept.
 */
export function recordSwitch(state: Coordination, schedule: readonly MapSwitch[]): Coordination {
    return { ...state, schedule, phase: CoordinationPhase.Steady, stagedVersion: undefined, stagedRanks: [] };
}

/**
 * Abandons a change that can't be finished; nothing of it was granted.
 * @param state - Coordinator.
 */
export function abandonStaging(state: Coordination): Coordination {
    if (state.phase !== CoordinationPhase.Staging) {
        return state;
    }
    return { ...state, phase: CoordinationPhase.Steady, stagedVersion: undefined, stagedRanks: [] };
}
