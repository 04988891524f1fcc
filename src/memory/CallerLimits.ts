import { getHeapStatistics } from "node:v8";
import { z } from "zod";

/** Bounds on what callers may make a process hold and do; absent fields take their defaults. */
export const callerLimitsSchema = z.strictObject({
    /** Bytes held for all callers, in MiB. */
    heldMb: z.number().positive().optional(),
    /** Time within which a body must arrive, in milliseconds. */
    bodyMs: z.number().min(1).optional(),
    /** Chunks that a body may have, whatever its size. */
    freeChunks: z.number().int().min(1).optional(),
    /** Bytes that each further chunk must have on the mean. */
    bytesPerChunk: z.number().min(0).optional(),
    /** Bodies with more chunks than that which may arrive at the same time. */
    fragmentedBodies: z.number().int().min(1).optional(),
    /** Requests in progress on one connection. */
    pipelined: z.number().int().min(1).optional(),
    /** Connections of callers. */
    connections: z.number().int().min(1).optional(),
    /** Bytes of a stream that wait for its caller, in bytes. */
    streamBytes: z.number().int().min(1).optional(),
});

/** Bounds as the settings name them. */
export type CallerLimitSettings = z.infer<typeof callerLimitsSchema>;

/** Bounds in force. */
export interface CallerLimits {
    heldBytes: number;
    bodyMs: number;
    freeChunks: number;
    bytesPerChunk: number;
    fragmentedBodies: number;
    pipelined: number;
    connections: number;
    streamBytes: number;
}

/** Resources of the process. */
export interface ProcessResources {
    memoryMb?: number;
    maxFds?: number;
}

/** Limits that callers can reach, as named in the log and the metrics. */
export enum CallerLimit {
    /** A request was refused, as no memory was left for it. */
    MemoryRefused = "memory-refused",
    /** A connection was closed or refused to make room, as it had made no progress for the longest time. */
    MemoryEvicted = "memory-evicted",
    Chunks = "chunks",
    BodyTime = "body-time",
    Pipelined = "pipelined",
    /** An idle connection was closed, or a new one refused. */
    Connections = "connections",
}

const MIB = 1_024 * 1_024;
/** Memory assumed if the settings don't name it, in MiB. */
const DEFAULT_MEMORY_MB = 1_024;
/**
 * Memory of the process itself, in MiB: a started router takes about 90, and copies that the garbage collector has not freed
 * yet about 70 under load.
 */
const OWN_MB = 160;
/** Share of the remaining memory that the account may hold; buffers that it has given up stay until the next collection. */
const HELD_SHARE = 0.4;
/** Share of the heap's limit, as each request and connection also has objects on the heap. */
const HEAP_SHARE = 0.5;
/** The routing document has no limit for it; a body of the largest usual size needs less on a link of 4 Mbit/s. */
const DEFAULT_BODY_MS = 10_000;
/** A body of the largest usual size in chunks of one kilobyte. */
const DEFAULT_FREE_CHUNKS = 4_096;
/** Fewer bytes a chunk cost more processor time for the chunks than for the bytes. */
const DEFAULT_BYTES_PER_CHUNK = 64;
/**
 * One read of such a body is up to 11,000 chunks, some ten milliseconds of work in one turn of the event loop. With two of them,
 * other requests are still answered; a single one is always served.
 */
const DEFAULT_FRAGMENTED_BODIES = 2;
/** Clients that pipeline at all keep a few requests in progress. */
const DEFAULT_PIPELINED = 128;
/** Descriptors for the store, peers and logs (64), and for the connections of the other ports (64, 64 and 128). */
const RESERVED_FDS = 320;
/** Descriptors of a request: the caller's connection and that to an endpoint. */
const FDS_PER_CALLER = 2;
/** Some seconds of a fast stream; an endpoint cuts a response that stays unread for longer. */
const DEFAULT_STREAM_BYTES = 262_144;

/**
 * Computes the bounds in force.
 * @param settings - Bounds that the settings name.
 * @param resources - Resources of the process, as far as they are known.
 */
export function resolveCallerLimits(
    settings: CallerLimitSettings = {},
    resources: ProcessResources = {},
): CallerLimits {
    const freeBytes = Math.max(0, (resources.memoryMb ?? DEFAULT_MEMORY_MB) - OWN_MB) * MIB;
    const heapBytes = getHeapStatistics().heap_size_limit;
    const defaultHeld = Math.min(freeBytes * HELD_SHARE, heapBytes * HEAP_SHARE);
    return {
        heldBytes: settings.heldMb === undefined ? defaultHeld : settings.heldMb * MIB,
        bodyMs: settings.bodyMs ?? DEFAULT_BODY_MS,
        freeChunks: settings.freeChunks ?? DEFAULT_FREE_CHUNKS,
        bytesPerChunk: settings.bytesPerChunk ?? DEFAULT_BYTES_PER_CHUNK,
        fragmentedBodies: settings.fragmentedBodies ?? DEFAULT_FRAGMENTED_BODIES,
        pipelined: settings.pipelined ?? DEFAULT_PIPELINED,
        connections: settings.connections ?? computeConnections(resources.maxFds),
        streamBytes: settings.streamBytes ?? DEFAULT_STREAM_BYTES,
    };
}

function computeConnections(maxFds: number | undefined): number {
    if (maxFds === undefined) {
        return Number.POSITIVE_INFINITY;
    }
    return Math.max(1, Math.floor((maxFds - RESERVED_FDS) / FDS_PER_CALLER));
}
