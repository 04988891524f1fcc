import { UNKNOWN_ERA } from "../platform/index.js";
import type { EndpointRecord } from "./EndpointRecord.js";

/**
 * Remembers endpoints that leave or have left. The entry of one may be back in a store that was restored from a copy; it counts
 * only once the endpoint is known to have written it, or has been listed for longer than the entry of a dead endpoint is.
 */
export interface DepartedEndpoints {
    /**
     * Records the era of the store's history that is read from now on.
     * @param now - Monotonic time, in milliseconds.
     * @returns Whether it is a new one.
     */
    setEra(era: number, now: number): boolean;
    /** Records that an endpoint leaves, or that its entry was removed. */
    recordDeparture(record: EndpointRecord, now: number): void;
    /** Records an entry that was written in the current era, after the departure. */
    recordWritten(record: EndpointRecord): void;
    /** Records an entry that was listed: one that is back in the era in which its endpoint departed was written since. */
    recordListed(record: EndpointRecord): void;
    /** Tells whether an entry is the one of an endpoint that departed in an earlier era. */
    isDeparted(record: EndpointRecord, now: number): boolean;
    /** Gets the time at which the entries of earlier eras are trusted again, in milliseconds. */
    getTrustedAt(): number;
}

/** Time for which a departure is remembered, in milliseconds; copies of the store are some seconds old. */
const MEMORY_MS = 300_000;

interface Departure {
    bornAt: number;
    era: number;
    at: number;
}

/**
 * Creates the memory of a router that has seen no endpoint leave.
 * @param entryLifetimeMs - Time after which the entry of a dead endpoint is gone from the store, in milliseconds.
 */
export function createDepartedEndpoints(entryLifetimeMs: number): DepartedEndpoints {
    const departures = new Map<string, Departure>();
    let era = UNKNOWN_ERA;
    let trustedAt = Number.NEGATIVE_INFINITY;
    return {
        setEra(next, now) {
            if (next <= era) {
                return false;
            }
            era = next;
            trustedAt = now + entryLifetimeMs;
            return true;
        },
        recordDeparture(record, now) {
            for (const [id, { at }] of departures) {
                if (now - at > MEMORY_MS) {
                    departures.delete(id);
                }
            }
            departures.set(record.id, { bornAt: record.bornAt, era, at: now });
        },
        recordWritten(record) {
            if (!record.isLeaving) {
                departures.delete(record.id);
            }
        },
        recordListed(record) {
            if (!record.isLeaving && departures.get(record.id)?.era === era) {
                departures.delete(record.id);
            }
        },
        isDeparted(record, now) {
            const departure = departures.get(record.id);
            return (
                departure !== undefined && departure.bornAt === record.bornAt && departure.era < era && now < trustedAt
            );
        },
        getTrustedAt: () => trustedAt,
    };
}
