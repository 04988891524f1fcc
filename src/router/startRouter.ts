import { IncidentKind, type SettledFacts, createAccount, startSummaryWriter } from "../account/index.js";
import { type AdminHandler, createAdminApi } from "../admin/AdminApi.js";
import { createHandoverStore } from "../agent/Handover.js";
import {
    type DocumentHolder,
    type RouterSettings,
    createDocumentHolder,
    createDocumentRepository,
} from "../config/index.js";
import { startDocumentSync } from "../config/DocumentSync.js";
import { startControlServer } from "../control/index.js";
import {
    type EndpointTable,
    FactOrigin,
    type PeerDirectory,
    type PeerExchange,
    createEndpointTable,
    createPeerDirectory,
    startPeerExchange,
} from "../membership/index.js";
import { createHttpHostList, createHttpKeyValueService } from "../platform/index.js";
import { Cause } from "../protocol/index.js";
import {
    type SuspectTable,
    createAffinitySelector,
    createRetryBudget,
    createSuspectTable,
    createPartQuarantine,
    type PartQuarantine,
} from "../scheduling/index.js";
import {
    EventId,
    type Logger,
    createLogger,
    createMetrics,
    createTracing,
    startMetricsServer,
} from "../telemetry/index.js";
import { computeHash32 } from "../utils/digest.js";
import { listenOn, sendJson } from "../utils/http.js";
import {
    type ReportLimit,
    createCallerMemory,
    createLimitReport,
    createPlainServer,
    resolveCallerLimits,
} from "../memory/index.js";
import type { RunningProgram } from "../utils/program.js";
import { readMonotonicMs, startLoop, waitFor } from "../utils/time.js";
import type { RouterContext } from "./RouterContext.js";
import { type SettledExchange, createRouterServer } from "./RouterServer.js";
import { createAgentConnections } from "./attempts/AgentConnections.js";
import { createStallDetector } from "./attempts/StallDetector.js";
import { createSingleClaimStore } from "./claims/SingleClaimStore.js";
import { type PeerMessage, buildRouterControl } from "./routerControl.js";

const HOST_LIST_INTERVAL_MS = 1_000;
const WATCHERS_PER_ZONE = 2;
const RETRY_BUDGET_RATIO = 0.08;
const MAX_ACCUMULATED_RETRIES = 20;
const MAX_LOAD_FACTOR = 1.25;
const ZONE_TOLERANCE = 0.25;
const STATUS_NOT_FOUND = 404;
/** Connections of operators, and of processes before their upgrade; many connect at once after a restart. */
const MAX_CONTROL_CONNECTIONS = 128;
const DRAIN_POLL_INTERVAL_MS = 50;

/**
 * Starts a router.
 * @param settings - Validated settings.
 */
export async function startRouter(settings: RouterSettings): Promise<RunningProgram> {
    const logger = createLogger(settings.host);
    const metrics = createMetrics();
    const tracing = createTracing({ program: "auburnpass-router", ...settings, collector: settings.traces?.collector });
    const processKey = settings.processKeys[0] ?? "";
    const holder = createDocumentHolder();
    const table = createEndpointTable();
    const peers = createPeerDirectory(settings.host, settings.routers);
    const keyValue = createHttpKeyValueService({ url: settings.platform.keyValue });
    const hostList = createHttpHostList(settings.platform.hostList);
    const repository = createDocumentRepository(keyValue);
    const sync = startDocumentSync({
        environment: settings.environment,
        holder,
        repository,
        isWatcher: () => isDocumentWatcher(settings, peers),
        logger,
    });
    const suspects = createSuspectTable();
    const quarantine = createPartQuarantine({
        onStatus: (part, status, crashes) => logger.logEvent(EventId.PartStatusChanged, { part, status, crashes }),
        announce: () => void exchange.sendToAll(),
    });
    const account = createAccount(settings.zone, settings.host);
    const context: RouterContext = {
        host: settings.host,
        zone: settings.zone,
        processKey,
        table,
        agentConnections: createAgentConnections(processKey),
        stallDetector: createStallDetector(settings.silenceMs),
        choice: createAffinitySelector({
            maxLoadFactor: MAX_LOAD_FACTOR,
            zoneTolerance: ZONE_TOLERANCE,
            random: Math.random,
        }),
        retries: createRetryBudget({ share: RETRY_BUDGET_RATIO, maxTokens: MAX_ACCUMULATED_RETRIES }),
        claims: createSingleClaimStore(keyValue),
        handovers: createHandoverStore(keyValue),
        suspects,
        quarantine,
        broadcastSuspects: () => exchange.sendToAll(),
        recordIncident: (kind, subject) => account.recordIncident(kind, subject),
        logger,
        metrics,
        tracing,
    };
    const exchange = startPeerExchange({
        host: settings.host,
        zone: settings.zone,
        processKey,
        peers,
        table,
        getDocumentVersion: holder.getVersion,
        listSuspects: () => suspects.listSuspects(readMonotonicMs()),
        listPartReports: () => quarantine.listReports(readMonotonicMs()),
        onDocument: (stored, from) => sync.takeDocument(stored, from),
        onZoneSilent: zone => account.recordIncident(IncidentKind.ZoneCut, zone),
        logger,
    });
    holder.onApplied(stored => {
        metrics.documentVersion.set(stored.version);
        account.recordIncident(IncidentKind.DocumentApplied, String(stored.version));
        void exchange.sendNow();
    });
    const reportLimit = createLimitReport(logger, limit => metrics.callerLimits.inc({ limit }));
    const callerServer = createRouterServer({
        context,
        getIndex: holder.getIndex,
        limits: settings.limits,
        memory: createCallerMemory(resolveCallerLimits(settings.callerLimits, settings.resources), reportLimit),
        onSettled: settled => account.recordSettled(createSettledFacts(settled)),
    });
    const adminApi = createAdminApi({
        settings,
        change: {
            repository,
            holder,
            host: settings.host,
            environment: settings.environment,
            publish: async stored => {
                sync.takeDocument(stored, "operator");
                await exchange.sendNow();
            },
            queryVersions: exchange.queryVersions,
        },
        table,
        account,
        service: keyValue,
        drainEndpoint: host => drainEndpoint(context, host),
        logger,
    });
    const summaries = startSummaryWriter({ service: keyValue, account, logger, random: Math.random });
    const control = await startControl(settings, {
        holder,
        table,
        exchange,
        suspects,
        quarantine,
        zone: settings.zone,
        adminApi,
        reportLimit,
    });
    const metricsServer = await startMetricsServer(
        metrics,
        { isReady: () => holder.getVersion() > 0 && !callerServer.isDraining() },
        settings.listen.metrics,
        settings.listen.address,
        reportLimit,
    );
    const hostListLoop = startHostListLoop({
        table,
        peers,
        logger,
        onTick: () => metrics.knownEndpoints.set(table.listAll().length),
        listHosts: () => hostList.listHosts(),
    });
    await listenOn(callerServer.server, settings.listen.callers, settings.listen.address);
    logger.logEvent(EventId.ProcessStarted, { program: "auburnpass-router", zone: settings.zone });
    return { stop };

    async function stop(): Promise<void> {
        logger.logEvent(EventId.ProcessDraining);
        callerServer.startDraining();
        await waitFor(settings.drainNoticeMs);
        callerServer.refuseNewRequests();
        callerServer.server.close();
        while (callerServer.getActiveRequestCount() > 0) {
            await waitFor(DRAIN_POLL_INTERVAL_MS);
        }
        await Promise.all([sync.stop(), exchange.stop(), hostListLoop.stop(), summaries.stop()]);
        context.stallDetector.stop();
        context.agentConnections.close();
        control.close();
        metricsServer.close();
        await tracing.stop();
        logger.logEvent(EventId.ProcessStopped);
    }
}

/** Tells an agent to accept no new work; its heartbeats then announce this to all routers. */
async function drainEndpoint(context: RouterContext, host: string): Promise<boolean> {
    const view = context.table.getEndpoint(host);
    return view !== undefined && (await context.agentConnections.drain(view.fact));
}

function createSettledFacts(settled: SettledExchange): SettledFacts {
    const { exchange, refusal } = settled;
    const { target, team, firstByteAt, arrivedAt } = exchange;
    return {
        rank: target?.rank ?? "none",
        team: team?.name ?? "",
        weight: team?.weight ?? 1,
        cost: target?.cost ?? 0,
        cause:
            refusal?.cause ?? exchange.failureCause ?? (exchange.isCallerDisconnected ? Cause.CallerGone : Cause.None),
        traceId: exchange.traceId,
        hosts: exchange.hosts,
        firstByteMs: firstByteAt === undefined ? undefined : firstByteAt - arrivedAt,
        targetMs: target === undefined ? undefined : exchange.index.getRank(target.rank).targetMs,
        queueMs: exchange.queueMs,
    };
}

interface ControlDependencies {
    holder: DocumentHolder;
    table: EndpointTable;
    exchange: PeerExchange;
    suspects: SuspectTable;
    quarantine: PartQuarantine;
    zone: string;
    adminApi: AdminHandler;
    reportLimit: ReportLimit;
}

async function startControl(settings: RouterSettings, dependencies: ControlDependencies): Promise<{ close(): void }> {
    const { holder, table, exchange } = dependencies;
    const server = createPlainServer({
        readsBodies: true,
        maxConnections: MAX_CONTROL_CONNECTIONS,
        report: dependencies.reportLimit,
        handle(request, response, memory) {
            if (request.url?.startsWith("/admin/v1/") === true) {
                void dependencies.adminApi(request, response, memory);
            } else {
                sendJson(response, STATUS_NOT_FOUND, { error: "expected a path below /admin/v1/" });
            }
        },
    });
    const router = buildRouterControl({
        holder,
        onHeartbeat(fact) {
            const wasDraining = table.getEndpoint(fact.host)?.fact.isDraining === true;
            table.recordFact(fact, FactOrigin.Agent, readMonotonicMs());
            if (fact.isDraining && !wasDraining) {
                void exchange.sendNow();
            }
        },
        onPeerMessage(message) {
            handlePeerMessage(message, dependencies);
        },
    });
    const control = startControlServer(server, router, settings.processKeys);
    await listenOn(server, settings.listen.control, settings.listen.address);
    return {
        close() {
            control.close();
            server.closeAllConnections();
            server.close();
        },
    };
}

function handlePeerMessage(message: PeerMessage, dependencies: ControlDependencies): void {
    const origin = message.zone === dependencies.zone ? FactOrigin.OwnZone : FactOrigin.OtherZone;
    const now = readMonotonicMs();
    message.facts.forEach(fact => dependencies.table.recordFact(fact, origin, now));
    dependencies.suspects.mergeSuspects(message.suspects, now);
    dependencies.quarantine.mergeReports(message.parts, now);
    dependencies.exchange.handleVersion(message.host, message.documentVersion);
}

interface HostListLoopOptions {
    table: EndpointTable;
    peers: PeerDirectory;
    logger: Logger;
    onTick: () => void;
    listHosts: () => ReturnType<ReturnType<typeof createHttpHostList>["listHosts"]>;
}

/** Polls the host list; while it is unavailable, the last list and the heartbeats remain in use. */
function startHostListLoop(options: HostListLoopOptions): ReturnType<typeof startLoop> {
    return startLoop(
        HOST_LIST_INTERVAL_MS,
        async () => {
            options.onTick();
            options.table.forgetSilent(readMonotonicMs()).forEach(view => {
                options.logger.logEvent(EventId.HostLeft, { endpoint: view.fact.host });
            });
            const hosts = await options.listHosts();
            options.peers.recordHosts(hosts);
            options.table.recordHosts(hosts);
        },
        () => undefined,
    );
}

/** Only a few routers per zone watch the document store; the others learn of changes from them. */
function isDocumentWatcher(settings: RouterSettings, peers: PeerDirectory): boolean {
    const zonePeers = peers.listPeers().filter(peer => peer.zone === settings.zone);
    const score = computeHash32(settings.host);
    return zonePeers.filter(peer => computeHash32(peer.host) > score).length < WATCHERS_PER_ZONE;
}
