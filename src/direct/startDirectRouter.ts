import http from "node:http";
import { startControlServer } from "../control/index.js";
import { startPeerNews } from "../peers/index.js";
import type { KeyValueService } from "../platform/index.js";
import { createReadBody } from "../router/filters/readBody.js";
import { createOutageWatch, createSuspectTable } from "../scheduling/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import { listenOn } from "../utils/http.js";
import type { RunningProgram } from "../utils/program.js";
import { readMonotonicMs, waitFor } from "../utils/time.js";
import { createCallerServer } from "./CallerServer.js";
import type { DirectCodec } from "./DirectCodec.js";
import type { DirectContext } from "./DirectContext.js";
import type { DirectExchange } from "./DirectExchange.js";
import type { DirectSettings } from "./DirectSettings.js";
import { DirectoryChange, createEndpointDirectory } from "./EndpointDirectory.js";
import { createEndpointHealth } from "./EndpointHealth.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { HeaderNames } from "./HeaderNames.js";
import { createLoadBoard } from "./LoadBoard.js";
import { PLATFORM_SILENT_MS, startPeerFallback } from "./PeerFallback.js";
import { createRetryShare } from "./RetryShare.js";
import { createRouteIndexHolder } from "./RouteIndexHolder.js";
import type { RoutingDocument } from "./RoutingDocument.js";
import { startStoreSync } from "./StoreSync.js";
import { buildDirectControl } from "./directControl.js";
import { createFindRoute } from "./filters/findRoute.js";
import { createFindTeam } from "./filters/findTeam.js";
import { createRunRequest } from "./filters/runRequest.js";
import { createSettledLog } from "./SettledLog.js";

/** What a platform gives to a direct router. */
export interface DirectPlatform {
    service: KeyValueService;
    codec: DirectCodec;
    names: HeaderNames;
}

/** Age up to which a peer's word counts as news of the platform, in milliseconds. */
const PEER_FRESH_MS = 1_000;
/** Time allowed for a request's body where the document sets none, in milliseconds. */
const BODY_MS = 10_000;
/** Time that open calls of the process's own get to end, in milliseconds. */
const CLOSE_MS = 200;
/** Routers assumed to share the retry budget until more are known; errs low after a start alone. */
const LEAST_ROUTERS = 8;

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
    const { names } = platform;
    let isDraining = false;
    const holder = createRouteIndexHolder(applyDocument);
    const directory = createEndpointDirectory({ onChange: logChange, lapseGraceMs: settings.lapseGraceMs });
    const suspects = createSuspectTable();
    const load = createLoadBoard();
    const context: DirectContext = {
        host: settings.host,
        zone: settings.zone,
        names,
        directory,
        load,
        health: createEndpointHealth(),
        retries: createRetryShare({
            ...settings.retries,
            getRouters: () => Math.max(LEAST_ROUTERS, news.countRouters()),
        }),
        suspects,
        outages: createOutageWatch(),
        logger,
        drawRandom: Math.random,
    };
    const settledLog = createSettledLog(logger);
    const callers = createCallerServer({
        names,
        getIndex: () => holder.getIndex(),
        filters: [
            createFindRoute({ isOutdated, drawRandom: Math.random }),
            createFindTeam(names, isOutdated),
            createReadBody<DirectExchange>(exchange => ({
                maxBytes: exchange.index.document.limits.bodyBytes,
                maxMs: BODY_MS,
            })),
            createRunRequest(context),
        ],
        onSettled: settledLog.logSettled,
        onFault: (error, exchange) => logger.logFailure(EventId.RequestFailed, error, { attempt: exchange.id }),
    });
    const readiness = http.createServer((request, response) => {
        const isReady = request.url === "/readyz" && isServing();
        response.writeHead(isReady ? 200 : 503, { "content-length": "0" }).end();
    });
    const control = http.createServer((request, response) => response.writeHead(404).end());
    await Promise.all([
        listenOn(callers.server, settings.listen.callers.port, settings.listen.callers.address),
        listenOn(readiness, settings.listen.readiness.port, settings.listen.readiness.address),
        listenOn(control, settings.listen.control.port, settings.listen.control.address),
    ]);
    const sync = startStoreSync({ service: platform.service, codec: platform.codec, holder, directory, logger });
    const news = startPeerNews({
        address: settings.address,
        port: settings.newsPort,
        seeds: settings.seeds.map(seed => seed.address),
        buildNews: () => ({
            host: settings.host,
            zone: settings.zone,
            version: holder.getVersion(),
            platformAgeMs: Number.isFinite(sync.getAgeMs()) ? Math.round(sync.getAgeMs()) : -1,
            load: load.listOwn(),
            suspects: suspects.listSuspects(readMonotonicMs()),
            isLeaving: isDraining,
        }),
        onNews(message) {
            const now = readMonotonicMs();
            load.setPeerLoad(message.address, message.load, now);
            suspects.mergeSuspects(message.suspects, now);
            fallback.handleNews(message);
        },
        logger,
    });
    const fallback = startPeerFallback({
        processKey: settings.processKey,
        seeds: settings.seeds.map(seed => `${seed.address}:${seed.port}`),
        controlPort: settings.listen.control.port,
        ownAddress: settings.address,
        news,
        holder,
        directory,
        getPlatformAgeMs: () => sync.getAgeMs(),
        getEndpointRevision: () => sync.getEndpointRevision(),
        logger,
    });
    const controlServer = startControlServer(
        control,
        buildDirectControl(() => ({
            document: holder.getIndex()?.document,
            endpoints: directory.listRecords(),
            endpointRevision: fallback.getEndpointRevision(),
        })),
        [settings.processKey],
    );
    logger.logEvent(EventId.ProcessStarted, { zone: settings.zone, address: settings.address });
    let stopping: Promise<void> | undefined;
    return {
        stop() {
            stopping ??= drain();
            return stopping;
        },
    };

    function isServing(): boolean {
        return !isDraining && holder.getIndex() !== undefined && directory.countRecords() > 0;
    }

    function isOutdated(): boolean {
        if (sync.getAgeMs() < PLATFORM_SILENT_MS) {
            return false;
        }
        const isFresh = (age: number): boolean => age >= 0 && age < PLATFORM_SILENT_MS;
        const peers = news.listHeard(PEER_FRESH_MS);
        return !peers.some(peer => isFresh(peer.platformAgeMs) && peer.version <= holder.getVersion());
    }

    function applyDocument(document: RoutingDocument, source: string): void {
        callers.applyLimits(document.limits);
        const facts = { version: document.version, source, routes: document.routes.length };
        logger.logEvent(EventId.DocumentApplied, facts);
    }

    function logChange(change: DirectoryChange, record: EndpointRecord): void {
        if (change === DirectoryChange.Removed || change === DirectoryChange.Restarted) {
            context.health.forget(record.id);
        }
        logger.logEvent(EventId.EndpointChanged, { change, endpoint: record.id, service: record.service });
    }

    /** Requests go on being served while the balancer turns away; the process ends when all are answered. */
    async function drain(): Promise<void> {
        const startedAt = readMonotonicMs();
        isDraining = true;
        callers.startDraining();
        news.sendNow();
        logger.logEvent(EventId.ProcessDraining, { concurrent: callers.getConcurrent() });
        await waitFor(settings.drain.noticeMs);
        callers.stopListening();
        const leftMs = settings.drain.graceMs - (readMonotonicMs() - startedAt);
        await Promise.race([callers.waitUntilIdle(), waitFor(leftMs)]);
        logger.logEvent(EventId.ProcessStopped, { concurrent: callers.getConcurrent() });
        controlServer.close();
        readiness.close();
        control.close();
        callers.server.closeAllConnections();
        await Promise.race([Promise.all([news.stop(), sync.stop(), fallback.stop()]), waitFor(CLOSE_MS)]);
        await logger.flush();
    }
}
