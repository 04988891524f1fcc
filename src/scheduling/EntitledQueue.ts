import { WORK_RANKS, WorkRank } from "../config/WorkRank.js";
import { Cause } from "../protocol/Cause.js";
import { type RankFloors, type RankShares, createRankShares } from "./RankShares.js";
import { createServiceRate } from "./ServiceRate.js";
import { type TeamShares, createTeamShares } from "./TeamShares.js";
import {
    type CompletedWork,
    type OfferAnswer,
    type RejectedWork,
    type TakeAnswer,
    type WorkItem,
    WorkQueue,
} from "./WorkQueue.js";

/** Options of the queue. */
export interface EntitledQueueOptions {
    /** Requests that the endpoint works on at the same time. */
    concurrency: number;
    floors: RankFloors;
    /** Time that a slot needs for a unit of cost, before the first run, in milliseconds. */
    initialMsPerCost: number;
    /** Items that may wait in all. */
    maxWaiting: number;
    /** Slots that only work of a higher rank may fill, as a share of all. */
    reservedShare?: number;
}

const DEFAULT_RESERVED_SHARE = 0.125;
const MIN_RETRY_MS = 200;

/**
 * Creates a queue that serves the most urgent rank first, keeps the floors of the others,
 * shares each rank between teams, and gives up at once what cannot meet its deadline.
 * @param options - Capacity and floors.
 */
export function createEntitledQueue(options: EntitledQueueOptions): WorkQueue {
    const rate = createServiceRate(options.initialMsPerCost);
    const teams = new Map<WorkRank, TeamShares>(WORK_RANKS.map(rank => [rank, createTeamShares()]));
    const shares: RankShares = createRankShares(options.floors);
    const running = new Map<WorkRank, number>(WORK_RANKS.map(rank => [rank, 0]));
    const reserved = Math.floor(options.concurrency * (options.reservedShare ?? DEFAULT_RESERVED_SHARE));

    return new (class EntitledQueue extends WorkQueue {
        override offerWork(item: WorkItem, now: number): OfferAnswer {
            const lanes = getTeams(item.rank);
            const waitMs = predictItemWait(item);
            if (now + waitMs > item.deadline) {
                const isOverShare = lanes.getTeamCost(item.team) > 0 && lanes.getCost() > lanes.getTeamCost(item.team);
                const cause = isOverShare ? Cause.TeamOverShare : Cause.Overload;
                return { rejected: [createRejection(item, cause)] };
            }
            lanes.addItem(item);
            return { rejected: countAll() > options.maxWaiting ? evictLongest() : [] };
        }

        override takeWork(now: number): TakeAnswer {
            const rejected = rejectLate(now);
            const rank = chooseRank();
            const item = rank && getTeams(rank).takeItem();
            if (item !== undefined) {
                running.set(item.rank, getRunning(item.rank) + 1);
                shares.recordService(item.rank, item.cost);
            }
            return { item, rejected };
        }

        override completeWork(work: CompletedWork): void {
            running.set(work.item.rank, Math.max(0, getRunning(work.item.rank) - 1));
            rate.recordRun(work.cost, work.durationMs, work.firstByteMs);
            getTeams(work.item.rank).correctCost(work.item, work.cost);
        }

        override removeWork(id: string): boolean {
            return WORK_RANKS.some(rank => getTeams(rank).removeItem(id) !== undefined);
        }

        override rejectLateWork(now: number): RejectedWork[] {
            return rejectLate(now);
        }

        override countWaiting(rank?: WorkRank): number {
            return rank === undefined ? countAll() : getTeams(rank).countItems();
        }

        override countRunning(): number {
            return countSlots();
        }

        override predictWait(rank: WorkRank): number {
            return (getTeams(rank).getCost() * rate.getMsPerCost()) / getRankSlots(rank);
        }
    })();

    function chooseRank(): WorkRank | undefined {
        const backlogged = WORK_RANKS.filter(rank => getTeams(rank).countItems() > 0 && hasSlot(rank));
        return shares.chooseRank(backlogged);
    }

    /** Lower ranks leave the reserved slots free, so that urgent work starts at once. */
    function hasSlot(rank: WorkRank): boolean {
        const limit = rank === WorkRank.Urgent ? options.concurrency : Math.max(1, options.concurrency - reserved);
        return countSlots() < limit;
    }

    function predictItemWait(item: WorkItem): number {
        const ahead = getTeams(item.rank).predictCostAhead(item) - item.cost;
        const isIdle = countSlots() < options.concurrency && ahead <= 0;
        const queueMs = isIdle ? 0 : (ahead * rate.getMsPerCost()) / getRankSlots(item.rank);
        return queueMs + rate.getFirstByteMs();
    }

    /** Slots that a rank can count on while the other ranks claim what they are entitled to. */
    function getRankSlots(rank: WorkRank): number {
        const backlogged = WORK_RANKS.filter(other => other === rank || getTeams(other).countItems() > 0);
        return options.concurrency * shares.computeShare(rank, backlogged);
    }

    function rejectLate(now: number): RejectedWork[] {
        const before = now + rate.getFirstByteMs();
        return WORK_RANKS.flatMap(rank =>
            getTeams(rank)
                .takeLateItems(before)
                .map(item => createRejection(item, Cause.Overload)),
        );
    }

    function evictLongest(): RejectedWork[] {
        const rank = [...WORK_RANKS].reverse().find(candidate => getTeams(candidate).countItems() > 0);
        const item = rank && getTeams(rank).takeLongestTeamTail();
        return item === undefined ? [] : [createRejection(item, Cause.TeamOverShare)];
    }

    function createRejection(item: WorkItem, cause: Cause): RejectedWork {
        const drainMs = (getTeams(item.rank).getCost() * rate.getMsPerCost()) / getRankSlots(item.rank);
        return { item, cause, retryAfterMs: Math.max(MIN_RETRY_MS, drainMs) };
    }

    function getTeams(rank: WorkRank): TeamShares {
        return teams.get(rank) as TeamShares;
    }

    function getRunning(rank: WorkRank): number {
        return running.get(rank) ?? 0;
    }

    function countSlots(): number {
        return WORK_RANKS.reduce((sum, rank) => sum + getRunning(rank), 0);
    }

    function countAll(): number {
        return WORK_RANKS.reduce((sum, rank) => sum + getTeams(rank).countItems(), 0);
    }
}
