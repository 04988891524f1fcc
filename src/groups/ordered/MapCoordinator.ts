import { EventId } from "../../telemetry/EventId.js";
import type { Logger } from "../../telemetry/logger.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { AgentRankLink } from "./AgentRankLink.js";
import type { GroupReader } from "./GroupReader.js";
import { type ExpertLoads, createExpertLoads } from "./ExpertLoads.js";
import { ChangeEnd, computeCooldownPasses, createMapChanger, isAboutToSwitch } from "./MapChange.js";
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
    reader: GroupReader;
    /** Number of ranks that are sent a map at the same time. */
    maxConcurrentMaps: number;
    isLeader: () => boolean;
    metrics: Pick<RankMetrics, "recordChange">;
    logger: Logger;
}

/** Tracks the load of the experts of one group and changes its map when the gain is large enough. */
export interface MapCoordinator {
    /**
     * Reads all ranks, updates the load estimates, and makes at most one change.
     * @returns False unless all ranks answer, each at its expected position, with the same epoch of an open group.
     */
    runRound(): Promise<boolean>;
}

/** Time constant of the load estimates: about the duration of a typical response, since a change of demand shows in new requests. */
const LOAD_TIME_CONSTANT_MS = 600;
/** Expert choices per set of layers below which the load estimates are too noisy to act on. */
const MIN_CHOICES_PER_SET = 20_000;
/** Minimum reduction of the highest rank load, relative to the mean, for a change: in busy groups, and in others. */
const MIN_GAIN_BUSY = 0.12;
const MIN_GAIN_IDLE = 0.3;
/** Requests per slot above which a group counts as busy. */
const BUSY_FRACTION = 0.7;
/** Gain that each copied expert must bring, as a multiple of a rank's mean share of the objective; avoids copies of rarely chosen experts. */
const MIN_GAIN_PER_COPY_BUSY = 0.24;
const MIN_GAIN_PER_COPY_IDLE = 0.64;
const PREPARE_TIMEOUT_MS = 3_000;
const SWITCH_TIMEOUT_MS = 1_500;
const POLL_INTERVAL_MS = 25;
/** Passes between the newest known one and the switch: an order takes a few milliseconds, a pass tens of milliseconds. */
const LEAD_PASSES = 2;
/** Versions are derived from the clock, so that a coordinator that knows no earlier version still chooses a higher one. */
const VERSION_PERIOD_MS = 100;
const VERSION_START = 17_000_000_000;

/** Reports of all ranks of a group in the same epoch, with the counts that were read. */
interface GroupSnapshot {
    reports: RankReport[];
    counts: { source: number; counts: RankCounts }[];
}

/**
 * Creates the coordinator of a group.
 * @param options - Ranks and layout.
 */
export function createMapCoordinator(options: MapCoordinatorOptions): MapCoordinator {
    const { links, layout, logger } = options;
    const loads: ExpertLoads = createExpertLoads({ ...layout, timeConstantMs: LOAD_TIME_CONSTANT_MS });
    const changer = createMapChanger({
        links,
        prepareMs: PREPARE_TIMEOUT_MS,
        switchMs: SWITCH_TIMEOUT_MS,
        pollMs: POLL_INTERVAL_MS,
        leadPasses: LEAD_PASSES,
        maxConcurrentMaps: options.maxConcurrentMaps,
        isLeader: options.isLeader,
    });
    let epoch: number | undefined;
    let map: ExpertMap | undefined;
    let mapVersion = 0;
    let lastVersion = 0;
    /** A new coordinator fences earlier coordinators before it changes the map. */
    let isSettled = false;
    /** When the last attempt to change the map ended. */
    let lastAttemptAt = readMonotonicMs();
    /** Pass that all ranks must have reached before the next change. */
    let cooldownEndStep = 0;
    return { runRound };

    async function runRound(): Promise<boolean> {
        const look = await readGroup();
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

    async function settleOrChange(look: GroupSnapshot, current: ExpertMap): Promise<void> {
        if (isSettled && isAboutToSwitch(look.reports)) {
            // The coordinator's own change: every rank has confirmed it, and its hold is released.
            return;
        }
        const hasRemains = look.reports.some(report => report.armed !== undefined || report.heldStep !== undefined);
        if (!isSettled || hasRemains) {
            const settled = await changer.settleGroup(current, getNextVersion(look.reports));
            isSettled = settled.isSettled;
            cooldownEndStep = Math.max(...look.reports.map(report => report.step)) + computeCooldownPasses(LEAD_PASSES);
            logger.logEvent(EventId.GroupFenced, { group: options.group, epoch, hasRemains, ...settled });
            return;
        }
        recordLoads(look);
        if (look.reports.every(report => report.step >= cooldownEndStep)) {
            await changeIfBetter(look.reports, current);
        }
    }

    async function readGroup(): Promise<GroupSnapshot | undefined> {
        const { reports: read, counts } = await options.reader.readGroup();
        const reports = read.filter(report => report !== undefined);
        const first = reports[0]?.epoch;
        const isWhole =
            reports.length === links.length &&
            reports.every((report, rank) => report.isOpen && report.epoch === first && report.rank === rank);
        return isWhole ? { reports, counts } : undefined;
    }

    async function readMap(look: GroupSnapshot, version: number): Promise<void> {
        if (look.reports.some(report => report.mapVersion !== version)) {
            // A switch is in progress; the next round sees a single version.
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

    function recordLoads(look: GroupSnapshot): void {
        const now = readMonotonicMs();
        look.counts.forEach(({ source, counts }) => loads.recordCounts(source, counts, now));
    }

    async function changeIfBetter(reports: readonly RankReport[], current: ExpertMap): Promise<void> {
        const now = readMonotonicMs();
        if (loads.getWeight(now) < MIN_CHOICES_PER_SET * layout.layerSets) {
            return;
        }
        const expertLoads = loads.getLoads(now);
        const paces = reports.map(report => report.pace);
        const ratio = computeMean(current.map((ofSet, set) => computeSetRatio(ofSet, expertLoads[set] ?? [], paces)));
        const isBusy = isGroupBusy(reports);
        const leastGain = isBusy ? MIN_GAIN_BUSY : MIN_GAIN_IDLE;
        if (ratio < 1 + leastGain) {
            return;
        }
        const limits: PlanLimits = {
            placements: layout.placements,
            reserve: layout.reserve,
            paces,
            leastGainPerCopy: isBusy ? MIN_GAIN_PER_COPY_BUSY : MIN_GAIN_PER_COPY_IDLE,
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
            sinceLastMs: Math.round(now - lastAttemptAt),
            isBusy,
            slowestPace: Math.max(...paces),
            tookMs: Math.round(readMonotonicMs() - now),
        });
        lastAttemptAt = readMonotonicMs();
        isSettled = result.end !== ChangeEnd.Unsettled;
    }

    function isGroupBusy(reports: readonly RankReport[]): boolean {
        const requests = reports.reduce((sum, report) => sum + report.running + report.queued, 0);
        return requests > BUSY_FRACTION * layout.slots * reports.length;
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
