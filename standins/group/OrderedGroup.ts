import { match } from "ts-pattern";
import { OrderAnswer, type RankOrder, RankOrderKind, type RankReport } from "../../src/groups/ordered/index.js";
import { buildList } from "../../src/utils/list.js";

/** State of one rank in the stand-in. */
interface RankState {
    mapVersion: number;
    highestVersion: number;
    copying: { version: number; ticks: number } | undefined;
    preparedVersion: number | undefined;
    armed: { version: number; step: number } | undefined;
    heldStep: number | undefined;
    experts: number[][];
    copiedExperts: number[][];
}

/** Group of lock-step engines that accept map orders and check no fencing tokens. */
export interface OrderedGroup {
    /** Advances time by one tick: copies progress, and the next pass begins unless it is held. */
    tick(): void;
    /** Executes an order if it is valid in the current state. */
    applyOrder(rank: number, order: RankOrder, epoch: number): OrderAnswer;
    getReport(rank: number): RankReport;
    getExperts(rank: number): number[][];
    /** Forms the group again after a crash, which discards maps and orders. */
    restartGroup(): void;
    getStep(): number;
    /** Gets the number of passes that began with different maps at different ranks. */
    getMixedPasses(): number;
    countChanges(): number;
    /** Ticks since the last pass. */
    getWaitedTicks(): number;
}

/** Options of the group. */
export interface OrderedGroupOptions {
    ranks: number;
    layerSets: number;
    experts: number;
    /** Ticks that the copies of a change take. */
    copyTicks: number;
}

/** Creates a group that uses map 0. */
export function createOrderedGroup(options: OrderedGroupOptions): OrderedGroup {
    let epoch = 1;
    let step = 0;
    let mixed = 0;
    let changes = 0;
    let waited = 0;
    let ranks = buildList(options.ranks, createRank);
    return {
        tick,
        applyOrder,
        getReport,
        getExperts: rank => getRank(rank).experts,
        restartGroup() {
            epoch++;
            ranks = ranks.map((state, rank) => ({ ...createRank(rank), highestVersion: state.highestVersion }));
        },
        getStep: () => step,
        getMixedPasses: () => mixed,
        countChanges: () => changes,
        getWaitedTicks: () => waited,
    };

    function createRank(rank: number): RankState {
        const ofRank = buildList(options.experts, expert => expert).filter(expert => expert % options.ranks === rank);
        return {
            mapVersion: 0,
            highestVersion: 0,
            copying: undefined,
            preparedVersion: undefined,
            armed: undefined,
            heldStep: undefined,
            experts: buildList(options.layerSets, () => ofRank),
            copiedExperts: [],
        };
    }

    function getRank(rank: number): RankState {
        const state = ranks[rank];
        if (state === undefined) {
            throw new Error(`expected a rank below ${options.ranks}, but got ${rank}`);
        }
        return state;
    }

    function tick(): void {
        for (const state of ranks) {
            if (state.copying !== undefined && --state.copying.ticks <= 0) {
                state.preparedVersion = state.copying.version;
                state.copying = undefined;
            }
        }
        if (ranks.some(state => state.heldStep === step + 1)) {
            waited++;
            return;
        }
        beginPass();
    }

    function beginPass(): void {
        step++;
        waited = 0;
        let hasSwitched = false;
        for (const state of ranks) {
            if (state.armed?.step === step) {
                hasSwitched = true;
                state.mapVersion = state.armed.version;
                state.experts = state.copiedExperts;
                state.armed = undefined;
                state.preparedVersion = undefined;
            }
        }
        changes += hasSwitched ? 1 : 0;
        mixed += ranks.some(state => state.mapVersion !== ranks[0]?.mapVersion) ? 1 : 0;
    }

    function applyOrder(rank: number, order: RankOrder, orderEpoch: number): OrderAnswer {
        const state = getRank(rank);
        if (orderEpoch !== epoch) {
            return OrderAnswer.Refused;
        }
        const isDone = match(order)
            .with({ kind: RankOrderKind.Prepare }, ({ version, map }) => prepare(state, rank, version, map))
            .with({ kind: RankOrderKind.Arm }, ({ version, step: at }) => arm(state, version, at))
            .with({ kind: RankOrderKind.Disarm }, ({ version }) => disarm(state, version))
            .with({ kind: RankOrderKind.Hold }, ({ step: at }) => hold(state, at))
            .with({ kind: RankOrderKind.Release }, ({ step: at }) => release(state, at))
            .exhaustive();
        return isDone ? OrderAnswer.Accepted : OrderAnswer.Refused;
    }

    function prepare(
        state: RankState,
        rank: number,
        version: number,
        map: readonly (readonly (readonly number[])[])[],
    ) {
        if (state.preparedVersion === version || state.copying?.version === version) {
            return true;
        }
        if (version <= state.highestVersion || state.armed !== undefined) {
            return false;
        }
        state.highestVersion = version;
        state.preparedVersion = undefined;
        state.copying = { version, ticks: options.copyTicks };
        state.copiedExperts = map.map(ofSet => [...(ofSet[rank] ?? [])]);
        return true;
    }

    function arm(state: RankState, version: number, at: number): boolean {
        if (state.armed?.version === version && state.armed.step === at) {
            return true;
        }
        if (state.preparedVersion !== version || at <= step) {
            return false;
        }
        state.armed = { version, step: at };
        return true;
    }

    function disarm(state: RankState, version: number): boolean {
        if (state.mapVersion === version) {
            return false;
        }
        if (state.armed?.version === version) {
            state.armed = undefined;
        }
        return true;
    }

    function hold(state: RankState, at: number): boolean {
        if (state.heldStep === at) {
            return true;
        }
        if (state.heldStep !== undefined || at <= step) {
            return false;
        }
        state.heldStep = at;
        return true;
    }

    function release(state: RankState, at: number): boolean {
        if (state.heldStep === at) {
            state.heldStep = undefined;
        }
        return true;
    }

    function getReport(rank: number): RankReport {
        const state = getRank(rank);
        return {
            group: "g0",
            epoch,
            rank,
            size: options.ranks,
            isOpen: true,
            bornAt: 1,
            step,
            mapVersion: state.mapVersion,
            preparedVersion: state.preparedVersion,
            armed: state.armed,
            heldStep: state.heldStep,
            queued: 0,
            running: 1,
            pace: 1,
        };
    }
}
