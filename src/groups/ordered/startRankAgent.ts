import { openControlPort } from "../../control/index.js";
import type { DirectCodec } from "../../direct/index.js";
import { type KeyValueService, createCountedService } from "../../platform/index.js";
import { EventId, type Logger, startMetricsServer } from "../../telemetry/index.js";
import type { RunningProgram } from "../../utils/runUntilSignal.js";
import { type Loop, readMonotonicMs, startLoop, waitFor } from "../../utils/time.js";
import { type AgentRankLink, createAgentRankLink } from "./AgentRankLink.js";
import { type MapCoordinator, createMapCoordinator } from "./MapCoordinator.js";
import { createMapEncoder } from "./MapEncoder.js";
import { type MapOffice, createMapOffice } from "./MapOffice.js";
import type { RankLink } from "./RankLink.js";
import { type RankMetrics, createRankMetrics } from "./RankMetrics.js";
import type { RankReport } from "./RankReport.js";
import { listMembers } from "./listMembers.js";
import { buildRankControl } from "./rankControl.js";

/** Settings of the agent of a rank. */
export interface RankAgentSettings {
    host: string;
    address: string;
    /** Port of the control calls between agents, the same on every host. */
    controlPort: number;
    metricsPort: number;
    processKey: string;
    /** Service of the rank beside the agent. */
    service: string;
}

/** What a platform gives to the agent of a rank. */
export interface RankAgentPlatform {
    service: KeyValueService;
    codec: DirectCodec;
    /** Link to the rank on the same host. */
    link: RankLink;
}

/** Period in which a coordinator looks at its group, in milliseconds; several looks in the time of a usual answer. */
const ROUND_MS = 150;
/** Further pause for each rank beyond the first, so that a large group's coordinator stays within its share, in milliseconds. */
const ROUND_PER_RANK_MS = 1;
const CALL_TIMEOUT_MS = 250;
/** Time after which the members of a group that isn't whole are listed anew, in milliseconds. */
const INCOMPLETE_MS = 1_000;
/** Time between two listings of the group's members while some are unknown, in milliseconds. */
const LISTING_MS = 1_000;

/**
 * Starts the agent of a rank: it passes orders on to the rank beside it, and one agent of the group coordinates its map.
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
    const metrics: RankMetrics = createRankMetrics(() => office.isInOffice());
    const service = createCountedService(platform.service, metrics.recordStoreCall);
    const office: MapOffice = createMapOffice({
        service,
        holder: settings.host,
        onLost(term) {
            logger.logEvent(EventId.GroupCoordinatorLost, { term });
            coordination.forget();
        },
    });
    const coordination = createCoordination(settings, { ...platform, service }, office, metrics, logger);
    const router = buildRankControl({ link: platform.link, acceptTerm: office.acceptTerm });
    const [control, monitoring] = await Promise.all([
        openControlPort({ address, port: controlPort, router, processKey }),
        startMetricsServer(metrics.set, { isReady: () => true }, metricsPort, address),
    ]);
    const loop: Loop = startLoop(ROUND_MS, runRound, error =>
        logger.logFailure(EventId.TaskFailed, error, { task: "map round" }),
    );
    logger.logEvent(EventId.ProcessStarted, { service: settings.service, address });
    return {
        async stop() {
            logger.logEvent(EventId.ProcessDraining);
            office.stop();
            await loop.stop();
            coordination.close();
            control.close();
            monitoring.close();
            logger.logEvent(EventId.ProcessStopped);
            await logger.flush();
        },
    };

    async function runRound(): Promise<void> {
        if (!office.isOwnTurn()) {
            return;
        }
        const report = await platform.link.readReport();
        const wasInOffice = office.getTerm() !== undefined;
        const term = await office.holdOffice(report);
        if (term === undefined) {
            return;
        }
        if (!wasInOffice) {
            logger.logEvent(EventId.GroupOfficeWon, { group: report.group, term });
            coordination.forget();
        }
        await coordination.coordinate(report);
    }
}

/** What the agent in office does for its group. */
interface Coordination {
    /** Looks at the group once, and changes its map if that pays. */
    coordinate(report: RankReport): Promise<void>;
    /** Drops what was known of the group's members and map. */
    forget(): void;
    close(): void;
}

function createCoordination(
    settings: RankAgentSettings,
    platform: RankAgentPlatform,
    office: MapOffice,
    metrics: RankMetrics,
    logger: Logger,
): Coordination {
    let coordinator: MapCoordinator | undefined;
    let links: AgentRankLink[] = [];
    let listedAt = Number.NEGATIVE_INFINITY;
    let wholeAt = Number.NEGATIVE_INFINITY;
    return { coordinate, forget, close: closeLinks };

    async function coordinate(report: RankReport): Promise<void> {
        const isDue = readMonotonicMs() - listedAt > LISTING_MS;
        if (coordinator === undefined && isDue) {
            listedAt = readMonotonicMs();
            coordinator = await buildCoordinator(report);
            wholeAt = readMonotonicMs();
        }
        const isWhole = (await coordinator?.runRound()) ?? false;
        metrics.recordRound(isWhole);
        if (isWhole) {
            wholeAt = readMonotonicMs();
        } else if (readMonotonicMs() - wholeAt > INCOMPLETE_MS) {
            // A group that was formed anew may have other members, or the same ones in other places.
            forget();
        }
        await waitFor(ROUND_PER_RANK_MS * links.length);
    }

    async function buildCoordinator(report: RankReport): Promise<MapCoordinator | undefined> {
        closeLinks();
        const { group, size } = report;
        const { hosts, layout } = await listMembers(platform.service, platform.codec, settings.service, group);
        if (layout === undefined || hosts.size !== size) {
            logger.logEvent(EventId.GroupIncomplete, { group, known: hosts.size, size });
            return undefined;
        }
        const encoder = createMapEncoder();
        links = Array.from({ length: size }, (unused, rank) =>
            createAgentRankLink({
                address: `${hosts.get(rank) ?? ""}:${settings.controlPort}`,
                processKey: settings.processKey,
                getTerm: () => office.getTerm() ?? 0,
                onSuperseded: office.leaveOffice,
                encoder,
                timeoutMs: CALL_TIMEOUT_MS,
            }),
        );
        const { isInOffice: isLeader } = office;
        return createMapCoordinator({ group, layout, links, isLeader, metrics, logger });
    }

    function forget(): void {
        coordinator = undefined;
    }

    function closeLinks(): void {
        links.forEach(member => member.close());
        links = [];
    }
}
