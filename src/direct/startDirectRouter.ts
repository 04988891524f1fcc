import { type KeyValueService, createCountedService } from "../platform/index.js";
import { createReadBody } from "../router/filters/readBody.js";
import { createOutageWatch, createPaceControl, createSuspectTable } from "../scheduling/index.js";
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
import { DirectoryChange, createEndpointDirectory } from "./EndpointDirectory.js";
import { createEndpointHealth } from "./EndpointHealth.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { HeaderNames } from "./HeaderNames.js";
import { type Knowledge, startKnowledge } from "./Knowledge.js";
import { createLoadBoard } from "./LoadBoard.js";
import { createSharedRetryBudget } from "./SharedRetryBudget.js";
import { type RouteIndexHolder, createRouteIndexHolder } from "./RouteIndexHolder.js";
import { createSettledLog } from "./SettledLog.js";
import { createStreamAdmission } from "./StreamAdmission.js";
import { buildDirectControl } from "./directControl.js";
import { createFindRoute } from "./filters/findRoute.js";
import { createFindTeam } from "./filters/findTeam.js";
import { createRunRequest } from "./filters/runRequest.js";

/** What a platform gives to a direct router. */
export interface DirectPlatform {
    service: KeyValueService;
    codec: DirectCodec;
    names: HeaderNames;
}

/** Time allowed for a request's body where the document sets none, in milliseconds. */
const BODY_MS = 10_000;
/** Routers assumed to share the retry budget until more are known; errs low after a start alone. */
const LEAST_ROUTERS = 8;
/** Time that open calls of the process's own get to end, in milliseconds. */
const CLOSE_MS = 200;

/**
 * Starts a router that sends requests straight to endpoints, without agents beside them.
 * @param settings - Checked settings.
 * @param platform - Clients and codecs of the platform.
 * @param logger - Log of the process.
 */
export async function startDirectRouter(
    settings: DirectSettings,
    platform: DirectPlatform,
    logger: Logger,
): Promise<RunningProgram> {
    const { codec, names } = platform;
    let isDraining = false;
    let stopping: Promise<void> | undefined;
    const holder = createRouteIndexHolder((document, source) => {
        callers.applyLimits(document.limits);
        logger.logEvent(EventId.DocumentApplied, { version: document.version, source, routes: document.routes.length });
    });
    const context = createContext(settings, names, logger, {
        countRouters: () => knowledge.countRouters(),
        getEndpointAgeMs: () => knowledge.getEndpointAgeMs(),
        getStoreUpMs: () => knowledge.getStoreUpMs(),
    });
    const metrics: DirectMetrics = createDirectMetrics({
        getConcurrent: () => callers.getConcurrent(),
        getDocumentVersion: () => holder.getVersion(),
        countEndpoints: () => context.directory.countRecords(),
        countRouters: () => knowledge.countRouters(),
        getPlatformAgeMs: () => knowledge.getPlatformAgeMs(),
    });
    const service = createCountedService(platform.service, metrics.recordStoreCall);
    const callers = createCallers(context, holder, metrics, () => knowledge.isOutdated());
    const knowledge: Knowledge = startKnowledge({ settings, service, codec, holder, context, logger });
    const listeners: DirectListeners = await openListeners({
        settings,
        callers,
        metrics: metrics.set,
        control: buildDirectControl(() => knowledge.getKnowledge()),
        isServing: () => !isDraining && holder.getIndex() !== undefined && context.directory.countRecords() > 0,
    });
    logger.logEvent(EventId.ProcessStarted, { zone: settings.zone, address: settings.address });
    return {
        stop() {
            stopping ??= drain();
            return stopping;
        },
    };

    /** Requests go on being served while the balancer turns away; the process ends when all are answered. */
    async function drain(): Promise<void> {
        const startedAt = readMonotonicMs();
        isDraining = true;
        callers.startDraining();
        knowledge.announceLeaving();
        logger.logEvent(EventId.ProcessDraining, { concurrent: callers.getConcurrent() });
        await waitFor(settings.drain.noticeMs);
        callers.stopListening();
        const leftMs = settings.drain.graceMs - (readMonotonicMs() - startedAt);
        await Promise.race([callers.waitUntilIdle(), waitFor(leftMs)]);
        logger.logEvent(EventId.ProcessStopped, { concurrent: callers.getConcurrent() });
        listeners.close();
        await Promise.race([knowledge.stop(), waitFor(CLOSE_MS)]);
        await logger.flush();
    }
}

function createContext(
    settings: DirectSettings,
    names: HeaderNames,
    logger: Logger,
    known: Pick<Knowledge, "countRouters" | "getEndpointAgeMs" | "getStoreUpMs">,
): DirectContext {
    const health = createEndpointHealth();
    const { lapseGraceMs } = settings;
    const directory = createEndpointDirectory({
        onChange: recordChange,
        lapseGraceMs,
        getStoreUpMs: known.getStoreUpMs,
    });
    const load = createLoadBoard();
    const pace = createPaceControl();
    return {
        host: settings.host,
        zone: settings.zone,
        names,
        directory,
        load,
        pace,
        admission: createStreamAdmission({ directory, load, pace }),
        health,
        retries: createSharedRetryBudget({
            ...settings.retries,
            getRouterCount: () => Math.max(LEAST_ROUTERS, known.countRouters()),
        }),
        suspects: createSuspectTable(),
        outages: createOutageWatch(),
        logger,
        getEndpointAgeMs: known.getEndpointAgeMs,
        drawRandom: Math.random,
    };

    function recordChange(change: DirectoryChange, record: EndpointRecord, source: string): void {
        if (change === DirectoryChange.Removed || change === DirectoryChange.Restarted) {
            health.forget(record.id);
        }
        const { id: endpoint, service } = record;
        logger.logEvent(EventId.EndpointChanged, { change, endpoint, service, source });
    }
}

function createCallers(
    context: DirectContext,
    holder: RouteIndexHolder,
    metrics: DirectMetrics,
    isOutdated: () => boolean,
): CallerServer {
    const { names, logger, drawRandom } = context;
    const log = createSettledLog(logger);
    return createCallerServer({
        names,
        getIndex: () => holder.getIndex(),
        filters: [
            createFindRoute({ isOutdated, drawRandom }),
            createFindTeam(names, isOutdated),
            createReadBody<DirectExchange>(exchange => ({
                maxBytes: exchange.index.document.limits.bodyBytes,
                maxMs: BODY_MS,
            })),
            createRunRequest(context),
        ],
        onSettled(settled) {
            log.logSettled(settled);
            metrics.recordSettled(settled);
        },
        onFault: (error, exchange) => logger.logFailure(EventId.RequestFailed, error, { attempt: exchange.id }),
    });
}
