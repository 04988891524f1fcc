import { readMonotonicMs } from "../../utils/time.js";

/** Finds streams that make no progress, with one timer for all. */
export interface SilenceWatch {
    /**
     * Adds a stream.
     * @param getLastByteAt - Tells the monotonic time of the last byte, in milliseconds.
     * @param onSilence - Called when the stream was silent for too long; not again before it settles.
     * @returns Removes the stream.
     */
    addStream(getLastByteAt: () => number, onSilence: () => Promise<void>): () => void;
    stop(): void;
}

interface WatchedStream {
    getLastByteAt: () => number;
    onSilence: () => Promise<void>;
    isProbing: boolean;
}

const SCANS_PER_SILENCE = 8;

/**
 * Creates the watch.
 * @param silenceMs - Longest silence in milliseconds.
 */
export function createSilenceWatch(silenceMs: number): SilenceWatch {
    const streams = new Set<WatchedStream>();
    const timer = setInterval(scanStreams, silenceMs / SCANS_PER_SILENCE);
    return {
        addStream(getLastByteAt, onSilence) {
            const stream = { getLastByteAt, onSilence, isProbing: false };
            streams.add(stream);
            return () => streams.delete(stream);
        },
        stop() {
            clearInterval(timer);
        },
    };

    function scanStreams(): void {
        const before = readMonotonicMs() - silenceMs;
        for (const stream of streams) {
            if (!stream.isProbing && stream.getLastByteAt() < before) {
                void probeStream(stream);
            }
        }
    }

    async function probeStream(stream: WatchedStream): Promise<void> {
        stream.isProbing = true;
        await stream.onSilence().catch(() => undefined);
        stream.isProbing = false;
    }
}
