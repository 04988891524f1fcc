import type { KeyValueService } from "../platform/index.js";
import { type PeerNews, type RouterNews, startPeerNews } from "../peers/index.js";
import type { Logger } from "../telemetry/logger.js";
import { readMonotonicMs } from "../utils/time.js";
import type { DirectCodec } from "./DirectCodec.js";
import type { DirectContext } from "./DirectContext.js";
import type { DirectSettings } from "./DirectSettings.js";
import { PLATFORM_SILENT_MS, type PeerFallback, startPeerFallback } from "./PeerFallback.js";
import type { RouteIndexHolder } from "./RouteIndexHolder.js";
import { type StoreSync, startStoreSync } from "./StoreSync.js";
import type { RouterKnowledge } from "./directControl.js";

/** What a router learns of routes, endpoints and load, from the platform and from other routers. */
export interface Knowledge {
    /** Tells whether the document in force may be outdated, since neither the platform nor a peer was heard lately. */
    isOutdated(): boolean;
    /** Gets what this router knows, for another one. */
    getKnowledge(): RouterKnowledge;
    /** Time since the store last answered, in milliseconds. */
    getPlatformAgeMs(): number;
    /**
     * Time for which the store has been available, in milliseconds: as this router or a peer has found it. A router that
     * is cut off from the store can't tell that from an outage, but a peer can.
     */
    getStoreUpMs(): number;
    /** Time since the store or a peer last told of the endpoints, in milliseconds. */
    getEndpointAgeMs(): number;
    /** Most routers known at one time, this one included. */
    countRouters(): number;
    /** Tells the other routers at once that this one is leaving. */
    announceLeaving(): void;
    stop(): Promise<void>;
}

/** Options of the sources. */
export interface KnowledgeOptions {
    settings: DirectSettings;
    service: KeyValueService;
    codec: DirectCodec;
    holder: RouteIndexHolder;
    context: DirectContext;
    logger: Logger;
}

/** Age up to which a peer's word counts as news of the platform, in milliseconds. */
const PEER_FRESH_MS = 1_000;

/**
 * Starts to learn.
 * @param options - Sources and receivers.
 */
export function startKnowledge(options: KnowledgeOptions): Knowledge {
    const { settings, service, codec, holder, context, logger } = options;
    const { directory, load, suspects } = context;
    let isLeaving = false;
    const sync: StoreSync = startStoreSync({
        service,
        codec,
        holder,
        directory,
        leavingMs: settings.leavingMs,
        logger,
    });
    const news: PeerNews = startPeerNews({
        address: settings.address,
        port: settings.newsPort,
        zone: settings.zone,
        seeds: settings.seeds.map(seed => seed.address),
        buildNews,
        onNews: takeNews,
        logger,
    });
    const fallback: PeerFallback = startPeerFallback({
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
    return {
        isOutdated,
        getKnowledge: () => ({
            document: holder.getIndex()?.document,
            endpoints: directory.listRecords(),
            endpointRevision: fallback.getEndpointRevision(),
        }),
        getPlatformAgeMs: () => sync.getAgeMs(),
        getStoreUpMs: () =>
            Math.max(sync.getUpMs(), ...news.listHeard(PEER_FRESH_MS).map(({ platformUpMs }) => platformUpMs)),
        getEndpointAgeMs: () => Math.min(sync.getAgeMs(), fallback.getAgeMs()),
        countRouters: () => news.countRouters(),
        announceLeaving() {
            isLeaving = true;
            news.sendNow();
        },
        async stop() {
            await Promise.all([news.stop(), sync.stop(), fallback.stop()]);
        },
    };

    function buildNews(): Omit<RouterNews, "address" | "routers"> {
        const ageMs = sync.getAgeMs();
        return {
            host: settings.host,
            zone: settings.zone,
            version: holder.getVersion(),
            platformAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : -1,
            platformUpMs: Math.round(sync.getUpMs()),
            load: load.listOwn(),
            suspects: suspects.listSuspects(readMonotonicMs()),
            isLeaving,
        };
    }

    function takeNews(message: RouterNews): void {
        const now = readMonotonicMs();
        load.setPeerLoad(message.address, message.load, now);
        suspects.mergeSuspects(message.suspects, now);
        fallback.handleNews(message);
    }

    function isOutdated(): boolean {
        if (sync.getAgeMs() < PLATFORM_SILENT_MS) {
            return false;
        }
        const isFresh = (age: number): boolean => age >= 0 && age < PLATFORM_SILENT_MS;
        const peers = news.listHeard(PEER_FRESH_MS);
        return !peers.some(peer => isFresh(peer.platformAgeMs) && peer.version <= holder.getVersion());
    }
}
