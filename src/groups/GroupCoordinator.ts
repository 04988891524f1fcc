import { EventId, type Logger } from "../telemetry/index.js";
import { buildList } from "../utils/list.js";
import {
    type Coordination,
    CoordinationPhase,
    abandonStaging,
    createCoordination,
    planGrant,
    planSwitch,
    recordFenced,
    recordGrant,
    recordStaged,
    recordSwitch,
    startStaging,
} from "./Coordination.js";
import type { GroupStore, HeldLease, KeptSchedule } from "./GroupStore.js";
import type { Placement } from "./Placement.js";
import type { RankAnswer } from "./RankGuard.js";
import type { PermitGrant } from "./RankPermit.js";
import type { ProposedChange, Rebalancer } from "./Rebalancer.js";

/** Calls to the ranks of a group; undefined if a rank can't be reached. */
export abstract class GroupRanks {
    abstract fence(rank: number, epoch: number): Promise<RankAnswer | undefined>;
    abstract grant(rank: number, grant: PermitGrant): Promise<RankAnswer | undefined>;
    abstract stage(rank: number, epoch: number, version: number, placement: Placement): Promise<RankAnswer | undefined>;
}

/** Options of a coordinator. */
export interface GroupCoordinatorOptions {
    host: string;
    ranks: number;
    store: GroupStore;
    calls: GroupRanks;
    rebalancer: Rebalancer;
    /** Steps that a permit reaches beyond the slowest rank. */
    lead: number;
    /** Tells whether urgent work floods in. */
    isUrgentFlood: () => boolean;
    logger: Logger;
}

/** Coordinates a group while it holds the lease, and stands by otherwise. */
export interface GroupCoordinator {
    /** Does what is due: take or renew the lease, fence, grant, stage, switch. */
    runOnce(): Promise<void>;
    isCoordinating(): boolean;
    getCoordination(): Coordination | undefined;
}

interface Office {
    lease: HeldLease;
    state: Coordination;
    kept: KeptSchedule;
    slowestStep: number;
    change: ProposedChange | undefined;
    /** Rounds in which a staging made no progress. */
    idleRounds: number;
}

const MAX_IDLE_ROUNDS = 20;
/** Switches that are kept; the older ones lie before every step that is still to run. */
const KEPT_SWITCHES = 4;

/**
 * Creates a coordinator that stands by.
 * @param options - Group and its ranks.
 */
export function createGroupCoordinator(options: GroupCoordinatorOptions): GroupCoordinator {
    const { store, calls, logger, rebalancer } = options;
    let office: Office | undefined;
    return { runOnce, isCoordinating: () => office !== undefined, getCoordination: () => office?.state };

    async function runOnce(): Promise<void> {
        if (office === undefined) {
            office = await takeOffice();
            return;
        }
        await renewLease(office);
        const { state } = office;
        if (state.phase === CoordinationPhase.Fencing) {
            await fenceRanks(office);
        } else {
            await grantSteps(office);
        }
        if (office?.state.phase === CoordinationPhase.Steady) {
            startChange(office);
        } else if (office?.state.phase === CoordinationPhase.Staging) {
            await runChange(office);
        }
    }

    /** The schedule is written anew, so that a coordinator of an older epoch can change it no more. */
    async function takeOffice(): Promise<Office | undefined> {
        const lease = await store.takeLease(options.host);
        if (lease === undefined) {
            return undefined;
        }
        const known = await store.readSchedule();
        if (known.epoch >= lease.epoch) {
            return undefined;
        }
        const isFirst = known.schedule.length === 0;
        const schedule = isFirst ? [{ afterStep: -1, version: 1 }] : known.schedule;
        const placements = isFirst ? { 1: rebalancer.getPlacement() } : known.placements;
        const kept = { epoch: lease.epoch, schedule, placements, revision: known.revision };
        const revision = await store.writeSchedule(kept);
        if (revision === undefined) {
            return undefined;
        }
        applyKept(kept);
        logger.logEvent(EventId.GroupFenced, { host: options.host, epoch: lease.epoch });
        const state = createCoordination(lease.epoch, options.ranks, schedule);
        return { lease, state, kept: { ...kept, revision }, slowestStep: -1, change: undefined, idleRounds: 0 };
    }

    function applyKept(kept: KeptSchedule): void {
        const version = kept.schedule.at(-1)?.version ?? 1;
        const placement = kept.placements[version];
        if (placement !== undefined) {
            rebalancer.applyChange({ placement, fetches: 0, before: 1, after: 1 });
        }
    }

    /** Without the platform the coordinator goes on to grant steps, and starts no change. */
    async function renewLease(held: Office): Promise<void> {
        const isHeld = await store.renewLease(held.lease).catch(() => undefined);
        if (isHeld === false) {
            endOffice();
        }
    }

    async function fenceRanks(held: Office): Promise<void> {
        await runForRanks(async rank => {
            const answer = await calls.fence(rank, held.lease.epoch);
            if (answer === undefined) {
                return;
            }
            if (!answer.isAccepted) {
                endOffice();
                return;
            }
            held.state = recordFenced(held.state, rank, answer);
        });
    }

    async function grantSteps(held: Office): Promise<void> {
        const grant = planGrant(held.state, held.slowestStep, options.lead);
        if (grant === undefined) {
            return;
        }
        held.state = recordGrant(held.state, grant);
        const steps: number[] = [];
        const loads: number[][] = [];
        await runForRanks(async rank => {
            const answer = await calls.grant(rank, grant);
            if (answer?.isAccepted === false) {
                await handleRefusal(held, rank, answer);
            } else if (answer !== undefined) {
                steps.push(answer.lastStep);
                loads.push(answer.expertLoads);
            }
        });
        if (steps.length === options.ranks) {
            held.slowestStep = Math.min(...steps);
            rebalancer.recordLoads(sumLoads(loads));
        }
    }

    /** A rank that was replaced knows an older epoch and is fenced again; one with a newer epoch ends the office. */
    async function handleRefusal(held: Office, rank: number, answer: RankAnswer): Promise<void> {
        if (answer.permit.epoch > held.lease.epoch) {
            endOffice();
            return;
        }
        await calls.fence(rank, held.lease.epoch);
        held.state = abandonStaging(held.state);
    }

    function startChange(held: Office): void {
        const change = rebalancer.proposeChange(options.isUrgentFlood());
        if (change === undefined) {
            return;
        }
        const version = (held.state.schedule.at(-1)?.version ?? 0) + 1;
        held.change = change;
        held.idleRounds = 0;
        held.state = startStaging(held.state, version);
        logger.logEvent(EventId.GroupChangeStaged, { host: options.host, version, fetches: change.fetches });
    }

    async function runChange(held: Office): Promise<void> {
        const { change } = held;
        const version = held.state.stagedVersion;
        if (change === undefined || version === undefined) {
            return;
        }
        await runForRanks(async rank => {
            const answer = await calls.stage(rank, held.lease.epoch, version, change.placement);
            if (answer?.isAccepted === true && answer.staged.includes(version)) {
                held.state = recordStaged(held.state, rank, version);
            }
        });
        const schedule = planSwitch(held.state);
        if (schedule !== undefined) {
            await keepSwitch(held, schedule, change);
            return;
        }
        held.idleRounds++;
        if (held.idleRounds > MAX_IDLE_ROUNDS) {
            held.state = abandonStaging(held.state);
            logger.logEvent(EventId.GroupChangeAbandoned, { host: options.host, version });
        }
    }

    /** The switch is kept by the platform before any rank hears of it. */
    async function keepSwitch(held: Office, schedule: Coordination["schedule"], change: ProposedChange): Promise<void> {
        const recent = schedule.slice(-KEPT_SWITCHES);
        const version = recent.at(-1)?.version ?? 0;
        const all: Record<string, Placement> = { ...held.kept.placements, [version]: change.placement };
        const used = recent.map(entry => [entry.version, all[entry.version] ?? []] as const);
        const kept = { ...held.kept, epoch: held.lease.epoch, schedule: recent, placements: Object.fromEntries(used) };
        try {
            const revision = await store.writeSchedule(kept);
            if (revision === undefined) {
                endOffice();
                return;
            }
            held.kept = { ...kept, revision };
        } catch {
            // The write may stand. Only a new office, which reads what is kept, may go on from here.
            endOffice();
            return;
        }
        held.state = recordSwitch(held.state, recent);
        rebalancer.applyChange(change);
        logger.logEvent(EventId.GroupChangePermitted, { host: options.host, version, fetches: change.fetches });
    }

    function endOffice(): void {
        office = undefined;
        logger.logEvent(EventId.GroupCoordinatorLost, { host: options.host });
    }

    async function runForRanks(run: (rank: number) => Promise<void>): Promise<void> {
        await Promise.all(buildList(options.ranks, run));
    }
}

function sumLoads(loads: readonly number[][]): number[] {
    const [first = []] = loads;
    return first.map((...[, expert]) => loads.reduce((sum, rank) => sum + (rank[expert] ?? 0), 0));
}
