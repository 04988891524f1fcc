import type { WorkItem } from "./WorkQueue.js";

/** Items of one rank of work, shared between teams by weighted virtual time. */
export interface TeamShares {
    addItem(item: WorkItem): void;
    /** Takes the next item of the team with the least virtual time. */
    takeItem(): WorkItem | undefined;
    removeItem(id: string): WorkItem | undefined;
    /** Takes the items whose deadline is before a time. */
    takeLateItems(before: number): WorkItem[];
    /** Takes the last item of the team that waits for most in relation to its weight. */
    takeLongestTeamTail(): WorkItem | undefined;
    /** Corrects the virtual time of a team once the real cost is known. */
    correctCost(item: WorkItem, realCost: number): void;
    /** Cost that is served before a new item of a team, itself included. */
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
    let virtualNow = 0;
    let count = 0;
    let cost = 0;

    return {
        addItem,
        takeItem,
        removeItem,
        takeLateItems,
        takeLongestTeamTail,
        correctCost,
        predictCostAhead,
        countItems: () => count,
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
        addCost(lane, item.cost, 1);
    }

    function takeItem(): WorkItem | undefined {
        const lane = findNextLane();
        const item = lane?.items.shift();
        if (lane === undefined || item === undefined) {
            return undefined;
        }
        virtualNow = lane.virtualTime;
        lane.virtualTime += item.cost / lane.weight;
        addCost(lane, -item.cost, -1);
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
        for (const lane of active) {
            const place = lane.items.findIndex(item => item.id === id);
            if (place !== -1) {
                const [item] = lane.items.splice(place, 1);
                addCost(lane, -(item?.cost ?? 0), -1);
                return item;
            }
        }
        return undefined;
    }

    function takeLateItems(before: number): WorkItem[] {
        const late: WorkItem[] = [];
        for (const lane of [...active]) {
            const kept = lane.items.filter(item => item.deadline >= before);
            if (kept.length < lane.items.length) {
                const gone = lane.items.filter(item => item.deadline < before);
                lane.items = kept;
                gone.forEach(item => addCost(lane, -item.cost, -1));
                late.push(...gone);
            }
        }
        return late;
    }

    function takeLongestTeamTail(): WorkItem | undefined {
        let longest: TeamLane | undefined;
        for (const lane of active) {
            if (longest === undefined || lane.cost / lane.weight > longest.cost / longest.weight) {
                longest = lane;
            }
        }
        const item = longest?.items.pop();
        if (longest !== undefined && item !== undefined) {
            addCost(longest, -item.cost, -1);
        }
        return item;
    }

    function correctCost(item: WorkItem, realCost: number): void {
        const lane = lanes.get(item.team);
        if (lane !== undefined) {
            lane.virtualTime += (realCost - item.cost) / lane.weight;
        }
    }

    function predictCostAhead(item: Pick<WorkItem, "team" | "weight" | "cost">): number {
        const own = (lanes.get(item.team)?.cost ?? 0) + item.cost;
        const turn = own / item.weight;
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

    function addCost(lane: TeamLane, itemCost: number, items: number): void {
        lane.cost += itemCost;
        cost += itemCost;
        count += items;
        if (lane.items.length === 0) {
            lane.cost = 0;
            active.delete(lane);
        }
    }
}
