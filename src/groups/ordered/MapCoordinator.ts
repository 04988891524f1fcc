import { EventId } from "../../telemetry/EventId.js";
import type { Logger } from "../../telemetry/logger.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { AgentRankLink } from "./AgentRankLink.js";
import { type ExpertLoads, createExpertLoads } from "./ExpertLoads.js";
import { ChangeEnd, computeQuietPasses, createMapChanger } from "./MapChange.js";
import type { RankMetrics } from "./RankMetrics.js";
import type { ExpertMap, RankCounts, RankReport } from "./RankReport.js";
import { type PlanLimits, computeSetRatio } from "./planMap.js";
import { planSets } from "./planSets.js";

/** Layout of the experts in a group. */
export interface GroupLayout {
    /** Requests in one batch of a rank. */
    slots: number;
    layerSets: number;
    experts: number;
    placements: number;
    reserve: number;
}

/** Options of a coordinator. */
export interface MapCoordinatorOptions {
    group: string;
    layout: GroupLayout;
    /** Links by rank. */
    links: readonly AgentRankLink[];
    isLeader: () => boolean;
    metrics: Pick<RankMetrics, "recordChange">;
    logger: Logger;
}

/** Follows the load of the experts of one group and changes its map when that pays. */
export interface MapCoordinator {
    /**
     * Looks at all ranks, learns, and makes at most one change.
     * @returns False if the ranks don't all answer, each in its place, in one open group.
     */
    runRound(): Promise<boolean>;
}

/** Time constant of the loads: about the length of a usual answer, since a change of demand shows in new requests. */
const LOAD_TIME_MS = 600;
/** Choices of experts, by set, below which the loads are too noisy for a change. */
const LEAST_WEIGHT = 20_000;
/** Fall of the most loaded rank's load, in means of all ranks, from which a change pays: while work waits, and else. */
const LEAST_GAIN_BUSY = 0.12;
const LEAST_GAIN_IDLE = 0.3;
/** Requests at a rank, as a part of its slots, from which its group counts as busy. */
const BUSY_PART = 0.7;
/** Part of the objective that a copied expert must bring; keeps copies of cold experts out. */
const GAIN_PER_COPY_BUSY = 0.015;
const GAIN_PER_COPY_IDLE = 0.04;
const PREPARE_MS = 3_000;
const SWITCH_MS = 1_500;
const POLL_MS = 25;
/** Passes between the newest one known and the switch: orders take a few milliseconds, a pass takes tens. */
const LEAD_PASSES = 2;
/** Versions grow with time, so that a coordinator that knows no earlier one still chooses a higher one. */
const VERSION_PERIOD_MS = 100;
const VERSION_START = 17_000_000_000;

/** Counts that are read in one round, some 44 KB: of groups with many experts the ranks take turns. */
const COUNTS_PER_ROUND = 32_768;

/** Look at all ranks of a group in the same epoch, with the counts of some. */
interface GroupLook {
    reports: RankReport[];
    counts: { rank: number; counts: RankCounts }[];
}

/**
 * Creates the coordinator of a group.
 * @param options - Ranks and layout.
 */
export function createMapCoordinator(options: MapCoordinatorOptions): MapCoordinator {
    const { links, layout, logger } = options;
    const loads: ExpertLoads = createExpertLoads({ ...layout, timeConstantMs: LOAD_TIME_MS });
    const changer = createMapChanger({
        links,
        prepareMs: PREPARE_MS,
        switchMs: SWITCH_MS,
        pollMs: POLL_MS,
        leadPasses: LEAD_PASSES,
        isLeader: options.isLeader,
    });
    let epoch: number | undefined;
    let map: ExpertMap | undefined;
    let mapVersion = 0;
    let lastVersion = 0;
    let rounds = 0;
    /** A new coordinator fences its predecessors before it changes anything. */
    let isSettled = false;
    /** End of the last try to change the map. */
    let changedAt = readMonotonicMs();
    /** First pass after which a change may be made. */
    let quietUntil = 0;
    return { runRound };

    async function runRound(): Promise<boolean> {
        const look = await lookAtAll();
        if (look === undefined) {
            return false;
        }
        const version = Math.max(...look.reports.map(report => report.mapVersion));
        if (look.reports[0]?.epoch !== epoch || version !== mapVersion || map === undefined) {
            await readMap(look, version);
        }
        if (map !== undefined) {
            await settleOrChange(look, map);
        }
        return true;
    }

    async function settleOrChange(look: GroupLook, current: ExpertMap): Promise<void> {
        const hasRemains = look.reports.some(report => report.armed !== undefined || report.heldStep !== undefined);
        if (!isSettled || hasRemains) {
            const settled = await changer.settleGroup(current, getNextVersion(look.reports));
            isSettled = settled.isSettled;
            quietUntil = Math.max(...look.reports.map(report => report.step)) + computeQuietPasses(LEAD_PASSES);
            logger.logEvent(EventId.GroupFenced, { group: options.group, epoch, hasRemains, ...settled });
            return;
        }
        learn(look);
        if (look.reports.every(report => report.step >= quietUntil)) {
            await changeIfBetter(look.reports, current);
        }
    }

    async function lookAtAll(): Promise<GroupLook | undefined> {
        const sampled = chooseSampled();
        const looks = await Promise.all(links.map((link, rank) => lookAt(link, sampled.has(rank))));
        const reports = looks.flatMap(look => (look === undefined ? [] : [look.report]));
        const first = reports[0]?.epoch;
        const isWhole =
            reports.length === links.length &&
            reports.every((report, rank) => report.isOpen && report.epoch === first && report.rank === rank);
        const counts = looks.flatMap((look, rank) =>
            look?.counts === undefined ? [] : [{ rank, counts: look.counts }],
        );
        return isWhole ? { reports, counts } : undefined;
    }

    async function lookAt(
        link: AgentRankLink,
        hasCounts: boolean,
    ): Promise<{ report: RankReport; counts: RankCounts | undefined } | undefined> {
        try {
            return hasCounts ? await link.look() : { report: await link.readReport(), counts: undefined };
        } catch {
            // The group counts as incomplete in this round; a rank that stays silent shows in the group's state.
            return undefined;
        }
    }

    function chooseSampled(): Set<number> {
        const perRound = Math.max(1, Math.floor(COUNTS_PER_ROUND / (layout.layerSets * layout.experts)));
        const count = Math.min(links.length, perRound);
        const first = rounds++ * count;
        return new Set(Array.from({ length: count }, (unused, offset) => (first + offset) % links.length));
    }

    async function readMap(look: GroupLook, version: number): Promise<void> {
        if (look.reports.some(report => report.mapVersion !== version)) {
            // A switch is under way; the next look sees one version.
            return;
        }
        if (look.reports[0]?.epoch !== epoch) {
            loads.restartCounts();
        }
        const byRank = await Promise.all(links.map(link => link.readExperts().catch(() => undefined)));
        const known = byRank.filter(experts => experts !== undefined);
        if (known.length !== links.length) {
            return;
        }
        epoch = look.reports[0]?.epoch;
        mapVersion = version;
        map = Array.from({ length: layout.layerSets }, (unused, set) => known.map(experts => experts[set] ?? []));
    }

    function learn(look: GroupLook): void {
        const now = readMonotonicMs();
        look.counts.forEach(({ rank, counts }) => loads.recordCounts(rank, counts, now));
    }

    async function changeIfBetter(reports: readonly RankReport[], current: ExpertMap): Promise<void> {
        const now = readMonotonicMs();
        if (loads.getWeight(now) < LEAST_WEIGHT * layout.layerSets) {
            return;
        }
        const expertLoads = loads.getLoads(now);
        const paces = reports.map(report => report.pace);
        const ratio = computeMean(current.map((ofSet, set) => computeSetRatio(ofSet, expertLoads[set] ?? [], paces)));
        const isBusy = isGroupBusy(reports);
        const leastGain = isBusy ? LEAST_GAIN_BUSY : LEAST_GAIN_IDLE;
        if (ratio < 1 + leastGain) {
            return;
        }
        const limits: PlanLimits = {
            placements: layout.placements,
            reserve: layout.reserve,
            paces,
            leastGainPerCopy: isBusy ? GAIN_PER_COPY_BUSY : GAIN_PER_COPY_IDLE,
        };
        const plans = await planSets({ links, current, expertLoads, limits });
        const planned = computeMean(plans.map(plan => plan.after));
        if (ratio - planned < leastGain) {
            return;
        }
        const next = plans.map(plan => plan.experts);
        const version = getNextVersion(reports);
        const planMs = Math.round(readMonotonicMs() - now);
        const result = await changer.changeMap(next, version, reports);
        options.metrics.recordChange(result.end);
        logger.logEvent(result.end === ChangeEnd.Changed ? EventId.GroupMapChanged : EventId.GroupChangeAbandoned, {
            group: options.group,
            epoch,
            version,
            end: result.end,
            detail: result.detail,
            loadBefore: Number(ratio.toFixed(3)),
            loadAfter: Number(planned.toFixed(3)),
            copies: plans.reduce((sum, plan) => sum + plan.copies, 0),
            planMs,
            prepareMs: result.prepareMs,
            switchMs: result.switchMs,
            sinceLastMs: Math.round(now - changedAt),
            isBusy,
            slowestPace: Math.max(...paces),
            tookMs: Math.round(readMonotonicMs() - now),
        });
        changedAt = readMonotonicMs();
        isSettled = result.end !== ChangeEnd.Unsettled;
    }

    function isGroupBusy(reports: readonly RankReport[]): boolean {
        const requests = reports.reduce((sum, report) => sum + report.running + report.queued, 0);
        return requests > BUSY_PART * layout.slots * reports.length;
    }

    function getNextVersion(reports: readonly RankReport[]): number {
        const seen = reports.flatMap(report => [
            report.mapVersion,
            report.preparedVersion ?? 0,
            report.armed?.version ?? 0,
        ]);
        const byTime = Math.floor(Date.now() / VERSION_PERIOD_MS) - VERSION_START;
        lastVersion = Math.max(lastVersion, byTime, ...seen) + 1;
        return lastVersion;
    }
}

function computeMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
