import dgram from "node:dgram";
import { z } from "zod";
import { UNKNOWN_ERA } from "../platform/index.js";
import { levelReportSchema, limitReportSchema, partReportSchema } from "../scheduling/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import { compareByHash } from "../utils/digest.js";
import { createRouterMembers } from "./RouterMembers.js";
import { type Loop, readMonotonicMs, startLoop } from "../utils/time.js";
import { evacuationReportSchema } from "./evacuationReport.js";

const messageSchema = z.object({
    host: z.string(),
    zone: z.string(),
    address: z.ipv4(),
    /** Version of the active routing document. */
    version: z.number().int(),
    /** Time since the store confirmed that this version is the newest, in milliseconds; -1 if it never did. */
    documentAgeMs: z.number().default(-1),
    /** Time since the platform last answered this router, in milliseconds; -1 if it never did. */
    platformAgeMs: z.number(),
    /** Time for which the sender has had news of the platform without a silence or a failed call of its own, in milliseconds. */
    platformUpMs: z.number().default(0),
    /** Highest era of the store's history that the sender knows of; routers of earlier versions don't tell it. */
    storeEra: z.number().int().default(UNKNOWN_ERA),
    /** Revision of the platform's store, in that era, up to which the sender knows the endpoints. */
    endpointRevision: z.number().int().default(0),
    /** Time since the store confirmed the sender's list of endpoints, in milliseconds; -1 if it never did. */
    endpointAgeMs: z.number().default(-1),
    /** Digest of that list. */
    endpointDigest: z.number().default(-1),
    /** Number of requests in progress by endpoint: the sender's, or those of its zone. */
    load: z.record(z.string(), z.number()),
    /** The load is that of all routers of the sender's zone, as known to the sender. */
    isZoneLoad: z.boolean().default(false),
    /** Digests of requests during which endpoints were lost. */
    suspects: z.array(z.object({ digest: z.string(), losses: z.number().int(), generation: z.number().int() })),
    /** Parts of prompts that are suspected of crashing endpoints, or were so lately. */
    parts: z.array(partReportSchema).default([]),
    /** Endpoints with a limit on the rate of requests, as far as the sender has used or learned them lately. */
    limits: z.record(z.string(), limitReportSchema).default({}),
    /** Endpoints, with their start times, that told the sender or another router that they leave. */
    leaving: z.array(z.tuple([z.string(), z.number()])).default([]),
    /** Endpoints that turn the sender's requests away, with the rest of the pause that they want, in milliseconds. */
    pauses: z.array(z.tuple([z.string(), z.number()])).default([]),
    /** Outages of services: time since they began, and time since they ended (-1 while they last), in milliseconds; absent from a router that doesn't hold requests. */
    outages: z.array(z.tuple([z.string(), z.number(), z.number()])).optional(),
    /** Attempts per second to find an endpoint of a service with such limits. */
    attempts: z.record(z.string(), z.number()).default({}),
    /** Evacuated availability zones; absent if the sender knows nothing of them, or is of an earlier version. */
    evacuations: evacuationReportSchema.optional(),
    /** Queues by service, of the sender or of its zone; absent if it doesn't admit by cost. One that can't be read is ignored. */
    admission: z.record(z.string(), levelReportSchema).optional().catch(undefined),
    /** Sample of the addresses of routers that the sender has received messages from; it rotates between messages. */
    routers: z.array(z.ipv4()),
    /** Zones of these routers, in the same order. */
    routerZones: z.array(z.string()).default([]),
    /** Number of routers that the sender knows, itself included; 0 from routers of earlier versions. */
    routerCount: z.number().int().default(0),
    isLeaving: z.boolean(),
});

/** State that a router sends to others several times a second. */
export type GossipMessage = z.infer<typeof messageSchema>;

/** State that a router adds to its messages. */
export type GossipState = Omit<GossipMessage, "address" | "routers" | "routerZones" | "routerCount">;

/** Options of the gossip. */
export interface PeerGossipOptions {
    address: string;
    port: number;
    /** Configured addresses of routers to which messages are always sent. */
    seeds: readonly string[];
    /** Availability zone of this router. */
    zone: string;
    /**
     * Builds the state to be sent.
     * @param isToOtherZones - The receivers hear from one router of this zone only.
     */
    buildMessage: (isToOtherZones: boolean) => GossipState;
    onMessage: (message: GossipMessage) => void;
    logger: Logger;
}

/**
 * Exchanges state between routers by UDP datagrams: each sends to those of its availability zone, and one of each zone, the
 * speaker, to all others, so that the datagrams between zones grow with the number of routers and not with its square.
 */
export interface PeerGossip {
    /** Sends a message to all peers immediately instead of at the next period. */
    sendNow(): void;
    /**
     * Lists the last message of each router from which one was received within the given time, with the times since an
     * event brought up to now.
     */
    listRecent(withinMs: number): GossipMessage[];
    /** Tells whether a message of any router was received within the given time. */
    hasRecent(withinMs: number): boolean;
    /** Gets the highest number of routers known at one time, this one included. */
    getPeakRouterCount(): number;
    /**
     * Lists the addresses of the other routers, also of silent ones that may go on to send requests; the same object until it
     * changes.
     */
    listRouterAddresses(): readonly string[];
    /** Gets the highest number of routers that another router has lately said it knows; 0 if none did. */
    getReportedRouterCount(): number;
    /** Gets the time until all known routers have received a periodic message with what this one does now, in milliseconds. */
    getSpreadMs(): number;
    stop(): Promise<void>;
}

interface ReceivedMessage {
    message: GossipMessage;
    receivedAt: number;
}

/** A router that is known by its address. */
interface KnownRouter {
    /** Undefined if it was neither heard from nor mentioned with its zone. */
    zone: string | undefined;
    seenAt: number;
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
 * Period per known router of sending to other zones, in milliseconds. Longer than within the zone, since traffic between
 * zones is charged and few requests are sent to other zones.
 */
const OTHER_ZONES_PERIOD_PER_ROUTER_MS = 12;
/** Time without a message after which a router is no longer taken for the speaker of its zone, in milliseconds. */
const SPEAKER_SILENCE_MS = 1_000;
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
    const known = new Map<string, KnownRouter>();
    const lastMessages = new Map<string, ReceivedMessage>();
    const members = createRouterMembers();
    let peakRouterCount = 1;
    let nextSampleStart = 0;
    let stopping: Promise<void> | undefined;
    let sentToOtherZonesAt = Number.NEGATIVE_INFINITY;
    const socket = dgram.createSocket("udp4");
    socket.on("error", error => logger.logFailure(EventId.TaskFailed, error, { task: "peer news" }));
    socket.on("message", (bytes, sender) => handleDatagram(bytes, sender.address));
    socket.bind(options.port, options.address);
    const loop: Loop = startLoop(
        () => computePeriod(SAME_ZONE_PERIOD_PER_ROUTER_MS, listAddresses(isInOwnZone).length),
        () => Promise.resolve(sendPeriodic()),
        error => logger.logFailure(EventId.TaskFailed, error, { task: "peer news" }),
    );
    return {
        sendNow() {
            sendToOwnZone();
            sendTo(listAddresses(isInOtherZone), false);
        },
        listRecent,
        hasRecent(withinMs) {
            const now = readMonotonicMs();
            return [...lastMessages.values()].some(({ receivedAt }) => now - receivedAt <= withinMs);
        },
        getPeakRouterCount: () => peakRouterCount,
        listRouterAddresses: () => members.listAddresses(readMonotonicMs()),
        getReportedRouterCount: () => members.getReportedCount(readMonotonicMs()),
        getSpreadMs,
        stop() {
            stopping ??= loop.stop().then(() => void socket.close());
            return stopping;
        },
    };

    /** What this router does reaches its own zone with its next message, and other zones with the next one of its speaker. */
    function getSpreadMs(): number {
        const ownZoneMs = computePeriod(SAME_ZONE_PERIOD_PER_ROUTER_MS, listAddresses(isInOwnZone).length);
        const hasOtherZones = [...known.values()].some(isInOtherZone);
        return ownZoneMs + (hasOtherZones ? computePeriod(OTHER_ZONES_PERIOD_PER_ROUTER_MS, known.size) : 0);
    }

    function sendPeriodic(): void {
        const now = readMonotonicMs();
        expireRouters(now);
        sendToOwnZone();
        if (now - sentToOtherZonesAt >= computePeriod(OTHER_ZONES_PERIOD_PER_ROUTER_MS, known.size)) {
            sentToOtherZonesAt = now;
            sendTo(isSpeaker() ? listAddresses(isInOtherZone) : [], true);
        }
    }

    /** Includes routers whose zone is not known yet, so that they learn of this one. */
    function sendToOwnZone(): void {
        const unknownSeeds = [...seeds].filter(seed => !known.has(seed));
        sendTo([...unknownSeeds, ...listAddresses(router => !isInOtherZone(router))], false);
    }

    function listAddresses(isWanted: (router: KnownRouter) => boolean): string[] {
        return [...known].filter(([, router]) => isWanted(router)).map(([address]) => address);
    }

    function isInOwnZone({ zone }: KnownRouter): boolean {
        return zone === options.zone;
    }

    function isInOtherZone({ zone }: KnownRouter): boolean {
        return zone !== undefined && zone !== options.zone;
    }

    /** Returns whether this router is the first of its zone among those that were heard from lately. */
    function isSpeaker(): boolean {
        return listRecent(SPEAKER_SILENCE_MS).every(
            ({ address, zone, isLeaving }) =>
                zone !== options.zone || isLeaving || compareByHash(options.address, address) < 0,
        );
    }

    function expireRouters(now: number): void {
        for (const [address, { seenAt }] of known) {
            if (now - seenAt > PEER_EXPIRY_MS) {
                known.delete(address);
                lastMessages.delete(address);
            }
        }
    }

    function sendTo(addresses: readonly string[], isToOtherZones: boolean): void {
        if (addresses.length === 0) {
            return;
        }
        const routers = sampleAddresses();
        const message: GossipMessage = {
            ...options.buildMessage(isToOtherZones),
            address: options.address,
            routers,
            routerZones: routers.map(address => known.get(address)?.zone ?? ""),
            routerCount: members.listAddresses(readMonotonicMs()).length + 1,
        };
        const bytes = encodeMessage(message);
        if (bytes.length > MAX_DATAGRAM_BYTES) {
            logger.logEvent(EventId.TaskFailed, {
                task: "peer news",
                problem: `${bytes.length} bytes exceed the datagram limit`,
            });
            return;
        }
        for (const address of addresses) {
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

    function addRouter(address: string, zone: string): void {
        const previous = known.get(address);
        if (address !== options.address && previous?.zone === undefined) {
            const mentioned = zone === "" ? undefined : zone;
            known.set(address, { zone: mentioned, seenAt: previous?.seenAt ?? readMonotonicMs() });
        }
    }

    function handleDatagram(bytes: Buffer, sender: string): void {
        const message = parseMessage(bytes);
        if (message === undefined || message.address !== sender) {
            logger.logEvent(EventId.PeerRejected, { sender, bytes: bytes.length });
            return;
        }
        const now = readMonotonicMs();
        known.set(sender, { zone: message.zone, seenAt: now });
        lastMessages.set(sender, { message, receivedAt: now });
        message.routers.forEach((address, index) => addRouter(address, message.routerZones[index] ?? ""));
        members.recordMessage(sender, message.routerCount, message.isLeaving, now);
        message.routers
            .filter(address => address !== options.address)
            .forEach(address => members.recordMention(address, now));
        peakRouterCount = Math.max(peakRouterCount, known.size + 1);
        options.onMessage(message);
    }

    function listRecent(withinMs: number): GossipMessage[] {
        const now = readMonotonicMs();
        return [...lastMessages.values()]
            .filter(({ receivedAt }) => now - receivedAt <= withinMs)
            .map(({ message, receivedAt }) => ({
                ...message,
                platformAgeMs: addElapsed(message.platformAgeMs, now - receivedAt),
                documentAgeMs: addElapsed(message.documentAgeMs, now - receivedAt),
                endpointAgeMs: addElapsed(message.endpointAgeMs, now - receivedAt),
            }));
    }
}

/** Encodes a message; the suspects that were recorded first are left out if it would be too long for a datagram. */
function encodeMessage(message: GossipMessage): Buffer {
    let { suspects } = message;
    for (;;) {
        const bytes = Buffer.from(JSON.stringify({ ...message, suspects }));
        if (bytes.length <= MAX_DATAGRAM_BYTES || suspects.length === 0) {
            return bytes;
        }
        suspects = suspects.slice(Math.ceil(suspects.length / 2));
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
