import { WORK_RANKS, WorkRank } from "../config/WorkRank.js";
import { Cause } from "../protocol/Cause.js";
import { type RankFloors, type RankServiceTracker, createRankServiceTracker } from "./RankServiceTracker.js";
import { createServiceRate } from "./ServiceRate.js";
import { type FairTeamQueue, createFairTeamQueue } from "./FairTeamQueue.js";
import { createTeamUsage } from "./TeamUsage.js";
import {
    type CompletedWork,
    type OfferResult,
    type RejectedWork,
    type TakeResult,
    type WorkItem,
    WorkQueue,
} from "./WorkQueue.js";

/** Options of the queue. */
export interface FairShareQueueOptions {
    /** Requests that the endpoint processes concurrently. */
    concurrency: number;
    floors: RankFloors;
    /** Initial estimate of the time that a slot needs per unit of cost, in milliseconds. */
    initialMsPerCost: number;
    /** Maximum number of queued items over all ranks. */
    maxWaiting: number;
    /** Share of the slots that is reserved for urgent work. */
    reservedShare?: number;
}

/** Queued work of one rank, split into work within and work over the shares of its teams. */
interface RankQueues {
    rank: WorkRank;
    withinShare: FairTeamQueue;
    overShare: FairTeamQueue;
}

const DEFAULT_RESERVED_SHARE = 0.125;
const MIN_RETRY_MS = 200;
/** Work within its share precedes urgent work over its share once this share of its time to the deadline has passed. */
const AGING_SHARE = 0.35;
const MIN_AVAILABLE_SHARE = 0.02;
const LOWER_RANKS: readonly WorkRank[] = [WorkRank.Standard, WorkRank.Deferrable];

/**
 * Creates a queue that serves the most urgent rank first and guarantees the other ranks their floors.
 * Work over a team's share does not displace work within other teams' shares, and an item that cannot
 * meet its deadline is rejected immediately.
 * @param options - Capacity and floors.
 */
export function createFairShareQueue(options: FairShareQueueOptions): WorkQueue {
    const rate = createServiceRate(options.initialMsPerCost);
    const rankQueues = new Map<WorkRank, RankQueues>(
        WORK_RANKS.map(rank => [rank, { rank, withinShare: createFairTeamQueue(), overShare: createFairTeamQueue() }]),
    );
    const shares: RankServiceTracker = createRankServiceTracker(options.floors);
    const usage = createTeamUsage({
        getCapacity: () => options.concurrency / rate.getMsPerCost(),
        floors: options.floors,
    });
    const running = new Map<WorkRank, number>(WORK_RANKS.map(rank => [rank, 0]));
    const agedAt = new Map<string, number>();
    const reserved = Math.floor(options.concurrency * (options.reservedShare ?? DEFAULT_RESERVED_SHARE));

    return new (class FairShareQueue extends WorkQueue {
        override offerWork(item: WorkItem, now: number): OfferResult {
            const isEntitled = usage.isWithinShare(item, now);
            if (now + predictItemWait(item, isEntitled, now) > item.deadline) {
                return { rejected: [createRejection(item, isEntitled ? Cause.Overload : Cause.TeamOverShare, now)] };
            }
            const { withinShare, overShare } = getRankQueues(item.rank);
            (isEntitled ? withinShare : overShare).addItem(item);
            if (isEntitled) {
                usage.recordUse(item, now);
            }
            agedAt.set(item.id, now + (item.deadline - now) * AGING_SHARE);
            return { rejected: countAll() > options.maxWaiting ? evictLongest(now) : [] };
        }

        override takeWork(now: number): TakeResult {
            const rejected = rejectLate(now);
            const item = chooseQueue(now)?.takeItem();
            if (item !== undefined) {
                agedAt.delete(item.id);
                running.set(item.rank, getRunning(item.rank) + 1);
                shares.recordService(item.rank, item.cost);
            }
            return { item, rejected };
        }

        override completeWork(work: CompletedWork): void {
            running.set(work.item.rank, Math.max(0, getRunning(work.item.rank) - 1));
            rate.recordRun(work.cost, work.durationMs, work.firstByteMs);
            const { withinShare, overShare } = getRankQueues(work.item.rank);
            withinShare.correctCost(work.item, work.cost);
            overShare.correctCost(work.item, work.cost);
        }

        override removeWork(id: string): boolean {
            agedAt.delete(id);
            return listAllQueues().some(teams => teams.removeItem(id) !== undefined);
        }

        override rejectLateWork(now: number): RejectedWork[] {
            return rejectLate(now);
        }

        override countWaiting(rank?: WorkRank): number {
            return rank === undefined ? countAll() : countRank(rank);
        }

        override countRunning(): number {
            return countInUse();
        }

        override countAhead(rank: WorkRank): number {
            const upTo = WORK_RANKS.slice(0, WORK_RANKS.indexOf(rank) + 1);
            return countInUse() + upTo.reduce((sum, other) => sum + getRankQueues(other).withinShare.countItems(), 0);
        }

        override predictWait(rank: WorkRank): number {
            const ahead = sumMoreUrgent(rank) + getRankQueues(rank).withinShare.getCost();
            return (ahead * rate.getMsPerCost()) / options.concurrency;
        }
    })();

    /**
     * Chooses in this order: work within its share of a lower rank below its floor, urgent work within its share,
     * aged work within its share, work over its share of a rank below its floor, urgent work over its share,
     * work within its share of the lower ranks, work over its share of the lower ranks.
     */
    function chooseQueue(now: number): FairTeamQueue | undefined {
        const urgent = getRankQueues(WorkRank.Urgent);
        const lower = LOWER_RANKS.filter(canTakeSlot).map(getRankQueues);
        const belowFloor = shares.findBelowFloor(lower.filter(lane => countRank(lane.rank) > 0).map(lane => lane.rank));
        const due = belowFloor && getRankQueues(belowFloor);
        const ordered = [
            due?.withinShare,
            urgent.withinShare,
            ...lower.filter(lane => hasAged(lane.withinShare, now)).map(lane => lane.withinShare),
            due?.overShare,
            urgent.overShare,
            ...lower.map(lane => lane.withinShare),
            ...lower.map(lane => lane.overShare),
        ];
        return ordered.find(teams => teams !== undefined && teams.countItems() > 0);
    }

    function hasAged(teams: FairTeamQueue, now: number): boolean {
        const oldest = teams.getOldest();
        return oldest !== undefined && (agedAt.get(oldest.id) ?? now) <= now;
    }

    /** The lower ranks leave the reserved slots free, so that urgent work starts without waiting. */
    function canTakeSlot(rank: WorkRank): boolean {
        const lower = LOWER_RANKS.reduce((sum, other) => sum + getRunning(other), 0);
        return rank === WorkRank.Urgent || lower < Math.max(1, options.concurrency - reserved);
    }

    function predictItemWait(item: WorkItem, isEntitled: boolean, now: number): number {
        const { withinShare, overShare } = getRankQueues(item.rank);
        const own = (isEntitled ? withinShare : overShare).predictCostAhead(item);
        const before = sumMoreUrgent(item.rank) + (isEntitled ? 0 : sumWithinShareFrom(item.rank));
        const ahead = own + before;
        const isIdle = countInUse() < options.concurrency && ahead === 0;
        const slots = options.concurrency * computeAvailableShare(item.rank, isEntitled, now);
        const queueMs = isIdle ? 0 : (ahead * rate.getMsPerCost()) / slots + computeSlotWait(slots);
        return queueMs + rate.getFirstByteMs();
    }

    /** Estimates the time until the first of the occupied slots is free. */
    function computeSlotWait(slots: number): number {
        const isFull = countInUse() >= options.concurrency;
        return isFull ? rate.getRunMs() / (slots + 1) : 0;
    }

    /** Computes the share of capacity that work of higher precedence leaves over; at least the rank's floor. */
    function computeAvailableShare(rank: WorkRank, isEntitled: boolean, now: number): number {
        const rankIndex = WORK_RANKS.indexOf(rank);
        const before = isEntitled ? WORK_RANKS.slice(0, rankIndex) : WORK_RANKS.filter(other => other !== rank);
        const load = before.reduce((sum, other) => sum + Math.min(1, usage.computeLoad(other, now)), 0);
        const backloggedOthers = LOWER_RANKS.filter(other => other !== rank && countRank(other) > 0);
        const reservedForOthers = backloggedOthers.reduce((sum, other) => sum + options.floors[other], 0);
        const left = rank === WorkRank.Urgent ? 1 - reservedForOthers : 1 - load;
        return Math.max(MIN_AVAILABLE_SHARE, options.floors[rank], left);
    }

    function sumMoreUrgent(rank: WorkRank): number {
        const before = WORK_RANKS.slice(0, WORK_RANKS.indexOf(rank));
        return before.reduce((sum, other) => sum + getRankQueues(other).withinShare.getCost(), 0);
    }

    function sumWithinShareFrom(rank: WorkRank): number {
        const after = WORK_RANKS.slice(WORK_RANKS.indexOf(rank));
        return after.reduce((sum, other) => sum + getRankQueues(other).withinShare.getCost(), 0);
    }

    function rejectLate(now: number): RejectedWork[] {
        const before = now + rate.getFirstByteMs();
        return [...rankQueues.values()].flatMap(({ withinShare, overShare }) => {
            const late = withinShare.takeExpiredItems(before);
            late.forEach(item => usage.releaseUse(item, now));
            return [...late, ...overShare.takeExpiredItems(before)].map(item =>
                createRejection(item, Cause.Overload, now),
            );
        });
    }

    function evictLongest(now: number): RejectedWork[] {
        const ordered = [...WORK_RANKS].reverse().map(getRankQueues);
        const teams = [...ordered.map(lane => lane.overShare), ...ordered.map(lane => lane.withinShare)];
        const item = teams.find(candidate => candidate.countItems() > 0)?.takeFromLongestTeam();
        return item === undefined ? [] : [createRejection(item, Cause.TeamOverShare, now)];
    }

    function createRejection(item: WorkItem, cause: Cause, now: number): RejectedWork {
        agedAt.delete(item.id);
        const { withinShare, overShare } = getRankQueues(item.rank);
        const slots = options.concurrency * computeAvailableShare(item.rank, cause === Cause.Overload, now);
        const drainMs = ((withinShare.getCost() + overShare.getCost()) * rate.getMsPerCost()) / slots;
        return { item, cause, retryAfterMs: Math.max(MIN_RETRY_MS, drainMs) };
    }

    function getRankQueues(rank: WorkRank): RankQueues {
        return rankQueues.get(rank) as RankQueues;
    }

    function listAllQueues(): FairTeamQueue[] {
        return [...rankQueues.values()].flatMap(lane => [lane.withinShare, lane.overShare]);
    }

    function getRunning(rank: WorkRank): number {
        return running.get(rank) ?? 0;
    }

    function countInUse(): number {
        return WORK_RANKS.reduce((sum, rank) => sum + getRunning(rank), 0);
    }

    function countRank(rank: WorkRank): number {
        const { withinShare, overShare } = getRankQueues(rank);
        return withinShare.countItems() + overShare.countItems();
    }

    function countAll(): number {
        return WORK_RANKS.reduce((sum, rank) => sum + countRank(rank), 0);
    }
}
