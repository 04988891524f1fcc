import { openControlPort } from "../../control/index.js";
import type { DirectCodec } from "../../direct/index.js";
import { createLimitReport } from "../../memory/index.js";
import { type KeyValueService, createCountedService } from "../../platform/index.js";
import { EventId, type Logger, createFailureStreak, startMetricsServer } from "../../telemetry/index.js";
import type { RunningProgram } from "../../utils/runUntilSignal.js";
import { type Loop, readMonotonicMs, startLoop, waitFor } from "../../utils/time.js";
import { createBranchRelay } from "./BranchRelay.js";
import { type MapCoordinator, createMapCoordinator } from "./MapCoordinator.js";
import { type CoordinatorElection, createCoordinatorElection } from "./CoordinatorElection.js";
import type { RankLink } from "./RankLink.js";
import { type RankMetrics, createRankMetrics } from "./RankMetrics.js";
import type { RankReport } from "./RankReport.js";
import { listMembers } from "./listMembers.js";
import { type GroupLinks, openGroupLinks } from "./openGroupLinks.js";
import { buildRankControl } from "./rankControl.js";

/** Settings of the agent of a rank. */
export interface RankAgentSettings {
    host: string;
    address: string;
    /** Port of the control calls between agents, the same on every host. */
    controlPort: number;
    metricsPort: number;
    processKey: string;
    /** Service of the agent's local rank. */
    service: string;
}

/** Platform services that the agent of a rank uses. */
export interface RankAgentPlatform {
    service: KeyValueService;
    codec: DirectCodec;
    /** Link to the rank on the same host. */
    link: RankLink;
}

/** Interval between rounds of the coordinator, short enough for several rounds within a typical response. */
const ROUND_INTERVAL_MS = 150;
/** Additional pause for each agent called, which limits the CPU use of a large group's coordinator. */
const ROUND_PER_AGENT_MS = 1;
/** Time after which the members of an incomplete group are listed again. */
const INCOMPLETE_TIMEOUT_MS = 1_000;
/** Minimum time between two listings of the group's members while some are unknown. */
const LISTING_INTERVAL_MS = 1_000;

/**
 * Starts the agent of a rank: it forwards orders to its local rank, and one elected agent coordinates the group's map.
 * @param settings - Addresses.
 * @param platform - Clients and codecs.
 * @param logger - Log of the process.
 */
export async function startRankAgent(
    settings: RankAgentSettings,
    platform: RankAgentPlatform,
    logger: Logger,
): Promise<RunningProgram> {
    const { address, controlPort, metricsPort, processKey } = settings;
    const metrics: RankMetrics = createRankMetrics(() => election.isLeader());
    const service = createCountedService(platform.service, metrics.recordStoreCall);
    const election: CoordinatorElection = createCoordinatorElection({
        service,
        holder: settings.host,
        onLost(term) {
            logger.logEvent(EventId.GroupCoordinatorLost, { term });
            coordination.resetCoordinator();
        },
    });
    const coordination = createCoordination(settings, { ...platform, service }, election, metrics, logger);
    const relay = createBranchRelay(processKey);
    const router = buildRankControl({ link: platform.link, acceptTerm: election.acceptTerm, relay });
    const report = createLimitReport(logger, metrics.recordCallerLimit);
    const [control, monitoring] = await Promise.all([
        openControlPort({ address, port: controlPort, router, processKey, report }),
        startMetricsServer(metrics.set, { isReady: () => true }, metricsPort, address, report),
    ]);
    const failures = createFailureStreak(logger, "map round");
    const loop: Loop = startLoop(ROUND_INTERVAL_MS, runRound, failures.recordFailure);
    logger.logEvent(EventId.ProcessStarted, { service: settings.service, address });
    return {
        async stop() {
            logger.logEvent(EventId.ProcessDraining);
            await election.stop();
            await loop.stop();
            coordination.close();
            relay.close();
            control.close();
            monitoring.close();
            logger.logEvent(EventId.ProcessStopped);
            await logger.flush();
        },
    };

    async function runRound(): Promise<void> {
        if (!election.isLeaderOrCandidate()) {
            return;
        }
        const report = await platform.link.readReport();
        failures.recordSuccess();
        election.recordRank(report.rank);
        if (!election.isLeaderOrCandidate()) {
            return;
        }
        const wasLeader = election.getTerm() !== undefined;
        const term = await election.acquireLeadership(report);
        if (term === undefined) {
            return;
        }
        if (!wasLeader) {
            logger.logEvent(EventId.GroupOfficeWon, { group: report.group, term });
            coordination.resetCoordinator();
        }
        await coordination.coordinate(report);
    }
}

/** Work of the elected agent for its group. */
interface Coordination {
    /** Runs one round of the coordinator. */
    coordinate(report: RankReport): Promise<void>;
    /** Discards the coordinator with its knowledge of the group's members and map. */
    resetCoordinator(): void;
    close(): void;
}

function createCoordination(
    settings: RankAgentSettings,
    platform: RankAgentPlatform,
    election: CoordinatorElection,
    metrics: RankMetrics,
    logger: Logger,
): Coordination {
    let coordinator: MapCoordinator | undefined;
    let links: GroupLinks | undefined;
    let lastListedAt = Number.NEGATIVE_INFINITY;
    let lastCompleteAt = Number.NEGATIVE_INFINITY;
    return { coordinate, resetCoordinator, close: closeLinks };

    async function coordinate(report: RankReport): Promise<void> {
        const isDue = readMonotonicMs() - lastListedAt > LISTING_INTERVAL_MS;
        if (coordinator === undefined && isDue) {
            lastListedAt = readMonotonicMs();
            coordinator = await buildCoordinator(report);
            lastCompleteAt = readMonotonicMs();
        }
        const isWhole = (await coordinator?.runRound()) ?? false;
        metrics.recordRound(isWhole);
        if (isWhole) {
            lastCompleteAt = readMonotonicMs();
        } else if (readMonotonicMs() - lastCompleteAt > INCOMPLETE_TIMEOUT_MS) {
            // A group that was formed again may have other members, or the same ones at other ranks.
            resetCoordinator();
        }
        await waitFor(ROUND_PER_AGENT_MS * (links?.calledAgents ?? 0));
    }

    async function buildCoordinator(report: RankReport): Promise<MapCoordinator | undefined> {
        closeLinks();
        const { group, size } = report;
        const { hosts, layout } = await listMembers(platform.service, platform.codec, settings.service, group);
        if (layout === undefined || hosts.size !== size) {
            logger.logEvent(EventId.GroupIncomplete, { group, known: hosts.size, size });
            return undefined;
        }
        links = openGroupLinks({
            hosts: [...hosts.values()].sort((left, right) => left.rank - right.rank),
            controlPort: settings.controlPort,
            processKey: settings.processKey,
            getTerm: () => election.getTerm() ?? 0,
            onSuperseded: election.releaseLeadership,
        });
        const { isLeader } = election;
        return createMapCoordinator({ group, layout, ...links, isLeader, metrics, logger });
    }

    function resetCoordinator(): void {
        coordinator = undefined;
    }

    function closeLinks(): void {
        links?.close();
        links = undefined;
    }
}
