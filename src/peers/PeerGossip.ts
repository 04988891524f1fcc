import dgram from "node:dgram";
import { z } from "zod";
import { EventId, type Logger } from "../telemetry/index.js";
import { type Loop, readMonotonicMs, startLoop } from "../utils/time.js";

const messageSchema = z.object({
    host: z.string(),
    zone: z.string(),
    address: z.ipv4(),
    /** Version of the active routing document. */
    version: z.number().int(),
    /** Time since the platform last answered this router, in milliseconds; -1 if it never did. */
    platformAgeMs: z.number(),
    /** Time for which the sender has had news of the platform without a silence or a failed call of its own, in milliseconds. */
    platformUpMs: z.number().default(0),
    /** Revision of the platform's store up to which the sender knows the endpoints. */
    endpointRevision: z.number().int().default(0),
    /** Time since the store confirmed the sender's list of endpoints, in milliseconds; -1 if it never did. */
    endpointAgeMs: z.number().default(-1),
    /** Digest of that list. */
    endpointDigest: z.number().default(-1),
    /** Number of the sender's requests in progress by endpoint. */
    load: z.record(z.string(), z.number()),
    /** Digests of requests during which endpoints were lost. */
    suspects: z.array(z.object({ digest: z.string(), losses: z.number().int(), generation: z.number().int() })),
    /** Sample of the addresses of routers that the sender has received messages from; it rotates between messages. */
    routers: z.array(z.ipv4()),
    isLeaving: z.boolean(),
});

/** State that a router sends to all others several times a second. */
export type GossipMessage = z.infer<typeof messageSchema>;

/** Options of the gossip. */
export interface PeerGossipOptions {
    address: string;
    port: number;
    /** Configured addresses of routers to which messages are always sent. */
    seeds: readonly string[];
    /** Availability zone of this router. */
    zone: string;
    buildMessage: () => Omit<GossipMessage, "address" | "routers">;
    onMessage: (message: GossipMessage) => void;
    logger: Logger;
}

/** Exchanges state between routers by UDP datagrams. */
export interface PeerGossip {
    /** Sends a message to all peers immediately instead of at the next period. */
    sendNow(): void;
    /**
     * Lists the last message of each router from which one was received within the given time, with the times since an
     * event brought up to now.
     */
    listRecent(withinMs: number): GossipMessage[];
    /** Gets the highest number of routers known at one time, this one included. */
    getPeakRouterCount(): number;
    stop(): Promise<void>;
}

interface ReceivedMessage {
    message: GossipMessage;
    receivedAt: number;
}

/**
 * Sending period per known router of the same availability zone, in milliseconds. Limits the datagrams that a router
 * receives from its zone to about 200 a second, or about 1% of its processor time.
 */
const SAME_ZONE_PERIOD_PER_ROUTER_MS = 5;
/** Bounds of the period, in milliseconds: load changes little within the minimum and is outdated after the maximum. */
const MIN_PERIOD_MS = 50;
const MAX_PERIOD_MS = 400;
/**
 * Period per known router of sending to all zones, in milliseconds. Longer than within the zone, since traffic between
 * zones is charged and few requests are sent to other zones.
 */
const ALL_ZONES_PERIOD_PER_ROUTER_MS = 12;
/** Number of router addresses in one datagram; enough for a new router to discover 100 others within a second. */
const ADDRESSES_PER_DATAGRAM = 8;
/** Time without a message after which a router is removed from the peers, in milliseconds. */
const PEER_EXPIRY_MS = 30_000;
const MAX_DATAGRAM_BYTES = 60_000;

/**
 * Starts to exchange messages with other routers.
 * @param options - Addresses, message builder and listener.
 */
export function startPeerGossip(options: PeerGossipOptions): PeerGossip {
    const { logger } = options;
    const seeds = new Set(options.seeds.filter(seed => seed !== options.address));
    const lastSeenAt = new Map<string, number>();
    const lastMessages = new Map<string, ReceivedMessage>();
    let peakRouterCount = 1;
    let nextSampleStart = 0;
    let sentToAllAt = Number.NEGATIVE_INFINITY;
    const socket = dgram.createSocket("udp4");
    socket.on("error", error => logger.logFailure(EventId.TaskFailed, error, { task: "peer news" }));
    socket.on("message", (bytes, sender) => handleDatagram(bytes, sender.address));
    socket.bind(options.port, options.address);
    const loop: Loop = startLoop(
        () => computePeriod(SAME_ZONE_PERIOD_PER_ROUTER_MS, [...lastSeenAt.keys()].filter(isInOwnZone).length),
        () => Promise.resolve(sendPeriodic()),
        error => logger.logFailure(EventId.TaskFailed, error, { task: "peer news" }),
    );
    return {
        sendNow: () => sendTo(() => true),
        listRecent,
        getPeakRouterCount: () => peakRouterCount,
        async stop() {
            await loop.stop();
            socket.close();
        },
    };

    function sendPeriodic(): void {
        const now = readMonotonicMs();
        const isAllZonesDue = now - sentToAllAt >= computePeriod(ALL_ZONES_PERIOD_PER_ROUTER_MS, lastSeenAt.size);
        if (isAllZonesDue) {
            sentToAllAt = now;
        }
        sendTo(address => isAllZonesDue || isInOwnZone(address));
    }

    function isInOwnZone(address: string): boolean {
        return lastMessages.get(address)?.message.zone === options.zone;
    }

    function sendTo(isRecipient: (address: string) => boolean): void {
        const now = readMonotonicMs();
        for (const [address, seenAt] of lastSeenAt) {
            if (now - seenAt > PEER_EXPIRY_MS) {
                lastSeenAt.delete(address);
                lastMessages.delete(address);
            }
        }
        const message: GossipMessage = {
            ...options.buildMessage(),
            address: options.address,
            routers: sampleAddresses(),
        };
        const bytes = Buffer.from(JSON.stringify(message));
        if (bytes.length > MAX_DATAGRAM_BYTES) {
            logger.logEvent(EventId.TaskFailed, {
                task: "peer news",
                problem: `${bytes.length} bytes exceed the datagram limit`,
            });
            return;
        }
        for (const address of [...new Set([...seeds, ...lastSeenAt.keys()])].filter(isRecipient)) {
            // Send errors are ignored, since the next period sends a newer message.
            socket.send(bytes, options.port, address, () => undefined);
        }
    }

    /** Returns the next few addresses of known peers in rotation, which keeps datagrams small in a large fleet. */
    function sampleAddresses(): string[] {
        const addresses = [...lastMessages.keys()];
        if (addresses.length <= ADDRESSES_PER_DATAGRAM) {
            return addresses;
        }
        const start = nextSampleStart % addresses.length;
        nextSampleStart = start + ADDRESSES_PER_DATAGRAM;
        return [...addresses, ...addresses].slice(start, start + ADDRESSES_PER_DATAGRAM);
    }

    function addAddress(address: string): void {
        if (address !== options.address && !lastSeenAt.has(address)) {
            lastSeenAt.set(address, readMonotonicMs());
        }
    }

    function handleDatagram(bytes: Buffer, sender: string): void {
        const message = parseMessage(bytes);
        if (message === undefined || message.address !== sender) {
            logger.logEvent(EventId.PeerRejected, { sender, bytes: bytes.length });
            return;
        }
        const now = readMonotonicMs();
        lastSeenAt.set(sender, now);
        lastMessages.set(sender, { message, receivedAt: now });
        message.routers.forEach(addAddress);
        peakRouterCount = Math.max(peakRouterCount, lastSeenAt.size + 1);
        options.onMessage(message);
    }

    function listRecent(withinMs: number): GossipMessage[] {
        const now = readMonotonicMs();
        return [...lastMessages.values()]
            .filter(({ receivedAt }) => now - receivedAt <= withinMs)
            .map(({ message, receivedAt }) => ({
                ...message,
                platformAgeMs: addElapsed(message.platformAgeMs, now - receivedAt),
                endpointAgeMs: addElapsed(message.endpointAgeMs, now - receivedAt),
            }));
    }
}

/** Adds to an age, unless it is negative because the event never took place. */
function addElapsed(ageMs: number, elapsedMs: number): number {
    return ageMs < 0 ? ageMs : ageMs + elapsedMs;
}

function computePeriod(perRouterMs: number, routers: number): number {
    return Math.min(MAX_PERIOD_MS, Math.max(MIN_PERIOD_MS, perRouterMs * routers));
}

function parseMessage(bytes: Buffer): GossipMessage | undefined {
    try {
        const parsed = messageSchema.safeParse(JSON.parse(bytes.toString("utf8")));
        return parsed.success ? parsed.data : undefined;
    } catch {
        // Not valid JSON; the caller logs the sender.
        return undefined;
    }
}
