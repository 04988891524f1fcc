import { WORK_RANKS, type WorkRank } from "../../src/config/WorkRank.js";
import {
    type Candidate,
    type SelectionRequest,
    EndpointSelector,
    type OfferResult,
    type RejectedWork,
    type TakeResult,
    type WorkItem,
    WorkQueue,
} from "../../src/scheduling/index.js";

/** Orders in which a baseline serves what waits. */
export type BaselineOrder = (left: WorkItem, right: WorkItem) => number;

const MAX_WAITING = 100_000;

/** Serves in the order of arrival. */
export const FIFO_ORDER: BaselineOrder = () => 0;
/** Serves the most urgent rank first, whatever the others miss. */
export const STRICT_ORDER: BaselineOrder = (left, right) =>
    WORK_RANKS.indexOf(left.rank) - WORK_RANKS.indexOf(right.rank);
/** Serves the earliest deadline first, without floors. */
export const DEADLINE_ORDER: BaselineOrder = (left, right) => left.deadline - right.deadline;

/**
 * Creates a queue without admission, floors or shares.
 * @param order - Order of service; items of equal rank keep their order of arrival.
 * @param isDroppingLate - Drops what is past its deadline when its turn comes.
 */
export function createBaselineQueue(order: BaselineOrder, isDroppingLate: boolean): WorkQueue {
    const items: WorkItem[] = [];
    let running = 0;
    return new (class BaselineQueue extends WorkQueue {
        override offerWork(item: WorkItem): OfferResult {
            if (items.length >= MAX_WAITING) {
                return { rejected: [reject(item)] };
            }
            insert(item);
            return { rejected: [] };
        }

        override takeWork(now: number): TakeResult {
            const rejected: RejectedWork[] = [];
            let item = items.shift();
            while (isDroppingLate && item !== undefined && item.deadline < now) {
                rejected.push(reject(item));
                item = items.shift();
            }
            running += item === undefined ? 0 : 1;
            return { item, rejected };
        }

        override completeWork(): void {
            running--;
        }

        override removeWork(id: string): boolean {
            const place = items.findIndex(item => item.id === id);
            return place !== -1 && items.splice(place, 1).length === 1;
        }

        override rejectLateWork(): RejectedWork[] {
            return [];
        }

        override countWaiting(rank?: WorkRank): number {
            return rank === undefined ? items.length : items.filter(item => item.rank === rank).length;
        }

        override countRunning(): number {
            return running;
        }

        override countAhead(): number {
            return running + items.length;
        }

        override predictWait(): number {
            return 0;
        }
    })();

    function insert(item: WorkItem): void {
        let low = 0;
        let high = items.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (order(items[middle] as WorkItem, item) <= 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        items.splice(low, 0, item);
    }
}

function reject(item: WorkItem): RejectedWork {
    return { item, cause: "overload" as RejectedWork["cause"], retryAfterMs: 1_000 };
}

/** Creates the choice that goes round all endpoints. */
export function createRoundRobinChoice(): EndpointSelector {
    let next = 0;
    return new (class RoundRobinChoice extends EndpointSelector {
        override chooseEndpoint<T extends Candidate>(candidates: readonly T[]): T | undefined {
            next++;
            return candidates[next % candidates.length];
        }
    })();
}

/** Creates the choice of the endpoint with the least known load. */
export function createLeastLoadedChoice(): EndpointSelector {
    return new (class LeastLoadedChoice extends EndpointSelector {
        override chooseEndpoint<T extends Candidate>(
            candidates: readonly T[],
            structure: SelectionRequest,
        ): T | undefined {
            const untried = candidates.filter(candidate => !structure.triedHosts.has(candidate.host));
            return untried.reduce<T | undefined>(
                (least, candidate) => (least === undefined || candidate.load < least.load ? candidate : least),
                undefined,
            );
        }
    })();
}
