import type { KeyValueEntry, StorePosition } from "../../platform/index.js";
import { EventId, type Logger } from "../../telemetry/index.js";
import type { DirectCodec } from "../DirectCodec.js";
import type { Evacuations } from "./Evacuations.js";

/** Collects the evacuations of each answer of the store, which come into force together with its position. */
export interface StoreEvacuations {
    applyListing(entries: readonly KeyValueEntry[]): void;
    applyEntry(entry: KeyValueEntry): void;
    removeKey(key: string): void;
    /**
     * Brings the zones into force, once all changes of an answer are applied.
     * @param lastedMs - Duration of the call, in milliseconds.
     */
    confirm(position: StorePosition, lastedMs: number): void;
}

/** Longest name of an availability zone; a longer one would fill the messages between routers. */
const MAX_ZONE_LENGTH = 128;

/**
 * Creates the collection.
 * @param codec - Decodes the keys.
 * @param evacuations - Receives the zones of each answer.
 * @param logger - Receives one line for each irregular key.
 */
export function createStoreEvacuations(
    codec: Pick<DirectCodec, "getEvacuatedZone">,
    evacuations: Pick<Evacuations, "applyStoreZones">,
    logger: Logger,
): StoreEvacuations {
    /** Revisions of the keys, by zone. */
    const revisions = new Map<string, number>();
    const rejected = new Map<string, number>();
    return {
        applyListing(entries) {
            const zones = new Set(entries.map(({ key }) => codec.getEvacuatedZone(key)));
            [...revisions.keys()].filter(zone => !zones.has(zone)).forEach(zone => revisions.delete(zone));
            entries.forEach(entry => addEntry(entry, true));
        },
        applyEntry: entry => addEntry(entry, false),
        removeKey(key) {
            const zone = codec.getEvacuatedZone(key);
            if (zone !== undefined) {
                revisions.delete(zone);
                rejected.delete(zone);
            }
        },
        confirm: (position, lastedMs) => evacuations.applyStoreZones([...revisions.keys()], position, lastedMs),
    };

    /** Any value of the key evacuates the zone, so that a misprint in it can't leave the zone in use. */
    function addEntry({ key, revision }: KeyValueEntry, isListed: boolean): void {
        const zone = codec.getEvacuatedZone(key);
        if (zone === undefined) {
            return;
        }
        if (zone === "" || zone.length > MAX_ZONE_LENGTH) {
            logRejected(zone, revision);
            return;
        }
        if (revisions.has(zone) && revisions.get(zone) !== revision && !isListed) {
            logger.logEvent(EventId.EvacuationRepeated, { zone, revision });
        }
        revisions.set(zone, revision);
    }

    function logRejected(zone: string, revision: number): void {
        if (rejected.get(zone) !== revision) {
            rejected.set(zone, revision);
            logger.logEvent(EventId.EvacuationRejected, { zone: zone.slice(0, MAX_ZONE_LENGTH), revision });
        }
    }
}
