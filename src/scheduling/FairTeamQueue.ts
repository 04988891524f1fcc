import type { WorkItem } from "./WorkQueue.js";

/** Queue of one rank of work with weighted fair queueing between teams. */
export interface FairTeamQueue {
    addItem(item: WorkItem): void;
    /** Removes the next item of the team with the lowest virtual time. */
    takeItem(): WorkItem | undefined;
    removeItem(id: string): WorkItem | undefined;
    /** Gets the item that was queued first. */
    getOldest(): WorkItem | undefined;
    /** Removes and returns the items whose deadline is before a time. */
    takeExpiredItems(before: number): WorkItem[];
    /** Removes the last item of the team with the highest queued cost relative to its weight. */
    takeFromLongestTeam(): WorkItem | undefined;
    /** Corrects the virtual time of a team once the actual cost is known. */
    correctCost(item: WorkItem, realCost: number): void;
    /** Predicts the cost that is served before a new item of a team. */
    predictCostAhead(item: Pick<WorkItem, "team" | "weight" | "cost">): number;
    countItems(): number;
    getCost(): number;
    getTeamCost(team: string): number;
}

interface TeamQueue {
    team: string;
    weight: number;
    virtualTime: number;
    items: WorkItem[];
    cost: number;
}

const MAX_IDLE_TEAMS = 10_000;

/** Creates an empty queue that applies start-time fair queueing. */
export function createFairTeamQueue(): FairTeamQueue {
    const teamQueues = new Map<string, TeamQueue>();
    const active = new Set<TeamQueue>();
    const byId = new Map<string, WorkItem>();
    let virtualNow = 0;
    let cost = 0;

    return {
        addItem,
        takeItem,
        removeItem,
        getOldest: () => byId.values().next().value,
        takeExpiredItems,
        takeFromLongestTeam,
        correctCost,
        predictCostAhead,
        countItems: () => byId.size,
        getCost: () => cost,
        getTeamCost: team => teamQueues.get(team)?.cost ?? 0,
    };

    function addItem(item: WorkItem): void {
        const lane = getTeamQueue(item);
        if (lane.items.length === 0) {
            lane.virtualTime = Math.max(lane.virtualTime, virtualNow);
            active.add(lane);
        }
        lane.items.push(item);
        lane.cost += item.cost;
        cost += item.cost;
        byId.set(item.id, item);
    }

    function takeItem(): WorkItem | undefined {
        const lane = findNextTeam();
        const item = lane?.items[0];
        if (lane === undefined || item === undefined) {
            return undefined;
        }
        virtualNow = lane.virtualTime;
        lane.virtualTime += item.cost / lane.weight;
        removeFromTeam(lane, item);
        return item;
    }

    function findNextTeam(): TeamQueue | undefined {
        let next: TeamQueue | undefined;
        for (const lane of active) {
            if (next === undefined || lane.virtualTime < next.virtualTime) {
                next = lane;
            }
        }
        return next;
    }

    function removeItem(id: string): WorkItem | undefined {
        const item = byId.get(id);
        const lane = item && teamQueues.get(item.team);
        if (item !== undefined && lane !== undefined) {
            removeFromTeam(lane, item);
        }
        return item;
    }

    /** Items of one rank have the same latency target, so they expire in the order in which they were queued. */
    function takeExpiredItems(before: number): WorkItem[] {
        const late: WorkItem[] = [];
        for (const item of byId.values()) {
            if (item.deadline >= before) {
                break;
            }
            late.push(item);
        }
        late.forEach(item => removeItem(item.id));
        return late;
    }

    function takeFromLongestTeam(): WorkItem | undefined {
        let longest: TeamQueue | undefined;
        for (const lane of active) {
            if (longest === undefined || lane.cost / lane.weight > longest.cost / longest.weight) {
                longest = lane;
            }
        }
        const item = longest?.items.at(-1);
        return item && removeItem(item.id);
    }

    function correctCost(item: WorkItem, realCost: number): void {
        const lane = teamQueues.get(item.team);
        if (lane !== undefined) {
            lane.virtualTime += (realCost - item.cost) / lane.weight;
        }
    }

    function predictCostAhead(item: Pick<WorkItem, "team" | "weight" | "cost">): number {
        const own = teamQueues.get(item.team)?.cost ?? 0;
        const turn = (own + item.cost) / item.weight;
        let ahead = own;
        for (const lane of active) {
            if (lane.team !== item.team) {
                ahead += Math.min(lane.cost, turn * lane.weight);
            }
        }
        return ahead;
    }

    function getTeamQueue(item: WorkItem): TeamQueue {
        const known = teamQueues.get(item.team);
        if (known !== undefined) {
            known.weight = item.weight;
            return known;
        }
        const lane = { team: item.team, weight: item.weight, virtualTime: virtualNow, items: [], cost: 0 };
        teamQueues.set(item.team, lane);
        evictIdleTeams();
        return lane;
    }

    function evictIdleTeams(): void {
        if (teamQueues.size <= MAX_IDLE_TEAMS) {
            return;
        }
        for (const [team, lane] of teamQueues) {
            if (lane.items.length === 0 && lane.virtualTime <= virtualNow) {
                teamQueues.delete(team);
            }
        }
    }

    function removeFromTeam(lane: TeamQueue, item: WorkItem): void {
        const place = lane.items.indexOf(item);
        lane.items.splice(place, 1);
        lane.cost -= item.cost;
        cost -= item.cost;
        byId.delete(item.id);
        if (lane.items.length === 0) {
            lane.cost = 0;
            active.delete(lane);
        }
    }
}
