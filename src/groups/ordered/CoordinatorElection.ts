import type { KeyValueService } from "../../platform/index.js";
import { startFreezeWatch } from "../../utils/FreezeWatch.js";
import { readMonotonicMs, startLoop } from "../../utils/time.js";
import { type LeaderLease, createLeaderLease } from "./LeaderLease.js";
import type { RankReport } from "./RankReport.js";

/** Elects one of a group's agents as the coordinator of its expert map. */
export interface CoordinatorElection {
    /**
     * Records a call by a coordinator, which resets the election timeout.
     * @returns False if a call with a higher term was received before.
     */
    acceptTerm(term: number): boolean;
    /** Returns whether this agent is the leader, or the leader's election timeout has passed so that it should stand for election. */
    isLeaderOrCandidate(): boolean;
    /** Records the rank of this agent; until it is known, the agent stands for election like the first rank. */
    recordRank(rank: number): void;
    /**
     * Tries to acquire the leadership unless it is held. Its lease is renewed in the background, since a round of the
     * coordinator may take longer than the lease.
     * @param report - Latest report of this agent's rank.
     * @returns Term of the leadership; undefined if another agent holds it.
     */
    acquireLeadership(report: RankReport): Promise<number | undefined>;
    /** Gets the term of the leadership; undefined if it is not held. */
    getTerm(): number | undefined;
    /** Returns whether the leadership is held and the process has not been suspended since it was last confirmed. */
    isLeader(): boolean;
    releaseLeadership(): void;
    stop(): Promise<void>;
}

/** Options of the election. */
export interface CoordinatorElectionOptions {
    service: KeyValueService;
    /** Name of this host, stored as the lease holder. */
    holder: string;
    /** Called when the leadership is lost. */
    onLost: (term: number) => void;
}

/** Time to live of the leader lease: above the store's minimum, and several renewal periods long. */
const LEASE_MS = 1_500;
/** Time without a coordinator's call after which rank 0 stands for election; each higher rank waits longer. */
const ELECTION_TIMEOUT_MS = 800;
const ELECTION_TIMEOUT_PER_RANK_MS = 250;
/** Process suspension after which a leader must acquire the lease again; well below the lease's time to live. */
const MAX_FREEZE_MS = 1_000;
/** Interval at which a leader checks whether its lease is due for renewal. */
const RENEWAL_CHECK_MS = 150;

/**
 * Creates the election as seen by one agent.
 * @param options - Store and holder name.
 */
export function createCoordinatorElection(options: CoordinatorElectionOptions): CoordinatorElection {
    const freezeWatch = startFreezeWatch(MAX_FREEZE_MS);
    let lease: LeaderLease | undefined;
    let heardAt = readMonotonicMs();
    let highestTerm = 0;
    let rank = 0;
    const renewal = startLoop(RENEWAL_CHECK_MS, renewLease, () => {
        // While the store is unavailable, no other agent can acquire the lease, so the leader continues.
    });
    return {
        acceptTerm,
        isLeaderOrCandidate,
        recordRank: known => void (rank = known),
        acquireLeadership,
        getTerm: () => lease?.getTerm(),
        isLeader: () => lease?.getTerm() !== undefined && !freezeWatch.hasStoodStill(),
        releaseLeadership,
        async stop() {
            freezeWatch.stop();
            await renewal.stop();
        },
    };

    function acceptTerm(term: number): boolean {
        if (term < highestTerm) {
            return false;
        }
        highestTerm = term;
        heardAt = readMonotonicMs();
        return true;
    }

    function isLeaderOrCandidate(): boolean {
        if (freezeWatch.hasStoodStill()) {
            // Another agent may have acquired the leadership in the meantime.
            releaseLeadership();
            freezeWatch.reset();
        }
        return lease?.getTerm() !== undefined || isCoordinatorSilent();
    }

    function isCoordinatorSilent(): boolean {
        return readMonotonicMs() - heardAt > ELECTION_TIMEOUT_MS + ELECTION_TIMEOUT_PER_RANK_MS * rank;
    }

    async function acquireLeadership(report: RankReport): Promise<number | undefined> {
        rank = report.rank;
        lease ??= createLeaderLease({
            service: options.service,
            key: `auburnpass/maps/${report.group}`,
            holder: options.holder,
            ttlMs: LEASE_MS,
        });
        if (lease.getTerm() !== undefined) {
            return lease.getTerm();
        }
        // Whether or not this attempt succeeds, the next one waits for a full election timeout.
        heardAt = readMonotonicMs();
        return lease.acquireOrRenew();
    }

    async function renewLease(): Promise<void> {
        const term = lease?.getTerm();
        if (term !== undefined && (await lease?.acquireOrRenew()) === undefined) {
            options.onLost(term);
        }
    }

    function releaseLeadership(): void {
        const term = lease?.getTerm();
        if (term !== undefined) {
            lease?.abandon();
            options.onLost(term);
        }
    }
}
