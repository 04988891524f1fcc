import type { WorkItem } from "./WorkQueue.js";

/** Items of one rank of work, shared between teams by weighted virtual time. */
export interface TeamShares {
    addItem(item: WorkItem): void;
    /** Takes the next item of the team with the least virtual time. */
    takeItem(): WorkItem | undefined;
    removeItem(id: string): WorkItem | undefined;
    /** Gives the item that waits for longest. */
    getOldest(): WorkItem | undefined;
    /** Takes the items whose deadline is before a time. */
    takeLateItems(before: number): WorkItem[];
    /** Takes the last item of the team that waits for most in relation to its weight. */
    takeLongestTeamTail(): WorkItem | undefined;
    /** Corrects the virtual time of a team once the real cost is known. */
    correctCost(item: WorkItem, realCost: number): void;
    /** Cost that is served before a new item of a team. */
    predictCostAhead(item: Pick<WorkItem, "team" | "weight" | "cost">): number;
    countItems(): number;
    getCost(): number;
    getTeamCost(team: string): number;
}

interface TeamLane {
    team: string;
    weight: number;
    virtualTime: number;
    items: WorkItem[];
    cost: number;
}

const MAX_IDLE_LANES = 10_000;

/** Creates the lanes of one rank of work, as start-time fair queueing does. */
export function createTeamShares(): TeamShares {
    const lanes = new Map<string, TeamLane>();
    const active = new Set<TeamLane>();
    const byId = new Map<string, WorkItem>();
    let virtualNow = 0;
    let cost = 0;

    return {
        addItem,
        takeItem,
        removeItem,
        getOldest: () => byId.values().next().value,
        takeLateItems,
        takeLongestTeamTail,
        correctCost,
        predictCostAhead,
        countItems: () => byId.size,
        getCost: () => cost,
        getTeamCost: team => lanes.get(team)?.cost ?? 0,
    };

    function addItem(item: WorkItem): void {
        const lane = getLane(item);
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
        const lane = findNextLane();
        const item = lane?.items[0];
        if (lane === undefined || item === undefined) {
            return undefined;
        }
        virtualNow = lane.virtualTime;
        lane.virtualTime += item.cost / lane.weight;
        removeFromLane(lane, item);
        return item;
    }

    function findNextLane(): TeamLane | undefined {
        let next: TeamLane | undefined;
        for (const lane of active) {
            if (next === undefined || lane.virtualTime < next.virtualTime) {
                next = lane;
            }
        }
        return next;
    }

    function removeItem(id: string): WorkItem | undefined {
        const item = byId.get(id);
        const lane = item && lanes.get(item.team);
        if (item !== undefined && lane !== undefined) {
            removeFromLane(lane, item);
        }
        return item;
    }

    /** Items of one rank have the same target, so the oldest are late first. */
    function takeLateItems(before: number): WorkItem[] {
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

    function takeLongestTeamTail(): WorkItem | undefined {
        let longest: TeamLane | undefined;
        for (const lane of active) {
            if (longest === undefined || lane.cost / lane.weight > longest.cost / longest.weight) {
                longest = lane;
            }
        }
        const item = longest?.items.at(-1);
        return item && removeItem(item.id);
    }

    function correctCost(item: WorkItem, realCost: number): void {
        const lane = lanes.get(item.team);
        if (lane !== undefined) {
            lane.virtualTime += (realCost - item.cost) / lane.weight;
        }
    }

    function predictCostAhead(item: Pick<WorkItem, "team" | "weight" | "cost">): number {
        const own = lanes.get(item.team)?.cost ?? 0;
        const turn = (own + item.cost) / item.weight;
        let ahead = own;
        for (const lane of active) {
            if (lane.team !== item.team) {
                ahead += Math.min(lane.cost, turn * lane.weight);
            }
        }
        return ahead;
    }

    function getLane(item: WorkItem): TeamLane {
        const known = lanes.get(item.team);
        if (known !== undefined) {
            known.weight = item.weight;
            return known;
        }
        const lane = { team: item.team, weight: item.weight, virtualTime: virtualNow, items: [], cost: 0 };
        lanes.set(item.team, lane);
        forgetIdleLanes();
        return lane;
    }

    function forgetIdleLanes(): void {
        if (lanes.size <= MAX_IDLE_LANES) {
            return;
        }
        for (const [team, lane] of lanes) {
            if (lane.items.length === 0 && lane.virtualTime <= virtualNow) {
                lanes.delete(team);
            }
        }
    }

    function removeFromLane(lane: TeamLane, item: WorkItem): void {
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
