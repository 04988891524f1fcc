import { readMonotonicMs } from "../../utils/time.js";

/** Detects streams that make no progress, with one timer for all streams. */
export interface StallDetector {
    /**
     * Adds a stream.
     * @param getLastByteAt - Returns the monotonic time of the last byte, in milliseconds.
     * @param onStall - Called when no byte arrived within the time-out; not called again until its promise settles.
     * @returns Function that removes the stream.
     */
    addStream(getLastByteAt: () => number, onStall: () => Promise<void>): () => void;
    stop(): void;
}

interface MonitoredStream {
    getLastByteAt: () => number;
    onStall: () => Promise<void>;
    isProbing: boolean;
}

const SCANS_PER_TIMEOUT = 8;

/**
 * Creates a stall detector.
 * @param stallTimeoutMs - Longest time without a byte, in milliseconds.
 */
export function createStallDetector(stallTimeoutMs: number): StallDetector {
    const streams = new Set<MonitoredStream>();
    const timer = setInterval(scanStreams, stallTimeoutMs / SCANS_PER_TIMEOUT);
    return {
        addStream(getLastByteAt, onStall) {
            const stream = { getLastByteAt, onStall, isProbing: false };
            streams.add(stream);
            return () => streams.delete(stream);
        },
        stop() {
            clearInterval(timer);
        },
    };

    function scanStreams(): void {
        const oldestAllowedAt = readMonotonicMs() - stallTimeoutMs;
        for (const stream of streams) {
            if (!stream.isProbing && stream.getLastByteAt() < oldestAllowedAt) {
                void probeStream(stream);
            }
        }
    }

    async function probeStream(stream: MonitoredStream): Promise<void> {
        stream.isProbing = true;
        await stream.onStall().catch(() => undefined);
        stream.isProbing = false;
    }
}
