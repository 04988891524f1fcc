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
import { planSet } from "../../../src/groups/ordered/planMap.js";
import { createMapCoordinator } from "../../../src/groups/ordered/MapCoordinator.js";
import { createLogger } from "../../../src/telemetry/logger.js";
import { buildList } from "../../../src/utils/list.js";
import { type OrderedGroup, createOrderedGroup } from "../../../standins/group/OrderedGroup.js";

/** Errors that are planted to show that the check finds them. */
export enum Planted {
    None = "none",
    /** The link says that an order was accepted though no answer came, so a change arms without confirmation. */
    BlindArming = "blind-arming",
    /** Agents take orders from coordinators that were superseded. */
    NoTerms = "no-terms",
}

export interface World {
    group: OrderedGroup;
    random: ReturnType<typeof createRandom>;
    tick: number;
    /** Orders that are carried out at a later tick. */
    late: { at: number; run: () => void }[];
    /** Highest term that the agent of each rank has heard. */
    terms: number[];
    lossShare: number;
    planted: Planted;
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

/** Gives the tasks that wait for promises a chance to run. */
async function flushTasks(): Promise<void> {
    for (let turn = 0; turn < 12; turn++) {
        await Promise.resolve();
    }
}

function createLink(world: World, coordinator: Coordinator, rank: number): AgentRankLink {
    const { group, random } = world;

    return new (class ModelLink extends AgentRankLink {
        override async look(): Promise<{ report: RankReport; counts: RankCounts }> {
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

    /** A dead coordinator waits for ever, and a frozen one until it wakes. */
    async function reachAgent(): Promise<void> {
        if (coordinator.isDead) {
            await new Promise(() => undefined);
        }
        if (random.draw() < world.lossShare * 0.3) {
            throw new Error("no answer of the agent");
        }
    }

    function acceptTerm(): void {
        if (world.planted !== Planted.NoTerms && coordinator.term < (world.terms[rank] ?? 0)) {
            throw new Error("a later coordinator is in office");
        }
        world.terms[rank] = Math.max(world.terms[rank] ?? 0, coordinator.term);
    }

    function passOrder(order: RankOrder, epoch: number): OrderAnswer {
        if (random.draw() >= world.lossShare) {
            return group.applyOrder(rank, order, epoch);
        }
        const kind = Math.floor(random.draw() * 3);
        if (kind === 0) {
            group.applyOrder(rank, order, epoch);
        } else if (kind === 1) {
            const at = world.tick + 1 + Math.floor(random.draw() * MAX_LATE_TICKS);
            world.late.push({ at, run: () => void group.applyOrder(rank, order, epoch) });
        }
        return OrderAnswer.Unknown;
    }

    function describeAfter(order: RankOrder, answer: OrderAnswer): RankReport | undefined {
        const report = group.getReport(rank);
        const isBlind = world.planted === Planted.BlindArming && answer === OrderAnswer.Unknown;
        if (isBlind && order.kind === RankOrderKind.Arm) {
            return { ...report, armed: { version: order.version, step: order.step } };
        }
        return random.draw() < world.lossShare * 0.3 ? undefined : report;
    }

    /** Demand that moves on all the time, so that a change always pays. */
    function buildCounts(): RankCounts {
        const phase = Math.floor(world.tick / 40);
        const counts = buildList(EXPERTS, expert => world.tick * ((expert + phase) % 5 === 0 ? 90_000 : 1_000));
        return { epoch: group.getReport(rank).epoch, step: group.getStep(), counts };
    }
}

function createCoordinator(world: World, term: number): Coordinator {
    const coordinator: Coordinator = {
        term,
        isDead: false,
        frozenUntil: 0,
        isBusy: false,
        runRound: () => Promise.resolve(),
    };
    const core = createMapCoordinator({
        group: "g0",
        layout: LAYOUT,
        links: buildList(RANKS, rank => createLink(world, coordinator, rank)),
        isLeader: () => !coordinator.isDead,
        metrics: { recordChange: () => undefined },
        logger: SILENT_LOGGER,
    });
    coordinator.runRound = () => core.runRound();
    return coordinator;
}

/** Runs a group under faults: orders lost and late, coordinators killed or superseded unawares, groups formed anew. */
export async function runFaults(
    clock: { advance: (ms: number) => void },
    seed: number,
    ticks: number,
    lossShare: number,
    planted = Planted.None,
): Promise<World & { coordinators: number; longestWait: number }> {
    const random = createRandom(seed);
    const group = createOrderedGroup({ ranks: RANKS, layerSets: LAYER_SETS, experts: EXPERTS, copyTicks: 4 });
    const world: World = {
        group,
        random,
        tick: 0,
        late: [],
        terms: new Array<number>(RANKS).fill(0),
        lossShare,
        planted,
    };
    let active: Coordinator[] = [createCoordinator(world, 1)];
    let coordinators = 1;
    let longestWait = 0;
    for (; world.tick < ticks; world.tick++) {
        world.late.filter(order => order.at === world.tick).forEach(order => order.run());
        world.late = world.late.filter(order => order.at > world.tick);
        const isTakeover = random.draw() < 0.02;
        if (isTakeover) {
            const [previous] = active.slice(-1);
            if (previous !== undefined && random.draw() < 0.6) {
                previous.isDead = true;
            }
            active = active.filter(coordinator => !coordinator.isDead);
            active.push(createCoordinator(world, ++coordinators));
        }
        if (random.draw() < 0.003) {
            group.formAnew();
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
    return { ...world, coordinators, longestWait };
}

/** Ticks of one run. */
export const TICKS = 1_500;
/** Share of the orders that are lost or late, and three tenths of it of the looks. */
export const LOSS_SHARE = 0.2;

/** What a row of seeds came to. */
export interface SeedResults {
    /** Seeds in which a pass began with two maps. */
    mixedSeeds: number[];
    changes: number;
}

/** Runs the shipped coordinator under faults for a row of seeds. */
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
