import { type KeyValueService, createCountedService } from "../platform/index.js";
import { type CallerMemory, createCallerMemory, createLimitReport, resolveCallerLimits } from "../memory/index.js";
import { createCheckHeaders } from "../router/filters/checkHeaders.js";
import { createReadBody } from "../router/filters/readBody.js";
import {
    createConcurrencyLimiter,
    createOutageDetector,
    createPartQuarantine,
    createSharedRateLimiter,
    createSuspectTable,
} from "../scheduling/index.js";
import { EventId } from "../telemetry/EventId.js";
import type { Logger } from "../telemetry/logger.js";
import type { RunningProgram } from "../utils/runUntilSignal.js";
import { readMonotonicMs, waitFor } from "../utils/time.js";
import { type CallerServer, createCallerServer } from "./CallerServer.js";
import type { DirectCodec } from "./DirectCodec.js";
import type { DirectContext } from "./DirectContext.js";
import type { DirectExchange } from "./DirectExchange.js";
import { type DirectListeners, openListeners } from "./DirectListeners.js";
import { type DirectMetrics, createDirectMetrics } from "./DirectMetrics.js";
import type { DirectSettings } from "./DirectSettings.js";
import { DirectoryChange, type EndpointDirectory, createEndpointDirectory } from "./EndpointDirectory.js";
import { createEndpointNotices } from "./EndpointNotices.js";
import { createEndpointCandidates, createHomeRule, createLeavingRule, createPauseRule } from "./candidates/index.js";
import { createColdEndpoints, createColdRule } from "./cold/index.js";
import {
    createEvacuationRule,
    createEvacuations,
    createGuardedAdmission,
    createUsableEndpoints,
} from "./evacuation/index.js";
import { createEndpointPauses } from "./EndpointPauses.js";
import { createEndpointMemory, createMemoryRule, createSizeRule } from "./endpointMemory/index.js";
import { createEndpointHealth } from "./EndpointHealth.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { HeaderNames } from "./HeaderNames.js";
import { type ClusterView, startClusterView } from "./ClusterView.js";
import { createLoadTracker } from "./LoadTracker.js";
import { addOutageGauges, createOutageGate } from "./outage/index.js";
import { createSharedRetryBudget } from "./SharedRetryBudget.js";
import type { ColdBehavior, EngineCostModel } from "./RoutingDocument.js";
import type { RouteIndex } from "./RouteIndex.js";
import { createRouteIndexHolder } from "./RouteIndexHolder.js";
import { createSettledLog } from "./SettledLog.js";
import { type AdmissionDecision, type CostAdmission, createCostAdmission } from "./admission/index.js";
import { createRequestAdmission } from "./RequestAdmission.js";
import { type PlacementQuery, type PlacementReport, explainPlacement } from "./placement/index.js";
import { buildDirectControl } from "./directControl.js";
import { createFindRoute } from "./filters/findRoute.js";
import { createFindTeam } from "./filters/findTeam.js";
import { createRunRequest } from "./filters/runRequest.js";

/** Platform-specific parts that a direct router needs. */
export interface DirectPlatform {
    service: KeyValueService;
    codec: DirectCodec;
    names: HeaderNames;
}

/**
 * Minimum number of routers assumed to share the retry budget and the limits of endpoints. It may be too high, so that a router that doesn't know its
 * peers yet uses less than its share rather than more.
 */
const MIN_ASSUMED_ROUTERS = 8;
/** Time given to the process's own open calls to end at shutdown, in milliseconds. */
const CLOSE_TIMEOUT_MS = 200;

/**
 * Starts a router that sends requests directly to endpoints, without agents next to them.
 * @param settings - Checked settings.
 * @param platform - Store client, codec and header names of the platform.
 * @param logger - Log of the process.
 */
export async function startDirectRouter(
    settings: DirectSettings,
    platform: DirectPlatform,
    logger: Logger,
): Promise<RunningProgram> {
    const { codec } = platform;
    let isDraining = false;
    let stopping: Promise<void> | undefined;
    const holder = createRouteIndexHolder((document, source) => {
        callers.applyLimits(document.limits);
        const { version, routes } = document;
        const behindMs = Math.round(knowledge.getDocumentBehindMs());
        logger.logEvent(EventId.DocumentApplied, { version, source, routes: routes.length, behindMs });
    });
    const context = createContext(settings, platform, logger, {
        getEngine: service => holder.getIndex()?.findService(service)?.engine,
        getColdBehavior: service => holder.getIndex()?.findService(service)?.cold,
        recordHeldBack: service => metrics.recordHeldBack(service),
        listRouterAddresses: () => knowledge.listRouterAddresses(),
        getReportedRouterCount: () => knowledge.getReportedRouterCount(),
        getPeakRouterCount: () => knowledge.getPeakRouterCount(),
        getEndpointAgeMs: () => knowledge.getEndpointAgeMs(),
        getStoreUptimeMs: () => knowledge.getStoreUptimeMs(),
        announceNews: () => knowledge.announceNews(),
        getSpreadMs: () => knowledge.getSpreadMs(),
        hearsOthers: () => knowledge.hearsOthers(),
        recordDecision: (service, decision) => metrics.recordDecision(service, decision),
    });
    const metrics: DirectMetrics = createDirectMetrics({
        countActiveRequests: () => callers.countActiveRequests(),
        getDocumentVersion: () => holder.getVersion(),
        countEndpoints: () => context.directory.countRecords(),
        countRefusedParts: () => context.quarantine.countRefused(),
        countLimited: () => context.limiter.countLimited(),
        countCold: () => context.cold.countCold(readMonotonicMs()),
        countMemoryInUse: () => context.endpointMemory.countInUse(),
        countRouters: () => knowledge.getPeakRouterCount(),
        getStoreAgeMs: () => knowledge.getEndpointAgeMs(),
        getDocumentAgeMs: () => knowledge.getDocumentAgeMs(),
        getDocumentBehindMs: () => knowledge.getDocumentBehindMs(),
        countEvacuatedZones: () => context.evacuations.listZones().length,
        getEvacuationAgeMs: () => context.evacuations.getAgeMs(),
        isReadingStore: () => knowledge.isReadingStore(),
        listAdmissionLevels: () => context.admission.byCost?.levels.listLevels() ?? [],
        getCallerBytes: () => memory.getHeldBytes(),
        countCallerConnections: () => memory.countConnections(),
    });
    const reportLimit = createLimitReport(logger, metrics.recordCallerLimit);
    const memory = createCallerMemory(resolveCallerLimits(settings.callerLimits, settings.resources), reportLimit);
    if (context.outageGate !== undefined) {
        addOutageGauges(metrics.set, context.outageGate);
    }
    const service = createCountedService(platform.service, metrics.recordStoreCall);
    const callers = buildCallerServer(context, memory, getServedIndex, metrics, () => knowledge.isDocumentStale());
    const knowledge: ClusterView = startClusterView({ settings, service, codec, holder, context, logger });
    const listeners: DirectListeners = await openListeners({
        settings,
        callers,
        metrics: metrics.set,
        control: buildDirectControl({
            getSnapshot: version => knowledge.getSnapshot(version),
            answerDocumentRequest: request => knowledge.answerDocumentRequest(request),
            explainPlacement: query => explainServedPlacement(query),
        }),
        reportLimit,
        isServing: () => !isDraining && getServedIndex() !== undefined && context.directory.countRecords() > 0,
    });
    logger.logEvent(EventId.ProcessStarted, { zone: settings.zone, address: settings.address });
    return {
        stop() {
            stopping ??= drain();
            return stopping;
        },
    };

    async function explainServedPlacement(query: PlacementQuery): Promise<PlacementReport | undefined> {
        const index = getServedIndex();
        return index && explainPlacement(query, context, index, () => knowledge.isDocumentStale());
    }

    function getServedIndex(): RouteIndex | undefined {
        return knowledge.isDocumentUsable() ? holder.getIndex() : undefined;
    }

    /** Keeps serving while the load balancer removes the host, then stops once all requests are answered or time is up. */
    async function drain(): Promise<void> {
        const startedAt = readMonotonicMs();
        isDraining = true;
        callers.startDraining();
        context.outageGate?.startDraining(settings.drain.graceMs);
        knowledge.announceLeaving();
        logger.logEvent(EventId.ProcessDraining, { concurrent: callers.countActiveRequests() });
        await waitFor(settings.drain.noticeMs);
        callers.stopListening();
        const leftMs = settings.drain.graceMs - (readMonotonicMs() - startedAt);
        await Promise.race([callers.waitUntilIdle(), waitFor(leftMs)]);
        logger.logEvent(EventId.ProcessStopped, { concurrent: callers.countActiveRequests() });
        listeners.close();
        await Promise.race([knowledge.stop(), waitFor(CLOSE_TIMEOUT_MS)]);
        await logger.flush();
    }
}

/** What the parts of the context learn from the rest of the router, which starts after them. */
interface ContextKnowledge extends Pick<
    ClusterView,
    | "getPeakRouterCount"
    | "getEndpointAgeMs"
    | "getStoreUptimeMs"
    | "announceNews"
    | "getSpreadMs"
    | "hearsOthers"
    | "listRouterAddresses"
    | "getReportedRouterCount"
> {
    /** Gets what the document says of a service's cold endpoints; undefined if they are never cold. */
    getColdBehavior(service: string): ColdBehavior | undefined;
    /** Gets the engine of a service; undefined if the document names none. */
    getEngine(service: string): EngineCostModel | undefined;
    /** Counts a request that was held back at the moment of its send. */
    recordHeldBack(service: string): void;
    /** Counts a decision of the admission by cost. */
    recordDecision(service: string, decision: AdmissionDecision): void;
}

function createContext(
    settings: DirectSettings,
    { names, codec }: Pick<DirectPlatform, "names" | "codec">,
    logger: Logger,
    knowledge: ContextKnowledge,
): DirectContext {
    const health = createEndpointHealth();
    const { lapseGraceMs, entryLifetimeMs } = settings;
    const cold = createColdEndpoints({
        settings: settings.cold,
        own: settings.address,
        getBehavior: knowledge.getColdBehavior,
        listRecords: () => directory.listRecords(),
        listRouters: knowledge.listRouterAddresses,
        getReportedRouterCount: knowledge.getReportedRouterCount,
        hearsOthers: knowledge.hearsOthers,
        onHeldBack: knowledge.recordHeldBack,
        readWallClock: Date.now,
        logger,
        startedAt: readMonotonicMs(),
    });
    const directory: EndpointDirectory = createEndpointDirectory({
        onChange: recordChange,
        onRecord: (record, previous, isWritten) => cold.recordEntry(record, previous, isWritten, readMonotonicMs()),
        lapseGraceMs,
        entryLifetimeMs,
        getStoreUptimeMs: knowledge.getStoreUptimeMs,
    });
    const load = createLoadTracker();
    const endpointMemory = createEndpointMemory({
        load,
        getEngine: knowledge.getEngine,
        onHeldBack: knowledge.recordHeldBack,
    });
    const pace = createConcurrencyLimiter();
    const getRouterCount = (): number => Math.max(MIN_ASSUMED_ROUTERS, knowledge.getPeakRouterCount());
    const limiter = createSharedRateLimiter({
        getReportDelayMs: knowledge.getSpreadMs,
        getShare: () => (knowledge.hearsOthers() ? 1 : 1 / getRouterCount()),
        drawRandom: Math.random,
    });
    const pauses = createEndpointPauses();
    const notices = createEndpointNotices(limiter, pauses, logger);
    const evacuations = createEvacuations({
        settings,
        hasEndpoint: zone => directory.listRecords().some(record => record.zone === zone),
        onWithdrawn: zone => cold.markZone(zone, readMonotonicMs()),
        announce: knowledge.announceNews,
        logger,
    });
    const candidates = createEndpointCandidates(directory, [
        createEvacuationRule(evacuations),
        createHomeRule(settings.zoneRegions ?? {}, zone => logger.logEvent(EventId.ZoneWithoutRegion, { zone })),
        createLeavingRule(notices),
        createPauseRule(pauses),
        createColdRule(cold),
        createSizeRule(endpointMemory),
        createMemoryRule(endpointMemory),
    ]);
    const outageGate =
        settings.outageReturn === true
            ? createOutageGate({
                  directory,
                  candidates,
                  load,
                  getRouterCount,
                  getSpreadMs: knowledge.getSpreadMs,
                  hearsOthers: knowledge.hearsOthers,
                  announceNews: knowledge.announceNews,
                  drawRandom: Math.random,
                  logger,
              })
            : undefined;
    const usable = createUsableEndpoints(directory, evacuations);
    const admission = createRequestAdmission({
        directory: usable,
        load,
        pace,
        limiter,
        candidates,
        cold,
        createByCost: settings.admissionByCost === true ? createByCost : undefined,
    });
    return {
        host: settings.host,
        zone: settings.zone,
        names,
        directory,
        candidates,
        evacuations,
        load,
        pace,
        admission: settings.evacuateMs === undefined ? admission : createGuardedAdmission(admission, evacuations),
        cold,
        endpointMemory,
        health,
        limiter,
        notices,
        pauses,
        retries: createSharedRetryBudget({
            ...settings.retries,
            getRouterCount,
        }),
        suspects: createSuspectTable(),
        quarantine: createPartQuarantine({
            onStatus: (part, status, crashes) => logger.logEvent(EventId.PartStatusChanged, { part, status, crashes }),
            announce: knowledge.announceNews,
        }),
        outages: outageGate?.detector ?? createOutageDetector(),
        outageGate,
        logger,
        getSharedParts: headers => codec.decodeSharedParts(headers),
        getTokenCounts: headers => codec.decodeTokenCounts(headers),
        getEndpointAgeMs: knowledge.getEndpointAgeMs,
        drawRandom: Math.random,
    };

    function createByCost(getFirstEventMs: (service: string) => number): CostAdmission {
        return createCostAdmission({
            load,
            pace,
            limiter,
            candidates,
            getFirstEventMs,
            getSpreadMs: knowledge.getSpreadMs,
            hasPeers: () => knowledge.getPeakRouterCount() > 1,
            drawRandom: Math.random,
            onDecision: knowledge.recordDecision,
            logger,
        });
    }

    function recordChange(change: DirectoryChange, record: EndpointRecord, source: string): void {
        if (change === DirectoryChange.Removed || change === DirectoryChange.Restarted) {
            health.forget(record.id);
            limiter.forget(record.id);
        }
        // Without a start time, an endpoint that comes back can't be told from another one with its identifier.
        const isOtherNext = change === DirectoryChange.Removed && record.bornAt === 0;
        if (change === DirectoryChange.Restarted || isOtherNext) {
            notices.forget(record.id);
        }
        const { id: endpoint, service } = record;
        logger.logEvent(EventId.EndpointChanged, { change, endpoint, service, source });
    }
}

function buildCallerServer(
    context: DirectContext,
    memory: CallerMemory,
    getIndex: () => RouteIndex | undefined,
    metrics: DirectMetrics,
    isOutdated: () => boolean,
): CallerServer {
    const { names, logger, drawRandom } = context;
    const settledLog = createSettledLog(logger);
    return createCallerServer({
        names,
        memory,
        getIndex,
        filters: [
            createCheckHeaders<DirectExchange>(),
            createFindRoute({ isOutdated, drawRandom }),
            createFindTeam(names, isOutdated),
            createReadBody<DirectExchange>(exchange => ({
                maxBytes: exchange.index.document.limits.bodyBytes,
                maxMs: exchange.memory.limits.bodyMs,
            })),
            createRunRequest(context),
        ],
        onSettled(settled) {
            settledLog.logSettled(settled);
            metrics.recordSettled(settled);
        },
        onError: (error, exchange) => logger.logFailure(EventId.RequestFailed, error, { attempt: exchange.id }),
    });
}
