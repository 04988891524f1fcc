import {
    createConcurrencyLimiter,
    createOutageDetector,
    createPartQuarantine,
    createSharedRateLimiter,
    createSuspectTable,
} from "../../scheduling/index.js";
import { EventId } from "../../telemetry/EventId.js";
import type { Logger } from "../../telemetry/logger.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { DirectContext } from "../DirectContext.js";
import type { DirectSettings } from "../DirectSettings.js";
import { DirectoryChange, type EndpointDirectory, createEndpointDirectory } from "../EndpointDirectory.js";
import { createEndpointNotices } from "../EndpointNotices.js";
import { createEndpointCandidates, createHomeRule, createLeavingRule, createPauseRule } from "../candidates/index.js";
import { createColdEndpoints, createColdRule } from "../cold/index.js";
import {
    createEvacuationRule,
    createEvacuations,
    createGuardedAdmission,
    createUsableEndpoints,
} from "../evacuation/index.js";
import { createEndpointPauses } from "../EndpointPauses.js";
import { createEndpointMemory, createMemoryRule, createSizeRule } from "../endpointMemory/index.js";
import { createEndpointHealth } from "../EndpointHealth.js";
import type { EndpointRecord } from "../EndpointRecord.js";
import type { ClusterView } from "../ClusterView.js";
import { createLoadTracker } from "../LoadTracker.js";
import { createOutageGate } from "../outage/index.js";
import { createSharedRetryBudget } from "../SharedRetryBudget.js";
import type { ColdBehavior, EngineCostModel } from "../RoutingDocument.js";
import { type AdmissionDecision, type CostAdmission, createCostAdmission } from "../admission/index.js";
import { createRequestAdmission } from "../RequestAdmission.js";
import type { DirectPlatform } from "./DirectPlatform.js";

/**
 * Minimum number of routers assumed to share the retry budget and the limits of endpoints. It may be too high, so that a router that doesn't know its
 * peers yet uses less than its share rather than more.
 */
const MIN_ASSUMED_ROUTERS = 8;

/** What the parts of the context learn from the rest of the router, which starts after them. */
export interface ContextKnowledge extends Pick<
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

/**
 * Creates the components of a direct router that its request filters share.
 * @param settings - Checked settings.
 * @param platform - Codec and header names of the platform.
 * @param logger - Log of the process.
 * @param knowledge - What the rest of the router tells.
 */
export function createDirectContext(
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
