import type { ColdBehavior } from "../RoutingDocument.js";
import type { EndpointRecord } from "../EndpointRecord.js";
import { ColdSource } from "./ColdSource.js";

/** What is known of the coldness of endpoints, whether or not their service has a rate for cold ones. */
export interface ColdMarks {
    /** Marks an endpoint as cold for the time that its service names, from now. */
    markStart(record: EndpointRecord, source: ColdSource, now: number): void;
    /**
     * Records the first appearance of an endpoint.
     * @param startedMsAgo - Time since its start, in milliseconds; it is marked only if its service names a longer time.
     */
    markAppearance(record: EndpointRecord, startedMsAgo: number, now: number): void;
    /** Records until when the endpoint's entry or an answer says that it is cold; the last word of each source holds. */
    markUntil(record: EndpointRecord, source: ColdSource.Entry | ColdSource.Answer, until: number): void;
    /** Gets the time until which the endpoint is cold by its entry, in milliseconds; undefined if it doesn't say. */
    getEntryUntil(endpoint: string): number | undefined;
    hasMark(endpoint: string): boolean;
    /** Gets the time until which an endpoint is cold, in milliseconds; in the past if it isn't. */
    getColdUntil(endpoint: string, behavior: ColdBehavior): number;
    listMarked(): [endpoint: string, mark: Readonly<ColdMark>][];
    forget(endpoint: string): void;
    isEmpty(): boolean;
}

/** What is known of the coldness of one endpoint. */
export interface ColdMark {
    service: string;
    /** What marked it last. */
    source: ColdSource;
    /** Time from which the time of its service counts, in milliseconds. */
    since: number;
    /** Age that the endpoint had then, in milliseconds. */
    startedMsAgo: number;
    entryUntil: number;
    answerUntil: number;
}

const NEVER = Number.NEGATIVE_INFINITY;

/** Creates the marks of a router that knows nothing of cold endpoints. */
export function createColdMarks(): ColdMarks {
    const marks = new Map<string, ColdMark>();
    return {
        markStart(record, source, now) {
            Object.assign(getMark(record, source), { source, since: now, startedMsAgo: 0 });
        },
        markAppearance(record, startedMsAgo, now) {
            Object.assign(getMark(record, ColdSource.FirstSeen), {
                source: ColdSource.FirstSeen,
                since: now,
                startedMsAgo,
            });
        },
        markUntil(record, source, until) {
            const change = source === ColdSource.Entry ? { entryUntil: until } : { answerUntil: until };
            Object.assign(getMark(record, source), { source, ...change });
        },
        getEntryUntil(endpoint) {
            const until = marks.get(endpoint)?.entryUntil;
            return until === NEVER ? undefined : until;
        },
        hasMark: endpoint => marks.has(endpoint),
        getColdUntil(endpoint, behavior) {
            const mark = marks.get(endpoint);
            return mark === undefined ? NEVER : computeColdUntil(mark, behavior);
        },
        listMarked: () => [...marks],
        forget: endpoint => void marks.delete(endpoint),
        isEmpty: () => marks.size === 0,
    };

    function getMark(record: EndpointRecord, source: ColdSource): ColdMark {
        const mark = marks.get(record.id) ?? {
            service: record.service,
            source,
            since: NEVER,
            startedMsAgo: 0,
            entryUntil: NEVER,
            answerUntil: NEVER,
        };
        marks.set(record.id, mark);
        return mark;
    }
}

/**
 * Computes until when an endpoint is cold.
 * @param mark - What is known of it.
 * @param behavior - What its service says of cold endpoints.
 */
export function computeColdUntil(mark: Readonly<ColdMark>, behavior: ColdBehavior): number {
    const startUntil = mark.startedMsAgo < behavior.startMs ? mark.since + behavior.startMs : NEVER;
    return Math.max(startUntil, mark.entryUntil, mark.answerUntil);
}
