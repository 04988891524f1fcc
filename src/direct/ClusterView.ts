import type { KeyValueService } from "../platform/index.js";
import { type PeerGossip, type GossipMessage, type GossipState, startPeerGossip } from "../peers/index.js";
import type { Logger } from "../telemetry/logger.js";
import { readMonotonicMs, roundAge } from "../utils/time.js";
import type { DirectCodec } from "./DirectCodec.js";
import type { DirectContext } from "./DirectContext.js";
import type { DirectSettings } from "./DirectSettings.js";
import { type PeerFallback, startPeerFallback } from "./PeerFallback.js";
import { type DocumentReply, type DocumentRequest, createDocumentServer } from "./DocumentServer.js";
import { createDocumentKnowledge } from "./DocumentKnowledge.js";
import type { RouteIndexHolder } from "./RouteIndexHolder.js";
import { PLATFORM_SILENCE_MS, createEndpointKnowledge } from "./EndpointKnowledge.js";
import { type StoreSync, startStoreSync } from "./StoreSync.js";
import type { RouterSnapshot } from "./directControl.js";
import { isOnStoreDuty } from "./storeDuty.js";

/** A router's view of routes, endpoints and load, kept up to date from the platform and from other routers. */
export interface ClusterView {
    /**
     * Returns whether the active document may be outdated: a higher version is known, or the platform has confirmed the
     * active one neither to this router nor to a peer lately.
     */
    isDocumentStale(): boolean;
    /**
     * Returns whether the active document may be served. After the start it may not before the platform has confirmed it, to
     * this router or to a peer: a peer that is behind may have sent it. Nor may it before another router was heard from, as the
     * platform may hold an old copy. When nobody confirms one, or is heard from, in time, it may.
     */
    isDocumentUsable(): boolean;
    /**
     * Gets what another router needs of the routes and endpoints known to this one.
     * @param knownVersion - Version of the other router's routes.
     */
    getSnapshot(knownVersion: number): RouterSnapshot;
    /** Answers another router's request for parts of the document; undefined without a document. */
    answerDocumentRequest(request: DocumentRequest): DocumentReply | undefined;
    /** Whether this router reads the store itself instead of learning from its peers. */
    isReadingStore(): boolean;
    /**
     * Time for which the store has been available, in milliseconds: the longest seen by this router or a peer. A router
     * that is disconnected from the store can't distinguish this from an outage, but its peers can.
     */
    getStoreUptimeMs(): number;
    /** Time since the endpoint list was last updated from the store or a peer, in milliseconds. */
    getEndpointAgeMs(): number;
    /** Time since the store confirmed to this router or a peer that the active document is the newest, in milliseconds. */
    getDocumentAgeMs(): number;
    /** Time for which a higher version than the active one has been known, in milliseconds; 0 if none is. */
    getDocumentBehindMs(): number;
    /** Gets the highest number of routers known at one time, this one included. */
    getPeakRouterCount(): number;
    /** Lists the addresses of the other routers, also of silent ones; the same object until it changes. */
    listRouterAddresses(): readonly string[];
    /** Gets the highest number of routers that another router has lately said it knows; 0 if none did. */
    getReportedRouterCount(): number;
    /** Gets the time until the other routers know what this one does now, in milliseconds. */
    getSpreadMs(): number;
    /** Tells whether another router was heard from lately. */
    hearsOthers(): boolean;
    /** Sends what this router knows to the others immediately instead of at the next period. */
    announceNews(): void;
    /** Notifies the other routers immediately that this one is leaving. */
    announceLeaving(): void;
    stop(): Promise<void>;
}

/** Options of the cluster view. */
export interface ClusterViewOptions {
    settings: DirectSettings;
    service: KeyValueService;
    codec: DirectCodec;
    holder: RouteIndexHolder;
    context: DirectContext;
    logger: Logger;
}

/**
 * Fraction of `leavingMs` that a router's list of endpoints may be old before the router reads the store itself. It is
 * above the period of the watch of the routers that do, and the bound holds for a call that starts then.
 */
const MAX_KNOWLEDGE_AGE_FRACTION = 0.4;
/**
 * Fraction of `applyMs` that a router's document may be unconfirmed before the router reads the store itself. It is above the
 * wait of the watch of the routers that do, and the rest is enough for a call that starts then.
 */
const MAX_DOCUMENT_AGE_FRACTION = 0.7;
/**
 * Fraction of `applyMs` for which a router may know of a higher version without getting it from its peers, before it reads the
 * store itself.
 */
const MAX_DOCUMENT_BEHIND_FRACTION = 0.4;
/**
 * Fraction of `evacuateMs` that the knowledge of evacuated zones may be unconfirmed before a router reads the store itself. The
 * rest is enough for one call that hangs, one that is answered, and the connection of a request sent before.
 */
const MAX_EVACUATION_AGE_FRACTION = 0.7;
/** Fraction of `applyMs` from which an unconfirmed document may lack a route or a key that is in force elsewhere. */
const STALE_DOCUMENT_FRACTION = 0.75;
/**
 * Fraction of `applyMs` for which a router that starts waits to hear from another one before it serves: a store that was restored
 * from a copy may hold, and confirm, a lower version than the others know.
 */
const FIRST_HEARING_FRACTION = 0.25;
/** Maximum age of a peer's message that is used to judge the platform's state, in milliseconds. */
const MAX_PEER_MESSAGE_AGE_MS = 1_000;

/**
 * Starts to synchronise with the platform and with peers.
 * @param options - Data sources and the components that are updated.
 */
export function startClusterView(options: ClusterViewOptions): ClusterView {
    const { settings, service, codec, holder, context, logger } = options;
    const { directory, load, suspects, quarantine, limiter, notices, pauses, evacuations } = context;
    const knowledge = createEndpointKnowledge();
    const documentKnowledge = createDocumentKnowledge(() => holder.getVersion());
    const documentServer = createDocumentServer(() => holder.getIndex()?.document);
    const evacuateMs = settings.evacuateMs ?? Number.POSITIVE_INFINITY;
    const maxEvacuationAgeMs = MAX_EVACUATION_AGE_FRACTION * evacuateMs;
    const startedAt = readMonotonicMs();
    let isLeaving = false;
    let hasUsableDocument = false;
    let hasUsableZones = false;
    const storeSync: StoreSync = startStoreSync({
        service,
        codec,
        holder,
        directory,
        leavingMs: settings.leavingMs,
        applyMs: settings.applyMs,
        isOnDuty,
        knowledge,
        documentKnowledge,
        evacuations,
        evacuateMs,
        maxEvacuationAgeMs,
        logger,
    });
    const gossip: PeerGossip = startPeerGossip({
        address: settings.address,
        port: settings.newsPort,
        zone: settings.zone,
        seeds: settings.seeds.map(seed => seed.address),
        buildMessage,
        onMessage: handleMessage,
        logger,
    });
    const fallback: PeerFallback = startPeerFallback({
        processKey: settings.processKey,
        seeds: settings.seeds.map(seed => `${seed.address}:${seed.port}`),
        controlPort: settings.listen.control.port,
        ownAddress: settings.address,
        gossip,
        holder,
        directory,
        ownZone: settings.zone,
        applyMs: settings.applyMs,
        knowledge,
        documentKnowledge,
        evacuations,
        isReadingStore: () => storeSync.isReading(),
        logger,
    });
    return {
        isDocumentStale,
        isDocumentUsable,
        getSnapshot: knownVersion => ({
            document: holder.getVersion() > knownVersion ? holder.getIndex()?.document : undefined,
            endpoints: context.cold.addEntryAges(directory.listRecords(), readMonotonicMs()),
            storeEra: knowledge.getPosition().era,
            endpointRevision: knowledge.getPosition().revision,
            endpointAgeMs: roundAge(knowledge.getAgeMs()),
            evacuations: evacuations.buildReport(),
        }),
        answerDocumentRequest: request => documentServer.answerRequest(request),
        isReadingStore: () => storeSync.isReading(),
        getStoreUptimeMs,
        getEndpointAgeMs: () => knowledge.getAgeMs(),
        getDocumentAgeMs: () => documentKnowledge.getAgeMs(),
        getDocumentBehindMs: () => documentKnowledge.getBehindMs(),
        getPeakRouterCount: () => gossip.getPeakRouterCount(),
        listRouterAddresses: () => gossip.listRouterAddresses(),
        getReportedRouterCount: () => gossip.getReportedRouterCount(),
        getSpreadMs: () => gossip.getSpreadMs(),
        hearsOthers: () => gossip.hasRecent(MAX_PEER_MESSAGE_AGE_MS),
        announceNews: () => gossip.sendNow(),
        announceLeaving() {
            isLeaving = true;
            gossip.sendNow();
        },
        async stop() {
            await Promise.all([gossip.stop(), storeSync.stop(), fallback.stop()]);
        },
    };

    function isOnDuty(): boolean {
        return isOnStoreDuty({
            own: settings,
            knowledgeAgeMs: knowledge.getAgeMs(),
            maxKnowledgeAgeMs: MAX_KNOWLEDGE_AGE_FRACTION * settings.leavingMs,
            documentAgeMs: documentKnowledge.getAgeMs(),
            maxDocumentAgeMs: MAX_DOCUMENT_AGE_FRACTION * settings.applyMs,
            documentBehindMs: documentKnowledge.getBehindMs(),
            maxDocumentBehindMs: MAX_DOCUMENT_BEHIND_FRACTION * settings.applyMs,
            evacuationAgeMs: evacuations.getAgeMs(),
            maxEvacuationAgeMs,
            maxSilenceMs: PLATFORM_SILENCE_MS,
            peers: gossip.listRecent(MAX_PEER_MESSAGE_AGE_MS),
        });
    }

    /** A peer that hasn't heard of a restore doesn't tell how long the restored store has been available. */
    function getStoreUptimeMs(): number {
        const { era } = knowledge.getPosition();
        const peers = gossip
            .listRecent(MAX_PEER_MESSAGE_AGE_MS)
            .filter(({ storeEra }) => knowledge.locateRevision(storeEra, 0).era >= era);
        return Math.max(knowledge.getUptimeMs(), ...peers.map(({ platformUpMs }) => platformUpMs));
    }

    function buildMessage(isToOtherZones: boolean): GossipState {
        return {
            host: settings.host,
            zone: settings.zone,
            version: holder.getVersion(),
            documentAgeMs: roundAge(documentKnowledge.getAgeMs()),
            platformAgeMs: roundAge(storeSync.getAgeMs()),
            platformUpMs: Math.round(knowledge.getUptimeMs()),
            storeEra: knowledge.getPosition().era,
            endpointRevision: knowledge.getPosition().revision,
            endpointAgeMs: roundAge(knowledge.getAgeMs()),
            endpointDigest: directory.getDigest(),
            load: isToOtherZones ? load.getZoneCounts(readMonotonicMs()) : load.getLocalCounts(),
            isZoneLoad: isToOtherZones,
            leaving: notices.listLeaving().filter(([id]) => directory.hasRecord(id)),
            pauses: pauses.listPauses(readMonotonicMs()),
            outages: context.outageGate?.listReports(),
            ...limiter.listReports(isToOtherZones, readMonotonicMs()),
            suspects: suspects.listSuspects(readMonotonicMs()),
            parts: quarantine.listReports(readMonotonicMs()),
            evacuations: evacuations.buildReport(),
            admission: context.admission.byCost?.levels.listReports(isToOtherZones, readMonotonicMs()),
            isLeaving,
        };
    }

    function handleMessage(message: GossipMessage): void {
        const now = readMonotonicMs();
        recordAdmission(message, now);
        if (message.isZoneLoad) {
            load.setZoneLoad(message.zone, message.load, now);
            limiter.setUsage(message.zone, true, message, now);
        } else if (message.zone === settings.zone) {
            load.setPeerLoad(message.address, message.load, now);
            limiter.setUsage(message.address, false, message, now);
        }
        const isKnown = (endpoint: string): boolean => directory.hasRecord(endpoint);
        limiter.mergeLimits(message, isKnown, now);
        storeSync.recordEra(knowledge.locateRevision(message.storeEra, message.endpointRevision));
        notices.mergeLeaving(
            message.leaving.filter(([id]) => isKnown(id)),
            now,
        );
        pauses.mergePauses(
            message.pauses.filter(([id]) => isKnown(id)),
            now,
        );
        context.outageGate?.mergeReports(message.address, message.outages ?? []);
        suspects.mergeSuspects(message.suspects, now);
        quarantine.mergeReports(message.parts, now);
        if (message.evacuations !== undefined) {
            evacuations.mergeReport(message.evacuations, message.address, Number.POSITIVE_INFINITY);
        }
        fallback.handleMessage(message);
    }

    function recordAdmission({ admission, isZoneLoad, zone, address }: GossipMessage, now: number): void {
        if (admission !== undefined && (isZoneLoad || zone === settings.zone)) {
            context.admission.byCost?.levels.setReports(isZoneLoad ? zone : address, isZoneLoad, admission, now);
        }
    }

    function isDocumentUsable(): boolean {
        const upMs = readMonotonicMs() - startedAt;
        const hasHeard = gossip.hasRecent(MAX_PEER_MESSAGE_AGE_MS) || upMs >= FIRST_HEARING_FRACTION * settings.applyMs;
        hasUsableDocument ||= (hasHeard && !isDocumentStale()) || upMs >= settings.applyMs;
        hasUsableZones ||= isZoneKnowledgeUsable(upMs);
        return hasUsableDocument && hasUsableZones;
    }

    /**
     * A router that starts must know the evacuated zones. Old knowledge will do once the document is no longer waited for either,
     * and none once the time for an evacuation is over: then only routers of earlier versions can be reached, or nobody.
     */
    function isZoneKnowledgeUsable(upMs: number): boolean {
        const { evacuateMs, applyMs } = settings;
        if (evacuateMs === undefined || evacuations.getAgeMs() < evacuateMs) {
            return true;
        }
        return upMs >= evacuateMs || (evacuations.isKnown() && upMs >= applyMs);
    }

    function isDocumentStale(): boolean {
        return (
            documentKnowledge.getBehindMs() > 0 ||
            documentKnowledge.getAgeMs() >= STALE_DOCUMENT_FRACTION * settings.applyMs
        );
    }
}
