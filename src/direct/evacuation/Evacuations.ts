import { UNKNOWN_ERA } from "../../platform/index.js";
import { EventId, type Logger } from "../../telemetry/index.js";
import { roundAge } from "../../utils/time.js";
import type { DirectSettings } from "../DirectSettings.js";
import {
    type EvacuationChange,
    type EvacuationKnowledge,
    STORE_SOURCE,
    createEvacuationKnowledge,
} from "./EvacuationKnowledge.js";

/** Options of a router's evacuations. */
export interface EvacuationsOptions {
    settings: Pick<DirectSettings, "evacuateMs" | "zoneRegions">;
    /** Tells whether an endpoint of the zone is known. */
    hasEndpoint: (zone: string) => boolean;
    /** Tells the other routers at once what this one has read in the store. */
    announce: () => void;
    /** Called when a zone's evacuation ends: its endpoints may have become cold meanwhile. */
    onWithdrawn?: (zone: string) => void;
    logger: Logger;
}

/** Knowledge of a router whose settings name no bound: there are no evacuations. */
const NO_EVACUATIONS: EvacuationKnowledge = {
    applyStoreZones: () => undefined,
    mergeReport: () => undefined,
    buildReport: () => undefined,
    isEvacuated: () => false,
    isEmpty: () => true,
    listZones: () => [],
    isKnown: () => true,
    getPosition: () => ({ era: UNKNOWN_ERA, revision: 0 }),
    getAgeMs: () => 0,
    expireKept: () => undefined,
};

/**
 * Creates the evacuations that a router knows of, with a log line for each change.
 * @param options - Settings and listeners.
 */
export function createEvacuations(options: EvacuationsOptions): EvacuationKnowledge {
    const { settings, logger } = options;
    if (settings.evacuateMs === undefined) {
        return NO_EVACUATIONS;
    }
    return createEvacuationKnowledge({
        evacuateMs: settings.evacuateMs,
        onChange: handleChange,
        onKept: (zones, position) =>
            zones.forEach(zone => logger.logEvent(EventId.EvacuationKept, { zone, ...position })),
    });

    function handleChange({ zone, isEvacuated, source, position, ageMs }: EvacuationChange): void {
        const facts = { zone, source, ...position, ageMs: roundAge(ageMs) };
        logger.logEvent(isEvacuated ? getStartEvent(zone) : EventId.EvacuationWithdrawn, facts);
        if (!isEvacuated) {
            options.onWithdrawn?.(zone);
        }
        if (source === STORE_SOURCE) {
            options.announce();
        }
    }

    /** Without a table of zones, only the endpoints tell which zones there are. */
    function getStartEvent(zone: string): EventId {
        const { zoneRegions } = settings;
        const isKnown = zoneRegions === undefined || zoneRegions[zone] !== undefined || options.hasEndpoint(zone);
        return isKnown ? EventId.EvacuationStarted : EventId.EvacuationOfUnknownZone;
    }
}
