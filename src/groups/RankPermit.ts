/** From the step after `afterStep` on, a group runs the map of this version. */
export interface MapSwitch {
    afterStep: number;
    version: number;
}

/** What a rank is allowed to run. */
export interface RankPermit {
    /** Highest epoch that has fenced the rank; grants of other epochs are refused. */
    epoch: number;
    /** Last step that the rank may run; -1 for none. */
    upToStep: number;
    /** Switches of the map in order of steps. */
    schedule: readonly MapSwitch[];
}

/** Order of a coordinator that extends a permit. */
export interface PermitGrant {
    epoch: number;
    upToStep: number;
    schedule: readonly MapSwitch[];
}

/** Result of an order at a rank. */
export interface PermitAnswer {
    permit: RankPermit;
    isAccepted: boolean;
}

/**
 * Creates the permit of a rank that has just started.
 * @param epoch - Epoch that the platform shows; orders of older ones are refused.
 */
export function createRankPermit(epoch: number): RankPermit {
    return { epoch, upToStep: -1, schedule: [] };
}

/**
 * Shuts out every coordinator of an older epoch.
 * @param permit - Permit of the rank.
 * @param epoch - Epoch of the new coordinator.
 */
export function fencePermit(permit: RankPermit, epoch: number): PermitAnswer {
    if (epoch < permit.epoch) {
        return { permit, isAccepted: false };
    }
    return { permit: { ...permit, epoch }, isAccepted: true };
}

/**
 * Extends a permit. A repeated or late grant of the same epoch changes nothing.
 * @param permit - Permit of the rank.
 * @param grant - Order of the coordinator.
 */
export function applyGrant(permit: RankPermit, grant: PermitGrant): PermitAnswer {
    if (grant.epoch !== permit.epoch) {
        return { permit, isAccepted: false };
    }
    if (grant.upToStep <= permit.upToStep) {
        return { permit, isAccepted: true };
    }
    return { permit: { epoch: permit.epoch, upToStep: grant.upToStep, schedule: grant.schedule }, isAccepted: true };
}

/**
 * Tells which map a step runs on.
 * @param permit - Permit of the rank.
 * @param step - Step.
 * @returns Undefined if the rank may not run the step.
 */
export function getMapVersion(permit: RankPermit, step: number): number | undefined {
    if (step > permit.upToStep) {
        return undefined;
    }
    return permit.schedule.findLast(entry => entry.afterStep < step)?.version;
}
