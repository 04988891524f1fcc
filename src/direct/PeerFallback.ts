import { type ControlClient, createControlClient } from "../control/index.js";
import type { PeerNews, RouterNews } from "../peers/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import { type Loop, readMonotonicMs, startLoop } from "../utils/time.js";
import type { EndpointDirectory } from "./EndpointDirectory.js";
import type { RouteIndexHolder } from "./RouteIndexHolder.js";
import type { DirectControl, RouterKnowledge } from "./directControl.js";

/** Options of the fallback. */
export interface PeerFallbackOptions {
    processKey: string;
    /** Control addresses of routers that may be known without having been heard. */
    seeds: readonly string[];
    /** Port of the control calls, the same on every router. */
    controlPort: number;
    ownAddress: string;
    news: PeerNews;
    holder: RouteIndexHolder;
    directory: EndpointDirectory;
    /** Time since the platform last answered this router, in milliseconds. */
    getPlatformAgeMs: () => number;
    /** Revision of the platform's store up to which this router knows the endpoints from the store itself. */
    getEndpointRevision: () => number;
    logger: Logger;
}

/** Asks other routers for what the platform does not tell this one. */
export interface PeerFallback {
    /** Looks at news: a higher version of the routes is fetched at once. */
    handleNews(news: RouterNews): void;
    /** Revision up to which the endpoints are known, from the store or a peer. */
    getEndpointRevision(): number;
    /** Time since endpoints were last taken from a peer, in milliseconds. */
    getAgeMs(): number;
    stop(): Promise<void>;
}

/** Silence of the platform after which endpoints are asked from peers, in milliseconds. */
export const PLATFORM_SILENT_MS = 1_500;
const PERIOD_MS = 500;
const CALL_TIMEOUT_MS = 700;
/** Age up to which a peer's own contact with the platform makes its knowledge worth asking for, in milliseconds. */
const FRESH_MS = 2_000;

/**
 * Starts the fallback.
 * @param options - Peers and receivers.
 */
export function startPeerFallback(options: PeerFallbackOptions): PeerFallback {
    const { holder, directory, logger } = options;
    const clients = new Map<string, ControlClient<DirectControl>>();
    let isFetching = false;
    /** Revision of the endpoints last taken from a peer. */
    let takenRevision = 0;
    let takenAt = Number.NEGATIVE_INFINITY;
    const loop: Loop = startLoop(PERIOD_MS, askIfSilent, error =>
        logger.logFailure(EventId.TaskFailed, error, { task: "peer fallback" }),
    );
    return {
        handleNews,
        getEndpointRevision,
        getAgeMs: () => readMonotonicMs() - takenAt,
        async stop() {
            await loop.stop();
            clients.forEach(client => client.close());
        },
    };

    function handleNews(news: RouterNews): void {
        if (news.version > holder.getVersion() && !isFetching) {
            void fetchFrom(`${news.address}:${options.controlPort}`);
        }
    }

    function getEndpointRevision(): number {
        return Math.max(takenRevision, options.getEndpointRevision());
    }

    async function askIfSilent(): Promise<void> {
        if (options.getPlatformAgeMs() < PLATFORM_SILENT_MS) {
            return;
        }
        const address = chooseAddress();
        if (address !== undefined) {
            await fetchFrom(address);
        }
    }

    /** The peer with the freshest word from the platform; before any news, each seed in turn. */
    function chooseAddress(): string | undefined {
        const heard = options.news
            .listHeard(FRESH_MS)
            .filter(news => news.platformAgeMs >= 0 && news.platformAgeMs < FRESH_MS)
            .sort((left, right) => left.platformAgeMs - right.platformAgeMs);
        if (heard[0] !== undefined) {
            return `${heard[0].address}:${options.controlPort}`;
        }
        const seeds = options.seeds.filter(seed => !seed.startsWith(`${options.ownAddress}:`));
        const isKnown = holder.getVersion() > 0 && directory.countRecords() > 0;
        return isKnown || seeds.length === 0
            ? undefined
            : seeds[Math.floor(readMonotonicMs() / PERIOD_MS) % seeds.length];
    }

    async function fetchFrom(address: string): Promise<void> {
        isFetching = true;
        try {
            const client = getClient(address);
            const knowledge = await client.call<RouterKnowledge>(
                (control, signal) => control.getKnowledge.query(undefined, { signal }) as Promise<RouterKnowledge>,
                CALL_TIMEOUT_MS,
            );
            takeKnowledge(knowledge, address);
        } catch (error) {
            logger.logFailure(EventId.PeerUnreachable, error, { peer: address });
        } finally {
            isFetching = false;
        }
    }

    function takeKnowledge(knowledge: RouterKnowledge, address: string): void {
        if (knowledge.document !== undefined) {
            holder.offerDocument(knowledge.document, address);
        }
        // Older knowledge would bring back endpoints that are known to be gone.
        const isNewer = knowledge.endpointRevision > getEndpointRevision();
        if (options.getPlatformAgeMs() >= PLATFORM_SILENT_MS && isNewer) {
            takenRevision = knowledge.endpointRevision;
            takenAt = readMonotonicMs();
            directory.applyListing(knowledge.endpoints, address);
        }
    }

    function getClient(address: string): ControlClient<DirectControl> {
        let client = clients.get(address);
        if (client === undefined) {
            client = createControlClient<DirectControl>(address, options.processKey);
            clients.set(address, client);
        }
        return client;
    }
}
