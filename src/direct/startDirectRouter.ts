import { createCountedService } from "../platform/index.js";
import { type CallerMemory, createCallerMemory, createLimitReport, resolveCallerLimits } from "../memory/index.js";
import { createCheckHeaders } from "../router/filters/checkHeaders.js";
import { createReadBody } from "../router/filters/readBody.js";
import { EventId } from "../telemetry/EventId.js";
import type { Logger } from "../telemetry/logger.js";
import type { RunningProgram } from "../utils/runUntilSignal.js";
import { readMonotonicMs, waitFor } from "../utils/time.js";
import { type CallerServer, createCallerServer } from "./CallerServer.js";
import type { DirectContext } from "./DirectContext.js";
import type { DirectExchange } from "./DirectExchange.js";
import { type DirectListeners, openListeners } from "./DirectListeners.js";
import { type DirectMetrics, createDirectMetrics } from "./DirectMetrics.js";
import type { DirectSettings } from "./DirectSettings.js";
import { type ClusterView, startClusterView } from "./ClusterView.js";
import { addOutageGauges } from "./outage/index.js";
import type { RouteIndex } from "./RouteIndex.js";
import { createRouteIndexHolder } from "./RouteIndexHolder.js";
import { createSettledLog } from "./SettledLog.js";
import { type PlacementQuery, type PlacementReport, explainPlacement } from "./placement/index.js";
import { buildDirectControl } from "./directControl.js";
import { createFindRoute } from "./filters/findRoute.js";
import { createFindTeam } from "./filters/findTeam.js";
import { createRunRequest } from "./filters/runRequest.js";
import { type DirectPlatform, createDirectContext } from "./wiring/index.js";

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
    const context = createDirectContext(settings, platform, logger, {
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
