import { type FenceReport } from "./Coordination.js";
import type { Placement } from "./Placement.js";
import { type PermitGrant, type RankPermit, applyGrant, createRankPermit, fencePermit } from "./RankPermit.js";

/** What an engine's rank says of itself. */
export interface EngineRankState {
    /** Last step that the rank has begun; -1 for none. */
    lastStep: number;
    /** Versions of the map that the rank holds. */
    staged: number[];
    /** Tokens that each expert has had since the last question. */
    expertLoads: number[];
}

/** The engine's rank behind an agent. */
export abstract class EngineRank {
    /** Reads back what the rank runs. */
    abstract getState(): Promise<EngineRankState>;

    /**
     * Lets the rank run steps. The order says all that the rank needs, so that a late one does no harm.
     * @param permit - Permit in force.
     */
    abstract sendPermit(permit: RankPermit): Promise<void>;

    /**
     * Makes the rank fetch the weights of a map.
     * @param version - Version of the map.
     * @param placement - Experts of each rank.
     */
    abstract stageMap(version: number, placement: Placement): Promise<void>;
}

/** Answer of a rank to an order. */
export interface RankAnswer extends FenceReport {
    isAccepted: boolean;
    staged: number[];
    expertLoads: number[];
}

/** Guards a rank: it holds the fence, whether or not the engine checks who gives it an order. */
export interface RankGuard {
    fence(epoch: number): Promise<RankAnswer>;
    grant(grant: PermitGrant): Promise<RankAnswer>;
    stage(epoch: number, version: number, placement: Placement): Promise<RankAnswer>;
    getPermit(): RankPermit;
}

/**
 * Creates the guard of a rank that has just started.
 * @param engine - Rank of the engine.
 * @param epoch - Epoch that the platform shows; orders of older ones are refused.
 */
export function createRankGuard(engine: EngineRank, epoch: number): RankGuard {
    let permit = createRankPermit(epoch);
    return { fence, grant, stage, getPermit: () => permit };

    async function fence(newEpoch: number): Promise<RankAnswer> {
        const answer = fencePermit(permit, newEpoch);
        permit = answer.permit;
        return createAnswer(answer.isAccepted);
    }

    async function grant(order: PermitGrant): Promise<RankAnswer> {
        const answer = applyGrant(permit, order);
        permit = answer.permit;
        if (answer.isAccepted) {
            await engine.sendPermit(permit);
        }
        return createAnswer(answer.isAccepted);
    }

    async function stage(orderEpoch: number, version: number, placement: Placement): Promise<RankAnswer> {
        const isAccepted = orderEpoch === permit.epoch;
        if (isAccepted) {
            await engine.stageMap(version, placement);
        }
        return createAnswer(isAccepted);
    }

    async function createAnswer(isAccepted: boolean): Promise<RankAnswer> {
        const { lastStep, staged, expertLoads } = await engine.getState();
        return { permit, lastStep, isAccepted, staged, expertLoads };
    }
}
