import { match } from "ts-pattern";
import { readMonotonicMs, waitFor } from "../../src/utils/time.js";
import type { Random } from "../scheduling/Random.js";
import { getZone } from "./SoakEndpoint.js";
import type { SoakFleet, SoakRouter } from "./SoakFleet.js";
import type { SoakPlatform } from "./SoakPlatform.js";

/** What the soak does to the system from outside. */
export enum FaultKind {
    /** Planned: SIGTERM, and a new start when the process has ended. */
    RouterStop = "router-stop",
    RouterKill = "router-kill",
    RouterFreeze = "router-freeze",
    /** The link of one router to the store. */
    StoreCut = "store-cut",
    StoreSilence = "store-silence",
    StoreDelay = "store-delay",
    /** The store turns all calls away. */
    StoreDown = "store-down",
    StoreHistoryLost = "store-history-lost",
    /** The store comes back from a copy that is some seconds old, after an outage or without one. */
    StoreRestored = "store-restored",
    EndpointCrash = "endpoint-crash",
    EndpointCut = "endpoint-cut",
    EndpointSilence = "endpoint-silence",
    EndpointDelay = "endpoint-delay",
    EndpointSpoils = "endpoint-spoils",
    /** Planned: an endpoint announces that it leaves, and another one comes. */
    EndpointLeaves = "endpoint-leaves",
    /** Planned: a team's key is taken away, and given back later. */
    KeyRevoked = "key-revoked",
    /** Planned: an availability zone gets no requests for a time. */
    ZoneEvacuated = "zone-evacuated",
}

/** A fault that was played; times are monotonic, in milliseconds. */
export interface PlayedFault {
    kind: FaultKind;
    /** Router or endpoint; undefined for the store. */
    target: string | undefined;
    from: number;
    until: number;
}

/** Plays faults one after the other, overlapping, until it is stopped. */
export interface SoakFaults {
    played: PlayedFault[];
    /** Starts no more faults and waits for the ends of those that last. */
    stop(): Promise<void>;
}

/** Options of the faults. */
export interface SoakFaultsOptions {
    fleet: SoakFleet;
    platform: SoakPlatform;
    random: Random;
    /** Draws the restores of the store, apart from the other faults, which stay those of their seed. */
    restoreRandom: Random;
    /** Draws the evacuations, apart from the other faults too. */
    evacuationRandom: Random;
    /** Mean time between two faults, in milliseconds. */
    meanGapMs: number;
}

const LEAST_MS = 300;
const MEAN_MS = 1_200;
const MOST_MS = 3_000;
/** Mean time between two restores of the store, in milliseconds; some follow one another closely. */
const MEAN_RESTORE_GAP_MS = 5_000;
/** Mean time between two evacuations, in milliseconds; some overlap. */
const MEAN_EVACUATION_GAP_MS = 3_000;
const DELAY_MS = 150;
const SPOILED_PART = 0.3;
const RESTART_MS = 300;
const STATUS_UNAVAILABLE = 503;

/** Faults that are announced to the system, and excuse nothing. */
export const PLANNED = new Set([
    FaultKind.RouterStop,
    FaultKind.EndpointLeaves,
    FaultKind.KeyRevoked,
    FaultKind.ZoneEvacuated,
]);

/**
 * Starts to play faults.
 * @param options - Fleet and seeded random numbers.
 */
export function startSoakFaults(options: SoakFaultsOptions): SoakFaults {
    const { fleet, platform, random } = options;
    const separate = [FaultKind.StoreRestored, FaultKind.ZoneEvacuated];
    const kinds = Object.values(FaultKind).filter(kind => !separate.includes(kind));
    const played: PlayedFault[] = [];
    const lasting = new Set<Promise<void>>();
    let timer: NodeJS.Timeout | undefined;
    let restoreTimer: NodeJS.Timeout | undefined;
    let evacuationTimer: NodeJS.Timeout | undefined;
    planNext();
    planRestore();
    planEvacuation();
    return {
        played,
        async stop() {
            clearTimeout(timer);
            clearTimeout(restoreTimer);
            clearTimeout(evacuationTimer);
            await Promise.all(lasting);
        },
    };

    function planNext(): void {
        timer = setTimeout(() => {
            const kind = kinds[random.drawIndex(kinds.map(() => 1))];
            if (kind !== undefined) {
                startFault(kind, random);
            }
            planNext();
        }, random.drawExponential(options.meanGapMs));
    }

    function planRestore(): void {
        restoreTimer = setTimeout(() => {
            startFault(FaultKind.StoreRestored, options.restoreRandom);
            planRestore();
        }, options.restoreRandom.drawExponential(MEAN_RESTORE_GAP_MS));
    }

    function planEvacuation(): void {
        evacuationTimer = setTimeout(() => {
            startFault(FaultKind.ZoneEvacuated, options.evacuationRandom);
            planEvacuation();
        }, options.evacuationRandom.drawExponential(MEAN_EVACUATION_GAP_MS));
    }

    function startFault(kind: FaultKind, drawn: Random): void {
        const fault = playFault(kind, drawn);
        lasting.add(fault);
        void fault.finally(() => lasting.delete(fault));
    }

    async function playFault(kind: FaultKind, drawn: Random): Promise<void> {
        const lastsMs = Math.min(MOST_MS, LEAST_MS + drawn.drawExponential(MEAN_MS));
        const router = fleet.routers[drawn.drawIndex(fleet.routers.map(() => 1))];
        const endpoint = platform.drawEndpoint(drawn);
        const fault: PlayedFault = {
            kind,
            target: undefined,
            from: readMonotonicMs(),
            until: Number.POSITIVE_INFINITY,
        };
        if (router === undefined || endpoint === undefined) {
            return;
        }
        fault.target = kind.startsWith("endpoint") ? endpoint.id : router.name;
        played.push(fault);
        await match(kind)
            .with(FaultKind.RouterStop, () => endRouter(router, "SIGTERM"))
            .with(FaultKind.RouterKill, () => endRouter(router, "SIGKILL"))
            .with(FaultKind.RouterFreeze, () => holdRouter(router, lastsMs))
            .with(FaultKind.StoreCut, () => playCut(router.storeLink, lastsMs))
            .with(FaultKind.StoreSilence, () => Promise.resolve(router.storeLink.silenceOpen()))
            .with(FaultKind.StoreDelay, () => playDelay(router.storeLink, lastsMs))
            .with(FaultKind.StoreDown, () => playStoreDown(lastsMs))
            .with(FaultKind.StoreHistoryLost, () => playHistoryLost(lastsMs))
            .with(FaultKind.StoreRestored, () => playRestore(lastsMs))
            .with(FaultKind.EndpointCrash, () => platform.dropEndpoint(endpoint))
            .with(FaultKind.EndpointCut, () => playCut(endpoint.link, lastsMs))
            .with(FaultKind.EndpointSilence, () => Promise.resolve(endpoint.link.silenceOpen()))
            .with(FaultKind.EndpointDelay, () => playDelay(endpoint.link, lastsMs))
            .with(FaultKind.EndpointSpoils, async () => {
                endpoint.spoiledPart = SPOILED_PART;
                await waitFor(lastsMs);
                endpoint.spoiledPart = 0;
            })
            .with(FaultKind.EndpointLeaves, () => platform.replaceEndpoint(endpoint))
            .with(FaultKind.KeyRevoked, () => platform.removeKey(lastsMs))
            .with(FaultKind.ZoneEvacuated, () => platform.evacuateZone(getZone(endpoint.id), lastsMs))
            .exhaustive();
        fault.until = readMonotonicMs();
    }

    async function endRouter(router: SoakRouter, signal: "SIGTERM" | "SIGKILL"): Promise<void> {
        if (router.isEnding) {
            return;
        }
        router.isEnding = true;
        router.process.signal(signal);
        await router.process.waitForExit();
        await waitFor(RESTART_MS);
        await fleet.restartRouter(router);
    }

    async function holdRouter(router: SoakRouter, lastsMs: number): Promise<void> {
        const { process } = router;
        process.signal("SIGSTOP");
        await waitFor(lastsMs);
        process.signal("SIGCONT");
    }

    async function playCut(link: { cut(): void; restore(): void }, lastsMs: number): Promise<void> {
        link.cut();
        await waitFor(lastsMs);
        link.restore();
    }

    async function playDelay(link: { faults: { delayMs: number }; restore(): void }, lastsMs: number): Promise<void> {
        link.faults.delayMs = DELAY_MS;
        await waitFor(lastsMs);
        link.restore();
    }

    async function playStoreDown(lastsMs: number): Promise<void> {
        fleet.store.faults.status = STATUS_UNAVAILABLE;
        await waitFor(lastsMs);
        fleet.store.faults.status = undefined;
    }

    /** The outage is as long as drawn, or too short for a call to fail. */
    async function playRestore(lastsMs: number): Promise<void> {
        if (lastsMs > MEAN_MS) {
            await playStoreDown(lastsMs);
        }
        await platform.restoreStore(lastsMs);
    }

    async function playHistoryLost(lastsMs: number): Promise<void> {
        fleet.store.faults.isHistoryLost = true;
        await waitFor(lastsMs);
        fleet.store.faults.isHistoryLost = false;
    }
}
