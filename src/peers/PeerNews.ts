import dgram from "node:dgram";
import { z } from "zod";
import { EventId, type Logger } from "../telemetry/index.js";
import { type Loop, readMonotonicMs, startLoop } from "../utils/time.js";

const newsSchema = z.object({
    host: z.string(),
    zone: z.string(),
    address: z.ipv4(),
    /** Version of the routes in force. */
    version: z.number().int(),
    /** Time since the platform last answered this router, in milliseconds; -1 if it never did. */
    platformAgeMs: z.number(),
    /** Time for which the platform has answered this router without a failed call, in milliseconds. */
    platformUpMs: z.number().default(0),
    /** Requests in progress by endpoint. */
    load: z.record(z.string(), z.number()),
    /** Digests of requests under which endpoints were lost. */
    suspects: z.array(z.object({ digest: z.string(), losses: z.number().int(), generation: z.number().int() })),
    /** Some of the addresses of routers that this one has heard lately, others each time. */
    routers: z.array(z.ipv4()),
    isLeaving: z.boolean(),
});

/** What a router tells all others, several times a second. */
export type RouterNews = z.infer<typeof newsSchema>;

/** Options of the news. */
export interface PeerNewsOptions {
    address: string;
    port: number;
    /** Addresses of routers that are known without having been heard. */
    seeds: readonly string[];
    /** Availability zone of this router. */
    zone: string;
    buildNews: () => Omit<RouterNews, "address" | "routers">;
    onNews: (news: RouterNews) => void;
    logger: Logger;
}

/** Routers that tell each other what they see, by datagrams. */
export interface PeerNews {
    /** Sends the news at once, in place of at the next tick. */
    sendNow(): void;
    /** Gets the last news of each router heard within a time. */
    listHeard(withinMs: number): RouterNews[];
    /** Most routers known at one time, this one included. */
    countRouters(): number;
    stop(): Promise<void>;
}

interface Heard {
    news: RouterNews;
    at: number;
}

/**
 * Period of the news for each router of the own zone, in milliseconds: a router takes in at most some 200 such
 * datagrams a second, about a hundredth of its processor time.
 */
const PERIOD_PER_ROUTER_MS = 5;
/** Bounds of the period, in milliseconds: loads change little in the shorter one, and are of no use after the longer. */
const LEAST_PERIOD_MS = 50;
const MOST_PERIOD_MS = 400;
/**
 * Period for each router of any zone, in milliseconds, in which routers of other zones are told: bytes between zones
 * are charged, and few requests go there.
 */
const OTHER_ZONE_PERIOD_PER_ROUTER_MS = 12;
/** Addresses of other routers in one datagram; a new router knows all of a hundred within a second. */
const ADDRESSES_PER_NEWS = 8;
/** Silence after which a router is no longer written to, in milliseconds. */
const FORGET_MS = 30_000;
const MAX_DATAGRAM_BYTES = 60_000;

/**
 * Starts to tell and hear news.
 * @param options - Addresses, source and receiver.
 */
export function startPeerNews(options: PeerNewsOptions): PeerNews {
    const { logger } = options;
    const seeds = new Set(options.seeds.filter(seed => seed !== options.address));
    const known = new Map<string, number>();
    const heard = new Map<string, Heard>();
    let mostRouters = 1;
    let nextAddress = 0;
    let toldAllAt = Number.NEGATIVE_INFINITY;
    const socket = dgram.createSocket("udp4");
    socket.on("error", error => logger.logFailure(EventId.TaskFailed, error, { task: "peer news" }));
    socket.on("message", (bytes, sender) => takeDatagram(bytes, sender.address));
    socket.bind(options.port, options.address);
    const loop: Loop = startLoop(
        () => computePeriod(PERIOD_PER_ROUTER_MS, [...known.keys()].filter(isInZone).length),
        () => Promise.resolve(sendDue()),
        error => logger.logFailure(EventId.TaskFailed, error, { task: "peer news" }),
    );
    return {
        sendNow: () => sendTo(() => true),
        listHeard,
        countRouters: () => mostRouters,
        async stop() {
            await loop.stop();
            socket.close();
        },
    };

    function sendDue(): void {
        const now = readMonotonicMs();
        const isForAll = now - toldAllAt >= computePeriod(OTHER_ZONE_PERIOD_PER_ROUTER_MS, known.size);
        if (isForAll) {
            toldAllAt = now;
        }
        sendTo(address => isForAll || isInZone(address));
    }

    function isInZone(address: string): boolean {
        return heard.get(address)?.news.zone === options.zone;
    }

    function sendTo(isWanted: (address: string) => boolean): void {
        const now = readMonotonicMs();
        for (const [address, at] of known) {
            if (now - at > FORGET_MS) {
                known.delete(address);
                heard.delete(address);
            }
        }
        const news: RouterNews = { ...options.buildNews(), address: options.address, routers: listSomeHeard() };
        const bytes = Buffer.from(JSON.stringify(news));
        if (bytes.length > MAX_DATAGRAM_BYTES) {
            logger.logEvent(EventId.TaskFailed, { task: "peer news", problem: `${bytes.length} bytes don't fit` });
            return;
        }
        for (const address of [...new Set([...seeds, ...known.keys()])].filter(isWanted)) {
            // A datagram that can't be sent is followed by the next one.
            socket.send(bytes, options.port, address, () => undefined);
        }
    }

    /** Lists the routers heard, some at a time, so that a datagram stays small in a large fleet. */
    function listSomeHeard(): string[] {
        const addresses = [...heard.keys()];
        if (addresses.length <= ADDRESSES_PER_NEWS) {
            return addresses;
        }
        const first = nextAddress % addresses.length;
        nextAddress = first + ADDRESSES_PER_NEWS;
        return [...addresses, ...addresses].slice(first, first + ADDRESSES_PER_NEWS);
    }

    function addAddress(address: string): void {
        if (address !== options.address && !known.has(address)) {
            known.set(address, readMonotonicMs());
        }
    }

    function takeDatagram(bytes: Buffer, sender: string): void {
        const news = parseNews(bytes);
        if (news === undefined || news.address !== sender) {
            logger.logEvent(EventId.PeerRejected, { sender, bytes: bytes.length });
            return;
        }
        const now = readMonotonicMs();
        known.set(sender, now);
        heard.set(sender, { news, at: now });
        news.routers.forEach(addAddress);
        mostRouters = Math.max(mostRouters, known.size + 1);
        options.onNews(news);
    }

    function listHeard(withinMs: number): RouterNews[] {
        const now = readMonotonicMs();
        return [...heard.values()].filter(({ at }) => now - at <= withinMs).map(({ news }) => news);
    }
}

function computePeriod(perRouterMs: number, routers: number): number {
    return Math.min(MOST_PERIOD_MS, Math.max(LEAST_PERIOD_MS, perRouterMs * routers));
}

function parseNews(bytes: Buffer): RouterNews | undefined {
    try {
        const parsed = newsSchema.safeParse(JSON.parse(bytes.toString("utf8")));
        return parsed.success ? parsed.data : undefined;
    } catch {
        // Not JSON; the caller logs the sender.
        return undefined;
    }
}
