import { WORK_RANKS, WorkRank } from "../config/WorkRank.js";
import { Cause } from "../protocol/Cause.js";
import { type RankFloors, type RankShares, createRankShares } from "./RankShares.js";
import { createServiceRate } from "./ServiceRate.js";
import { type TeamShares, createTeamShares } from "./TeamShares.js";
import { createTeamUsage } from "./TeamUsage.js";
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
    /** Slots that only urgent work may fill, as a share of all. */
    reservedShare?: number;
}

/** What waits of one rank: work inside the shares of its teams, and surplus over them. */
interface RankLanes {
    rank: WorkRank;
    entitled: TeamShares;
    surplus: TeamShares;
}

const DEFAULT_RESERVED_SHARE = 0.125;
const MIN_RETRY_MS = 200;
/** Entitled work goes before urgent surplus once it has waited this share of its time. */
const PRESSED_SHARE = 0.35;
const MIN_AVAILABLE = 0.02;
const LOWER_RANKS: readonly WorkRank[] = [WorkRank.Standard, WorkRank.Deferrable];

/**
 * Creates a queue that serves the most urgent rank first, keeps the floors of the others,
 * lets no team's surplus push out what other teams are entitled to, and gives up at once
 * what cannot meet its deadline.
 * @param options - Capacity and floors.
 */
export function createEntitledQueue(options: EntitledQueueOptions): WorkQueue {
    const rate = createServiceRate(options.initialMsPerCost);
    const lanes = new Map<WorkRank, RankLanes>(
        WORK_RANKS.map(rank => [rank, { rank, entitled: createTeamShares(), surplus: createTeamShares() }]),
    );
    const shares: RankShares = createRankShares(options.floors);
    const usage = createTeamUsage({
        getCapacity: () => options.concurrency / rate.getMsPerCost(),
        floors: options.floors,
    });
    const running = new Map<WorkRank, number>(WORK_RANKS.map(rank => [rank, 0]));
    const pressedAt = new Map<string, number>();
    const reserved = Math.floor(options.concurrency * (options.reservedShare ?? DEFAULT_RESERVED_SHARE));

    return new (class EntitledQueue extends WorkQueue {
        override offerWork(item: WorkItem, now: number): OfferAnswer {
            const isEntitled = usage.isWithinShare(item, now);
            if (now + predictItemWait(item, isEntitled, now) > item.deadline) {
                return { rejected: [createRejection(item, isEntitled ? Cause.Overload : Cause.TeamOverShare, now)] };
            }
            const { entitled, surplus } = getLanes(item.rank);
            (isEntitled ? entitled : surplus).addItem(item);
            if (isEntitled) {
                usage.recordUse(item, now);
            }
            pressedAt.set(item.id, now + (item.deadline - now) * PRESSED_SHARE);
            return { rejected: countAll() > options.maxWaiting ? evictLongest(now) : [] };
        }

        override takeWork(now: number): TakeAnswer {
            const rejected = rejectLate(now);
            const item = chooseLane(now)?.takeItem();
            if (item !== undefined) {
                pressedAt.delete(item.id);
                running.set(item.rank, getRunning(item.rank) + 1);
                shares.recordService(item.rank, item.cost);
            }
            return { item, rejected };
        }

        override completeWork(work: CompletedWork): void {
            running.set(work.item.rank, Math.max(0, getRunning(work.item.rank) - 1));
            rate.recordRun(work.cost, work.durationMs, work.firstByteMs);
            const { entitled, surplus } = getLanes(work.item.rank);
            entitled.correctCost(work.item, work.cost);
            surplus.correctCost(work.item, work.cost);
        }

        override removeWork(id: string): boolean {
            pressedAt.delete(id);
            return listAllShares().some(teams => teams.removeItem(id) !== undefined);
        }

        override rejectLateWork(now: number): RejectedWork[] {
            return rejectLate(now);
        }

        override countWaiting(rank?: WorkRank): number {
            return rank === undefined ? countAll() : countRank(rank);
        }

        override countRunning(): number {
            return countSlots();
        }

        override countAhead(rank: WorkRank): number {
            const upTo = WORK_RANKS.slice(0, WORK_RANKS.indexOf(rank) + 1);
            return countSlots() + upTo.reduce((sum, other) => sum + getLanes(other).entitled.countItems(), 0);
        }

        override predictWait(rank: WorkRank): number {
            const ahead = sumMoreUrgent(rank) + getLanes(rank).entitled.getCost();
            return (ahead * rate.getMsPerCost()) / options.concurrency;
        }
    })();

    /**
     * Chooses in this order: entitled work of a lower rank below its floor, entitled urgent work, entitled work
     * that is pressed, surplus of a rank below its floor, urgent surplus, entitled work of the lower ranks,
     * surplus of the lower ranks.
     */
    function chooseLane(now: number): TeamShares | undefined {
        const urgent = getLanes(WorkRank.Urgent);
        const lower = LOWER_RANKS.filter(hasSlot).map(getLanes);
        const belowFloor = shares.findBelowFloor(lower.filter(lane => countRank(lane.rank) > 0).map(lane => lane.rank));
        const due = belowFloor && getLanes(belowFloor);
        const ordered = [
            due?.entitled,
            urgent.entitled,
            ...lower.filter(lane => isPressed(lane.entitled, now)).map(lane => lane.entitled),
            due?.surplus,
            urgent.surplus,
            ...lower.map(lane => lane.entitled),
            ...lower.map(lane => lane.surplus),
        ];
        return ordered.find(teams => teams !== undefined && teams.countItems() > 0);
    }

    function isPressed(teams: TeamShares, now: number): boolean {
        const oldest = teams.getOldest();
        return oldest !== undefined && (pressedAt.get(oldest.id) ?? now) <= now;
    }

    /** The lower ranks together leave the reserved slots free, so that urgent work starts at once. */
    function hasSlot(rank: WorkRank): boolean {
        const lower = LOWER_RANKS.reduce((sum, other) => sum + getRunning(other), 0);
        return rank === WorkRank.Urgent || lower < Math.max(1, options.concurrency - reserved);
    }

    function predictItemWait(item: WorkItem, isEntitled: boolean, now: number): number {
        const { entitled, surplus } = getLanes(item.rank);
        const own = (isEntitled ? entitled : surplus).predictCostAhead(item);
        const before = sumMoreUrgent(item.rank) + (isEntitled ? 0 : sumEntitledFrom(item.rank));
        const ahead = own + before;
        const isIdle = countSlots() < options.concurrency && ahead === 0;
        const slots = options.concurrency * computeAvailable(item.rank, isEntitled, now);
        const queueMs = isIdle ? 0 : (ahead * rate.getMsPerCost()) / slots + computeSlotWait(slots);
        return queueMs + rate.getFirstByteMs();
    }

    /** With all slots taken, the first one is free after a share of a run. */
    function computeSlotWait(slots: number): number {
        const isFull = countSlots() >= options.concurrency;
        return isFull ? rate.getRunMs() / (slots + 1) : 0;
    }

    /** Share of capacity that is left by the load of what goes before, and at least the floor. */
    function computeAvailable(rank: WorkRank, isEntitled: boolean, now: number): number {
        const place = WORK_RANKS.indexOf(rank);
        const before = isEntitled ? WORK_RANKS.slice(0, place) : WORK_RANKS.filter(other => other !== rank);
        const load = before.reduce((sum, other) => sum + Math.min(1, usage.computeLoad(other, now)), 0);
        const keptByOthers = LOWER_RANKS.filter(other => other !== rank && countRank(other) > 0);
        const kept = keptByOthers.reduce((sum, other) => sum + options.floors[other], 0);
        const left = rank === WorkRank.Urgent ? 1 - kept : 1 - load;
        return Math.max(MIN_AVAILABLE, options.floors[rank], left);
    }

    function sumMoreUrgent(rank: WorkRank): number {
        const before = WORK_RANKS.slice(0, WORK_RANKS.indexOf(rank));
        return before.reduce((sum, other) => sum + getLanes(other).entitled.getCost(), 0);
    }

    function sumEntitledFrom(rank: WorkRank): number {
        const after = WORK_RANKS.slice(WORK_RANKS.indexOf(rank));
        return after.reduce((sum, other) => sum + getLanes(other).entitled.getCost(), 0);
    }

    function rejectLate(now: number): RejectedWork[] {
        const before = now + rate.getFirstByteMs();
        return [...lanes.values()].flatMap(({ entitled, surplus }) => {
            const late = entitled.takeLateItems(before);
            late.forEach(item => usage.releaseUse(item, now));
            return [...late, ...surplus.takeLateItems(before)].map(item => createRejection(item, Cause.Overload, now));
        });
    }

    function evictLongest(now: number): RejectedWork[] {
        const ordered = [...WORK_RANKS].reverse().map(getLanes);
        const teams = [...ordered.map(lane => lane.surplus), ...ordered.map(lane => lane.entitled)];
        const item = teams.find(candidate => candidate.countItems() > 0)?.takeLongestTeamTail();
        return item === undefined ? [] : [createRejection(item, Cause.TeamOverShare, now)];
    }

    function createRejection(item: WorkItem, cause: Cause, now: number): RejectedWork {
        pressedAt.delete(item.id);
        const { entitled, surplus } = getLanes(item.rank);
        const slots = options.concurrency * computeAvailable(item.rank, cause === Cause.Overload, now);
        const drainMs = ((entitled.getCost() + surplus.getCost()) * rate.getMsPerCost()) / slots;
        return { item, cause, retryAfterMs: Math.max(MIN_RETRY_MS, drainMs) };
    }

    function getLanes(rank: WorkRank): RankLanes {
        return lanes.get(rank) as RankLanes;
    }

    function listAllShares(): TeamShares[] {
        return [...lanes.values()].flatMap(lane => [lane.entitled, lane.surplus]);
    }

    function getRunning(rank: WorkRank): number {
        return running.get(rank) ?? 0;
    }

    function countSlots(): number {
        return WORK_RANKS.reduce((sum, rank) => sum + getRunning(rank), 0);
    }

    function countRank(rank: WorkRank): number {
        const { entitled, surplus } = getLanes(rank);
        return entitled.countItems() + surplus.countItems();
    }

    function countAll(): number {
        return WORK_RANKS.reduce((sum, rank) => sum + countRank(rank), 0);
    }
}
