import { createRandom } from "../../../bench/scheduling/Random.js";
import { AgentRankLink } from "../../../src/groups/ordered/AgentRankLink.js";
import {
    OrderAnswer,
    type OrderCondition,
    type OrderResult,
    type RankCounts,
    type RankExperts,
    type RankOrder,
    RankOrderKind,
    type RankReport,
} from "../../../src/groups/ordered/index.js";
import { createDirectReader } from "../../../src/groups/ordered/GroupReader.js";
import { planSet } from "../../../src/groups/ordered/planMap.js";
import { createMapCoordinator } from "../../../src/groups/ordered/MapCoordinator.js";
import { createLogger } from "../../../src/telemetry/logger.js";
import { buildList } from "../../../src/utils/list.js";
import { type OrderedGroup, createOrderedGroup } from "../../../standins/group/OrderedGroup.js";

/** Faults injected into the protocol to show that the check detects them. */
export enum InjectedFault {
    None = "none",
    /** The link says that an order was accepted though no answer came, so a change arms without confirmation. */
    UnconfirmedArming = "blind-arming",
    /** Agents accept orders from superseded coordinators. */
    IgnoredTerms = "no-terms",
}

export interface Simulation {
    group: OrderedGroup;
    random: ReturnType<typeof createRandom>;
    tick: number;
    /** Orders that are executed at a later tick. */
    delayedOrders: { at: number; run: () => void }[];
    /** Highest term that the agent of each rank has heard. */
    terms: number[];
    lossShare: number;
    injectedFault: InjectedFault;
}

interface Coordinator {
    term: number;
    isDead: boolean;
    frozenUntil: number;
    runRound(): Promise<unknown>;
    isBusy: boolean;
}

const RANKS = 3;
const LAYER_SETS = 1;
const EXPERTS = 6;
const TICK_MS = 10;
const MAX_LATE_TICKS = 120;
const LAYOUT = { slots: 1, layerSets: LAYER_SETS, experts: EXPERTS, placements: 3, reserve: 2 };
const SILENT_LOGGER = createLogger("test", { writeLine: () => undefined, flush: () => Promise.resolve() });

/** Runs pending microtasks. */
async function flushTasks(): Promise<void> {
    for (let turn = 0; turn < 12; turn++) {
        await Promise.resolve();
    }
}

function createLink(simulation: Simulation, coordinator: Coordinator, rank: number): AgentRankLink {
    const { group, random } = simulation;

    return new (class ModelLink extends AgentRankLink {
        override async readReportAndCounts(): Promise<{ report: RankReport; counts: RankCounts }> {
            return { report: await this.readReport(), counts: buildCounts() };
        }

        override planSet(...plan: Parameters<AgentRankLink["planSet"]>) {
            return Promise.resolve(planSet(...plan));
        }

        override async readReport(): Promise<RankReport> {
            await reachAgent();
            acceptTerm();
            return group.getReport(rank);
        }

        override async readCounts(): Promise<RankCounts> {
            await reachAgent();
            return buildCounts();
        }

        override async readExperts(): Promise<RankExperts> {
            await reachAgent();
            return group.getExperts(rank);
        }

        override async sendOrder(order: RankOrder, condition: OrderCondition): Promise<OrderResult> {
            try {
                await reachAgent();
                acceptTerm();
            } catch (error) {
                return { answer: OrderAnswer.Unknown, detail: String(error), report: undefined };
            }
            const answer = passOrder(order, condition.epoch);
            return { answer, detail: "", report: describeAfter(order, answer) };
        }

        override close(): void {
            coordinator.isDead = true;
        }
    })();

    /** Never resolves for a dead coordinator; fails at random for others. */
    async function reachAgent(): Promise<void> {
        if (coordinator.isDead) {
            await new Promise(() => undefined);
        }
        if (random.draw() < simulation.lossShare * 0.3) {
            throw new Error("no answer of the agent");
        }
    }

    function acceptTerm(): void {
        if (
            simulation.injectedFault !== InjectedFault.IgnoredTerms &&
            coordinator.term < (simulation.terms[rank] ?? 0)
        ) {
            throw new Error("a coordinator with a higher term was elected");
        }
        simulation.terms[rank] = Math.max(simulation.terms[rank] ?? 0, coordinator.term);
    }

    function passOrder(order: RankOrder, epoch: number): OrderAnswer {
        if (random.draw() >= simulation.lossShare) {
            return group.applyOrder(rank, order, epoch);
        }
        const kind = Math.floor(random.draw() * 3);
        if (kind === 0) {
            group.applyOrder(rank, order, epoch);
        } else if (kind === 1) {
            const at = simulation.tick + 1 + Math.floor(random.draw() * MAX_LATE_TICKS);
            simulation.delayedOrders.push({ at, run: () => void group.applyOrder(rank, order, epoch) });
        }
        return OrderAnswer.Unknown;
    }

    function describeAfter(order: RankOrder, answer: OrderAnswer): RankReport | undefined {
        const report = group.getReport(rank);
        const isBlind = simulation.injectedFault === InjectedFault.UnconfirmedArming && answer === OrderAnswer.Unknown;
        if (isBlind && order.kind === RankOrderKind.Arm) {
            return { ...report, armed: { version: order.version, step: order.step } };
        }
        return random.draw() < simulation.lossShare * 0.3 ? undefined : report;
    }

    /** Builds counts of continuously shifting demand, so that a change always has a gain. */
    function buildCounts(): RankCounts {
        const phase = Math.floor(simulation.tick / 40);
        const counts = buildList(EXPERTS, expert => simulation.tick * ((expert + phase) % 5 === 0 ? 90_000 : 1_000));
        return { epoch: group.getReport(rank).epoch, step: group.getStep(), counts };
    }
}

function createCoordinator(simulation: Simulation, term: number): Coordinator {
    const coordinator: Coordinator = {
        term,
        isDead: false,
        frozenUntil: 0,
        isBusy: false,
        runRound: () => Promise.resolve(),
    };
    const links = buildList(RANKS, rank => createLink(simulation, coordinator, rank));
    const core = createMapCoordinator({
        group: "g0",
        layout: LAYOUT,
        links,
        reader: createDirectReader(links),
        maxConcurrentMaps: RANKS,
        isLeader: () => !coordinator.isDead,
        metrics: { recordChange: () => undefined },
        logger: SILENT_LOGGER,
    });
    coordinator.runRound = () => core.runRound();
    return coordinator;
}

/** Runs a group under faults: orders lost and late, coordinators killed or superseded without notice, groups formed again. */
export async function runFaults(
    clock: { advance: (ms: number) => void },
    seed: number,
    ticks: number,
    lossShare: number,
    injectedFault = InjectedFault.None,
): Promise<Simulation & { coordinators: number; longestWait: number }> {
    const random = createRandom(seed);
    const group = createOrderedGroup({ ranks: RANKS, layerSets: LAYER_SETS, experts: EXPERTS, copyTicks: 4 });
    const simulation: Simulation = {
        group,
        random,
        tick: 0,
        delayedOrders: [],
        terms: new Array<number>(RANKS).fill(0),
        lossShare,
        injectedFault,
    };
    let active: Coordinator[] = [createCoordinator(simulation, 1)];
    let coordinators = 1;
    let longestWait = 0;
    for (; simulation.tick < ticks; simulation.tick++) {
        simulation.delayedOrders.filter(order => order.at === simulation.tick).forEach(order => order.run());
        simulation.delayedOrders = simulation.delayedOrders.filter(order => order.at > simulation.tick);
        const isTakeover = random.draw() < 0.02;
        if (isTakeover) {
            const [previous] = active.slice(-1);
            if (previous !== undefined && random.draw() < 0.6) {
                previous.isDead = true;
            }
            active = active.filter(coordinator => !coordinator.isDead);
            active.push(createCoordinator(simulation, ++coordinators));
        }
        if (random.draw() < 0.003) {
            group.restartGroup();
        }
        if (random.draw() < 0.1) {
            group.tick();
            group.tick();
        }
        group.tick();
        for (const coordinator of active.filter(candidate => !candidate.isBusy && !candidate.isDead)) {
            coordinator.isBusy = true;
            void coordinator
                .runRound()
                .catch(() => undefined)
                .finally(() => (coordinator.isBusy = false));
        }
        await flushTasks();
        clock.advance(TICK_MS);
        await flushTasks();
        longestWait = Math.max(longestWait, group.getWaitedTicks());
    }
    return { ...simulation, coordinators, longestWait };
}

/** Ticks of one run. */
export const TICKS = 1_500;
/** Fraction of orders that are lost or delayed; calls to agents fail at three tenths of this rate. */
export const LOSS_SHARE = 0.2;

/** Results of a range of seeds. */
export interface SeedResults {
    /** Seeds in which a pass began with two maps. */
    mixedSeeds: number[];
    changes: number;
}

/** Runs the production coordinator under faults for a range of seeds. */
export async function runSeeds(
    clock: { advance: (ms: number) => void },
    first: number,
    last: number,
): Promise<SeedResults> {
    const results: SeedResults = { mixedSeeds: [], changes: 0 };
    for (let seed = first; seed <= last; seed++) {
        const { group } = await runFaults(clock, seed, TICKS, LOSS_SHARE);
        results.changes += group.countChanges();
        if (group.getMixedPasses() > 0) {
            results.mixedSeeds.push(seed);
        }
    }
    return results;
}
