import type { RoutedExchange } from "../DirectExchange.js";

/** Streams in progress, which tell by their silence that their group has stalled. */
export interface ActiveStreams {
    addStream(exchange: RoutedExchange, endpoint: string, now: number): void;
    removeStream(exchange: RoutedExchange): void;
    /** Checks whether the streams of a service are silent. */
    checkStreams(service: string, now: number): StreamCheck;
}

/** State of the streams of a service. Neither field is set if there are too few streams to tell. */
export interface StreamCheck {
    /** Time of the last event of any stream, in milliseconds, if all are silent. */
    silentFrom?: number;
    /** A stream had an event lately. */
    isProgressing?: boolean;
}

/** Endpoints whose streams must all be silent; fewer may be slow for a reason of their own. */
const MIN_SILENT_ENDPOINTS = 3;
/** Silence of a stream, in longest accepted pauses, and at least, in milliseconds. */
const SILENCE_PAUSES = 2.5;
const MIN_SILENCE_MS = 300;

interface ActiveStream {
    endpoint: string;
    sentAt: number;
}

/** Creates an empty set. */
export function createActiveStreams(): ActiveStreams {
    const services = new Map<string, Map<RoutedExchange, ActiveStream>>();
    return {
        addStream(exchange, endpoint, now) {
            const streams = services.get(exchange.service) ?? new Map<RoutedExchange, ActiveStream>();
            streams.set(exchange, { endpoint, sentAt: now });
            services.set(exchange.service, streams);
        },
        removeStream: exchange => void services.get(exchange.service)?.delete(exchange),
        checkStreams,
    };

    function checkStreams(service: string, now: number): StreamCheck {
        const silentEndpoints = new Set<string>();
        let lastAt = Number.NEGATIVE_INFINITY;
        for (const [{ lastEventAt, route, response }, { endpoint, sentAt }] of services.get(service) ?? []) {
            // A stream without an event yet may wait in its endpoint's queue, and one that its caller doesn't read is paused.
            if (lastEventAt !== undefined && lastEventAt > sentAt && !response.writableNeedDrain) {
                if (now - lastEventAt < Math.max(MIN_SILENCE_MS, SILENCE_PAUSES * route.maxPauseMs)) {
                    return { isProgressing: true };
                }
                silentEndpoints.add(endpoint);
                lastAt = Math.max(lastAt, lastEventAt);
            }
        }
        return silentEndpoints.size >= MIN_SILENT_ENDPOINTS ? { silentFrom: lastAt } : {};
    }
}
