import http from "node:http";
import { startControlServer } from "../../control/index.js";
import type { DirectCodec, RoutingDocument } from "../../direct/index.js";
import type { KeyValueService } from "../../platform/index.js";
import { EventId } from "../../telemetry/EventId.js";
import type { Logger } from "../../telemetry/logger.js";
import { listenOn } from "../../utils/http.js";
import type { RunningProgram } from "../../utils/runUntilSignal.js";
import { startFreezeWatch } from "../../utils/FreezeWatch.js";
import { type Loop, readMonotonicMs, startLoop, waitFor } from "../../utils/time.js";
import { type AgentRankLink, createAgentRankLink } from "./AgentRankLink.js";
import { createLeadership } from "./Leadership.js";
import { type MapCoordinator, createMapCoordinator } from "./MapCoordinator.js";
import type { RankLink } from "./RankLink.js";
import type { RankReport } from "./RankReport.js";
import { buildRankControl } from "./rankControl.js";

/** Settings of the agent of a rank. */
export interface RankAgentSettings {
    host: string;
    address: string;
    /** Port of the control calls between agents, the same on every host. */
    controlPort: number;
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
const ROUND_PER_RANK_MS = 2;
const CALL_TIMEOUT_MS = 250;
/** Time to live of the office's lease, in milliseconds: above the store's least one, and a few renewals long. */
const LEASE_MS = 1_500;
/** Silence of the coordinator after which the first rank tries to take over; the next ones wait longer, in milliseconds. */
const SILENCE_MS = 800;
const SILENCE_PER_RANK_MS = 250;
/** Standstill after which a coordinator asks for its office again; well below the lease, in milliseconds. */
const FROZEN_MS = 1_000;
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
    const { link } = platform;
    const freeze = startFreezeWatch(FROZEN_MS);
    let heardAt = readMonotonicMs();
    let highestTerm = 0;
    let ownReport: RankReport | undefined;
    let coordinator: MapCoordinator | undefined;
    let links: AgentRankLink[] = [];
    let listedAt = Number.NEGATIVE_INFINITY;
    let wholeAt = Number.NEGATIVE_INFINITY;
    let leadership: ReturnType<typeof createLeadership> | undefined;
    const server = http.createServer((request, response) => response.writeHead(404).end());
    await listenOn(server, settings.controlPort, settings.address);
    const control = startControlServer(server, buildRankControl({ link, acceptTerm }), [settings.processKey]);
    const loop: Loop = startLoop(ROUND_MS, runRound, error =>
        logger.logFailure(EventId.TaskFailed, error, { task: "map round" }),
    );
    logger.logEvent(EventId.ProcessStarted, { service: settings.service, address: settings.address });
    return {
        async stop() {
            logger.logEvent(EventId.ProcessDraining);
            freeze.stop();
            await loop.stop();
            links.forEach(member => member.close());
            control.close();
            server.close();
            logger.logEvent(EventId.ProcessStopped);
            await logger.flush();
        },
    };

    function acceptTerm(term: number): boolean {
        if (term < highestTerm) {
            return false;
        }
        highestTerm = term;
        heardAt = readMonotonicMs();
        return true;
    }

    async function runRound(): Promise<void> {
        if (freeze.hasStoodStill()) {
            // Another agent may have won the office meanwhile.
            leaveOffice();
            freeze.reset();
        }
        const isInOffice = leadership?.getTerm() !== undefined;
        if (!isInOffice && !isCoordinatorSilent()) {
            return;
        }
        ownReport = await link.readReport();
        leadership ??= createLeadership({
            service: platform.service,
            key: `auburnpass/maps/${ownReport.group}`,
            holder: settings.host,
            ttlMs: LEASE_MS,
        });
        if (!isInOffice) {
            // Whatever comes of this try, the next one waits as long as after a coordinator's word.
            heardAt = readMonotonicMs();
        }
        if ((await keepOffice(leadership)) === undefined) {
            return;
        }
        await coordinate(ownReport, isInOffice);
    }

    function isCoordinatorSilent(): boolean {
        const waitMs = SILENCE_MS + SILENCE_PER_RANK_MS * (ownReport?.rank ?? 0);
        return readMonotonicMs() - heardAt > waitMs;
    }

    /** While the store is away, nobody can win the office, and the coordinator goes on. */
    async function keepOffice(office: ReturnType<typeof createLeadership>): Promise<number | undefined> {
        try {
            return await office.holdOffice();
        } catch (error) {
            if (office.getTerm() === undefined) {
                throw error;
            }
            return office.getTerm();
        }
    }

    async function coordinate(report: RankReport, wasInOffice: boolean): Promise<void> {
        if (!wasInOffice) {
            logger.logEvent(EventId.GroupOfficeWon, { group: report.group, term: leadership?.getTerm() });
            coordinator = undefined;
        }
        const isDue = readMonotonicMs() - listedAt > LISTING_MS;
        if (coordinator === undefined && isDue) {
            listedAt = readMonotonicMs();
            coordinator = await buildCoordinator(report);
            wholeAt = readMonotonicMs();
        }
        const isWhole = (await coordinator?.runRound()) ?? false;
        if (isWhole) {
            wholeAt = readMonotonicMs();
        } else if (readMonotonicMs() - wholeAt > INCOMPLETE_MS) {
            // A group that was formed anew may have other members, or the same ones in other places.
            coordinator = undefined;
        }
        await waitFor(ROUND_PER_RANK_MS * links.length);
    }

    async function buildCoordinator(report: RankReport): Promise<MapCoordinator | undefined> {
        links.forEach(member => member.close());
        links = [];
        const [entries, document] = await Promise.all([
            platform.service.listSnapshot(platform.codec.endpointPrefix, { isStaleAllowed: true }),
            readDocument(),
        ]);
        const engine = document?.services.find(service => service.name === settings.service)?.engine;
        const layout = engine?.experts && { ...engine.experts, slots: engine.slots };
        const addresses = new Map<number, string>();
        for (const entry of entries.entries) {
            const decoded = platform.codec.decodeEndpoint(entry);
            const member = "value" in decoded ? decoded.value : undefined;
            if (member?.group?.name === report.group) {
                addresses.set(member.group.rank, `${member.host}:${settings.controlPort}`);
            }
        }
        if (layout === undefined || addresses.size !== report.size) {
            logger.logEvent(EventId.GroupIncomplete, { group: report.group, known: addresses.size, size: report.size });
            return undefined;
        }
        links = Array.from({ length: report.size }, (unused, rank) =>
            createAgentRankLink({
                address: addresses.get(rank) ?? "",
                processKey: settings.processKey,
                getTerm: () => leadership?.getTerm() ?? 0,
                onSuperseded: leaveOffice,
                timeoutMs: CALL_TIMEOUT_MS,
            }),
        );
        return createMapCoordinator({
            group: report.group,
            layout,
            links,
            isLeader: () => leadership?.getTerm() !== undefined && !freeze.hasStoodStill(),
            logger,
        });
    }

    async function readDocument(): Promise<RoutingDocument | undefined> {
        const listing = await platform.service.listSnapshot(platform.codec.documentPrefix, { isStaleAllowed: true });
        const entry = listing.entries.find(candidate => platform.codec.isDocumentKey(candidate.key));
        const decoded = entry && platform.codec.decodeDocument(entry.value);
        return decoded !== undefined && "value" in decoded ? decoded.value : undefined;
    }

    function leaveOffice(): void {
        if (leadership?.getTerm() !== undefined) {
            logger.logEvent(EventId.GroupCoordinatorLost, { group: ownReport?.group, term: leadership.getTerm() });
            leadership.leaveOffice();
            coordinator = undefined;
        }
    }
}
