import { type EvacuationReport, MAX_REPORTED_ZONES } from "../../peers/index.js";
import { START_POSITION, type StorePosition, comparePositions } from "../../platform/index.js";
import { readMonotonicMs } from "../../utils/time.js";

/** Where the knowledge of a change comes from: the store, the expiry of what an earlier era named, or a router's address. */
export type EvacuationSource = string;

/** Source of what the store itself told this router. */
export const STORE_SOURCE = "platform";
/** Source of the end of an evacuation that the store's new era has not named. */
export const ERA_SOURCE = "era";

/** Change of the set of evacuated availability zones. */
export interface EvacuationChange {
    zone: string;
    isEvacuated: boolean;
    source: EvacuationSource;
    position: StorePosition;
    /** Time since the store confirmed it, in milliseconds. */
    ageMs: number;
}

/** Options of the knowledge. */
export interface EvacuationKnowledgeOptions {
    /** Time within which no endpoint of an evacuated zone may get a request, in milliseconds. */
    evacuateMs: number;
    onChange: (change: EvacuationChange) => void;
    /** Called when the store's history starts anew, with the zones that stay evacuated for now. */
    onKept: (zones: readonly string[], position: StorePosition) => void;
}

/** Which availability zones are evacuated, as far as the store or another router has told. An evacuation never ends by age. */
export interface EvacuationKnowledge {
    /**
     * Replaces the zones by those that the store named, unless a later position is known.
     * @param ageMs - Longest time since the store named them, in milliseconds.
     */
    applyStoreZones(zones: readonly string[], position: StorePosition, ageMs: number): void;
    /** Merges what another router knows: a set with a later position replaces an earlier one. */
    mergeReport(report: EvacuationReport, source: EvacuationSource): void;
    /** Builds the report for other routers; undefined before anything is known. */
    buildReport(): EvacuationReport | undefined;
    isEvacuated(zone: string): boolean;
    /** Tells whether no zone is evacuated. */
    isEmpty(): boolean;
    listZones(): string[];
    /** Whether the store or a router has told the zones, perhaps none. */
    isKnown(): boolean;
    getPosition(): StorePosition;
    /** Gets the time since the store confirmed the zones, in milliseconds; infinite if it never did. */
    getAgeMs(): number;
    /** Ends the evacuations of an earlier era whose time is over. */
    expireKept(): void;
}

/**
 * Creates the knowledge of a router that knows nothing yet.
 * @param options - Bound and listeners.
 */
export function createEvacuationKnowledge(options: EvacuationKnowledgeOptions): EvacuationKnowledge {
    let position = START_POSITION;
    let isKnown = false;
    let confirmedAt = Number.NEGATIVE_INFINITY;
    /** Zones that the store's current era names. */
    let named: ReadonlySet<string> = new Set();
    /** Zones that the current era has named at any time, which no longer depend on the earlier era. */
    let namedInEra = new Set<string>();
    /** Zones of the earlier era that stay evacuated until the current era has named them or their time is over. */
    let kept: ReadonlySet<string> = new Set();
    let eraReadAt = Number.NEGATIVE_INFINITY;
    let effective: ReadonlySet<string> = new Set();
    return {
        applyStoreZones: (zones, next, ageMs) => applyZones(zones, next, ageMs, 0, STORE_SOURCE),
        mergeReport,
        buildReport,
        isEvacuated(zone) {
            expireKept();
            return effective.has(zone);
        },
        isEmpty() {
            expireKept();
            return effective.size === 0;
        },
        listZones() {
            expireKept();
            return [...effective];
        },
        isKnown: () => isKnown,
        getPosition: () => position,
        getAgeMs,
        expireKept,
    };

    function mergeReport(report: EvacuationReport, source: EvacuationSource): void {
        const next: StorePosition = { era: report.era, revision: report.revision };
        const progress = comparePositions(next, position);
        const { zones = [], eraAgeMs = 0 } = report;
        if (report.isPartial === true) {
            // The rest is unknown, so the position stays; the store's own listing corrects what is added here.
            named = progress > 0 ? new Set([...named, ...zones]) : named;
        } else {
            applyZones(zones, next, report.ageMs, eraAgeMs, source);
        }
        if (next.era === position.era && progress >= 0) {
            mergeKept(report);
        }
        updateEffective(source);
    }

    /** Another router may have known zones of the earlier era that this one, perhaps just started, has not. */
    function mergeKept({ kept: told = [], eraAgeMs = 0 }: EvacuationReport): void {
        if (told.length === 0) {
            return;
        }
        eraReadAt = Math.min(eraReadAt, readMonotonicMs() - eraAgeMs);
        const missing = told.filter(zone => !namedInEra.has(zone));
        if (!isKeptExpired()) {
            kept = new Set([...kept, ...missing]);
        }
    }

    function applyZones(
        zones: readonly string[],
        next: StorePosition,
        ageMs: number,
        eraAgeMs: number,
        source: EvacuationSource,
    ): void {
        const progress = comparePositions(next, position);
        if (isKnown && progress < 0) {
            return;
        }
        const now = readMonotonicMs();
        if (!isKnown || next.era > position.era) {
            startEra(zones, next, now - eraAgeMs);
        }
        if (!isKnown || progress > 0) {
            named = new Set(zones);
            zones.forEach(zone => namedInEra.add(zone));
            kept = new Set([...kept].filter(zone => !namedInEra.has(zone)));
            position = next;
        }
        isKnown = true;
        confirmedAt = Math.max(confirmedAt, now - ageMs);
        updateEffective(source);
    }

    function startEra(zones: readonly string[], next: StorePosition, readAt: number): void {
        kept = new Set([...effective].filter(zone => !zones.includes(zone)));
        namedInEra = new Set();
        eraReadAt = readAt;
        if (kept.size > 0) {
            options.onKept([...kept], next);
        }
    }

    function expireKept(): void {
        if (kept.size > 0 && isKeptExpired()) {
            kept = new Set();
            updateEffective(ERA_SOURCE);
        }
    }

    function isKeptExpired(): boolean {
        return readMonotonicMs() - eraReadAt >= options.evacuateMs;
    }

    function updateEffective(source: EvacuationSource): void {
        const previous = effective;
        effective = new Set([...named, ...kept]);
        const reportChange = (zone: string, isEvacuated: boolean): void =>
            options.onChange({ zone, isEvacuated, source, position, ageMs: getAgeMs() });
        [...effective].filter(zone => !previous.has(zone)).forEach(zone => reportChange(zone, true));
        [...previous].filter(zone => !effective.has(zone)).forEach(zone => reportChange(zone, false));
    }

    function buildReport(): EvacuationReport | undefined {
        if (!isKnown) {
            return undefined;
        }
        expireKept();
        const zones = [...named].slice(0, MAX_REPORTED_ZONES);
        const keptZones = [...kept].slice(0, MAX_REPORTED_ZONES - zones.length);
        return {
            zones: zones.length === 0 ? undefined : zones,
            kept: keptZones.length === 0 ? undefined : keptZones,
            ...position,
            ageMs: Math.round(getAgeMs()),
            eraAgeMs: keptZones.length === 0 ? undefined : Math.round(readMonotonicMs() - eraReadAt),
            isPartial: zones.length < named.size ? true : undefined,
        };
    }

    function getAgeMs(): number {
        return readMonotonicMs() - confirmedAt;
    }
}
