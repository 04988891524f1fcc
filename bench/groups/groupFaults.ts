import {
    type GroupCoordinator,
    GroupRanks,
    type PermitGrant,
    type Placement,
    type RankAnswer,
    type RankGuard,
    createGroupCoordinator,
    createGroupStore,
    createRankGuard,
    createRebalancer,
} from "../../src/groups/index.js";
import { ErrorCode, createError } from "../../src/errors/index.js";
import type { Logger } from "../../src/telemetry/index.js";
import { buildList } from "../../src/utils/list.js";
import { createGroupEngine } from "../../standins/group/GroupEngine.js";
import { type KeyValueStore, createKeyValueStore } from "../../standins/platform/KeyValueStore.js";
import { type Random, createRandom } from "../scheduling/Random.js";

/** Options of a run under faults. */
export interface GroupFaultsOptions {
    seed: number;
    steps: number;
    ranks: number;
    hasFaults: boolean;
}

/** Result of a run. */
export interface GroupFaultsReport {
    steps: number;
    mixedSteps: number;
    changes: number;
    coordinators: number;
    replacedRanks: number;
    lostCalls: number;
    /** Rounds in which the group had to wait for a permit. */
    waitingRounds: number;
    rounds: number;
}

const EXPERTS = 16;
const SLOTS = 6;
const LEAD = 20;
const STEPS_PER_ROUND = 8;
const LOST_SHARE = 0.05;
const PAUSE_SHARE = 0.02;
const REPLACE_SHARE = 0.01;
const OUTAGE_SHARE = 0.02;
const MAX_ROUNDS_PER_STEP = 4;

const SILENT: Logger = { logEvent: () => undefined, logFailure: () => undefined, flush: () => Promise.resolve() };

/**
 * Runs a group with three candidates for its coordinator, while messages are lost, coordinators pause unaware,
 * leases lapse, the platform fails, and ranks are replaced. The engine ignores fencing numbers.
 * @param options - Seed and length.
 */
export async function runGroupFaults(options: GroupFaultsOptions): Promise<GroupFaultsReport> {
    const random = createRandom(options.seed);
    const store = createKeyValueStore();
    const engine = createGroupEngine(options.ranks, EXPERTS);
    const guards: RankGuard[] = engine.ranks.map(rank => createRankGuard(rank, 0));
    const paused = new Map<GroupCoordinator, number>();
    const report = {
        steps: 0,
        mixedSteps: 0,
        changes: 0,
        coordinators: 0,
        replacedRanks: 0,
        lostCalls: 0,
        waitingRounds: 0,
        rounds: 0,
    };
    let isPlatformDown = false;
    const coordinators = buildList(3, createCandidate);
    while (engine.getStep() < options.steps && report.rounds < options.steps * MAX_ROUNDS_PER_STEP) {
        report.rounds++;
        if (options.hasFaults) {
            await injectFaults();
        }
        await Promise.all(coordinators.map(runCandidate));
        runSteps();
    }
    report.steps = engine.getStep();
    report.mixedSteps = engine.countMixedSteps();
    report.changes = (await createGroupStore(store, "group").readSchedule()).schedule.at(-1)?.version ?? 0;
    return report;

    function createCandidate(place: number): GroupCoordinator {
        return createGroupCoordinator({
            host: `agent-${place}`,
            ranks: options.ranks,
            store: createGroupStore(createFailingStore(), "group"),
            calls: createCalls(),
            rebalancer: createRebalancer({
                size: { ranks: options.ranks, slotsPerRank: SLOTS },
                experts: EXPERTS,
                smoothing: 1,
                tolerance: 1.05,
                pricePerFetch: 0,
                maxMoves: 4,
            }),
            lead: LEAD,
            isUrgentFlood: () => false,
            logger: {
                ...SILENT,
                logEvent(event) {
                    report.coordinators += event === 6001 ? 1 : 0;
                },
            },
        });
    }

    function createFailingStore(): KeyValueStore {
        return new Proxy(store, {
            get(target, name) {
                const member = target[name as keyof KeyValueStore] as unknown;
                if (typeof member !== "function") {
                    return member;
                }
                return async (...args: unknown[]) => {
                    if (isPlatformDown) {
                        throw createError({
                            code: ErrorCode.PlatformUnavailable,
                            expected: "the platform",
                            got: "nothing",
                        });
                    }
                    return (member as (...given: unknown[]) => unknown).apply(target, args);
                };
            },
        });
    }

    function createCalls(): GroupRanks {
        return new (class FaultyRanks extends GroupRanks {
            override fence(rank: number, epoch: number): Promise<RankAnswer | undefined> {
                return callRank(rank, guard => guard.fence(epoch));
            }

            override grant(rank: number, grant: PermitGrant): Promise<RankAnswer | undefined> {
                return callRank(rank, guard => guard.grant(grant));
            }

            override stage(
                rank: number,
                epoch: number,
                version: number,
                placement: Placement,
            ): Promise<RankAnswer | undefined> {
                return callRank(rank, guard => guard.stage(epoch, version, placement));
            }
        })();
    }

    /** A call may be lost on its way, or its answer may. */
    async function callRank(
        rank: number,
        call: (guard: RankGuard) => Promise<RankAnswer>,
    ): Promise<RankAnswer | undefined> {
        if (isLost()) {
            return undefined;
        }
        const answer = await call(guards[rank] as RankGuard);
        return isLost() ? undefined : answer;
    }

    function isLost(): boolean {
        const lost = options.hasFaults && random.draw() < LOST_SHARE;
        report.lostCalls += lost ? 1 : 0;
        return lost;
    }

    async function runCandidate(coordinator: GroupCoordinator): Promise<void> {
        if ((paused.get(coordinator) ?? 0) <= report.rounds) {
            await coordinator.runOnce().catch(() => undefined);
        }
    }

    async function injectFaults(): Promise<void> {
        if (!coordinators.some(coordinator => coordinator.isCoordinating())) {
            store.endLeases();
        }
        isPlatformDown = random.draw() < OUTAGE_SHARE || (isPlatformDown && random.draw() < 0.8);
        if (random.draw() < PAUSE_SHARE) {
            suspendCoordinator();
        }
        if (random.draw() < REPLACE_SHARE) {
            await replaceRank(random);
        }
        engine.setLoads(buildList(EXPERTS, () => random.draw()));
    }

    /** The lease lapses while its holder is paused and unaware. */
    function suspendCoordinator(): void {
        const active = coordinators.find(coordinator => coordinator.isCoordinating());
        if (active !== undefined) {
            paused.set(active, report.rounds + 5 + Math.floor(random.draw() * 10));
            store.endLeases();
        }
    }

    async function replaceRank(draw: Random): Promise<void> {
        const rank = Math.floor(draw.draw() * options.ranks);
        const kept = await createGroupStore(store, "group").readSchedule();
        engine.replaceRank(rank);
        guards[rank] = createRankGuard(engine.ranks[rank] as (typeof engine.ranks)[number], kept.epoch);
        report.replacedRanks++;
    }

    function runSteps(): void {
        engine.startStep(Math.floor(random.draw() * options.ranks));
        for (let count = 0; count < STEPS_PER_ROUND; count++) {
            if (!engine.runStep()) {
                report.waitingRounds++;
                return;
            }
        }
    }
}
