import type { EvacuationReport } from "../../peers/index.js";
import type { StorePosition } from "../../platform/index.js";
import { EventId, type Logger } from "../../telemetry/index.js";
import { roundAge } from "../../utils/time.js";
import type { DirectSettings } from "../DirectSettings.js";
import {
    type EvacuationChange,
    type EvacuationKnowledge,
    type EvacuationSource,
    STORE_SOURCE,
    createEvacuationKnowledge,
} from "./EvacuationKnowledge.js";
import { type ReadGate, createReadGate } from "./ReadGate.js";
import { createReceiptDelay } from "./ReceiptDelay.js";

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

/** Evacuated availability zones, as a router's sends and its exchange with others need them. */
export interface Evacuations
    extends ReadGate, Pick<EvacuationKnowledge, "buildReport" | "isEvacuated" | "isEmpty" | "listZones" | "isKnown"> {
    /**
     * Replaces the zones by those of an answer of the store.
     * @param lastedMs - Duration of the call, in milliseconds.
     */
    applyStoreZones(zones: readonly string[], position: StorePosition, lastedMs: number): void;
    /**
     * Merges what another router told.
     * @param lastedMs - Duration of the call that the report answers, in milliseconds; infinite for a message without a call.
     */
    mergeReport(report: EvacuationReport, source: EvacuationSource, lastedMs: number): void;
    /** Gets the time since the store confirmed the zones, in milliseconds; infinite if it never did. */
    getAgeMs(): number;
    /** Applies what depends on the time; called again and again. */
    update(): void;
}

/** Knowledge of a router whose settings name no bound: there are no evacuations. */
const NO_EVACUATIONS: Evacuations = {
    applyStoreZones: () => undefined,
    mergeReport: () => undefined,
    buildReport: () => undefined,
    isEvacuated: () => false,
    isEmpty: () => true,
    listZones: () => [],
    isKnown: () => true,
    getAgeMs: () => 0,
    update: () => undefined,
    isReadNeeded: () => false,
    waitUntilRead: () => Promise.resolve(),
    recordFailedRead: () => undefined,
};

/**
 * Creates the evacuations that a router knows of, with a log line for each change.
 * @param options - Settings and listeners.
 */
export function createEvacuations(options: EvacuationsOptions): Evacuations {
    const { settings, logger } = options;
    const { evacuateMs } = settings;
    if (evacuateMs === undefined) {
        return NO_EVACUATIONS;
    }
    const knowledge = createEvacuationKnowledge({
        evacuateMs,
        onChange: handleChange,
        onKept: (zones, position) =>
            zones.forEach(zone => logger.logEvent(EventId.EvacuationKept, { zone, ...position })),
    });
    const delay = createReceiptDelay();
    const gate = createReadGate({
        evacuateMs,
        getAgeMs: knowledge.getAgeMs,
        onHeld: ageMs => logger.logEvent(EventId.EvacuationReadNeeded, { ageMs: roundAge(ageMs) }),
    });
    return {
        ...knowledge,
        ...gate,
        applyStoreZones(zones, position, lastedMs) {
            knowledge.applyStoreZones(zones, position, Math.min(lastedMs, delay.getMaxMs()));
        },
        mergeReport(report, source, lastedMs) {
            const ageMs = report.ageMs + Math.min(lastedMs, delay.getMaxMs());
            knowledge.mergeReport({ ...report, ageMs }, source);
        },
        update() {
            delay.recordTurn();
            knowledge.expireKept();
        },
    };

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
        return isKnown ? EventId.EvacuationStarted : EventId.EvacuatedZoneUnknown;
    }
}
