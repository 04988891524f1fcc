import { type Random, createRandom } from "../../../bench/scheduling/Random.js";
import { type ColdEndpoints, createColdEndpoints } from "../../../src/direct/cold/index.js";
import type { EndpointRecord } from "../../../src/direct/index.js";
import { createLogger } from "../../../src/telemetry/logger.js";
import { buildList } from "../../../src/utils/list.js";

/** A router of the play, with what it knows of the others. */
export interface PlayedRouter {
    address: string;
    /** Time of its start, in milliseconds; negative if it has run for long. */
    startedAt: number;
    /** Hears no other router; one that started so knows none. */
    isDeaf: boolean;
    /** Attempts to send per second. */
    perSecond: number;
    cold: ColdEndpoints;
}

/** One request, with the times of its send and its arrival, in milliseconds. */
export interface PlayedSend {
    router: string;
    endpoint: string;
    sentAt: number;
    arrivedAt: number;
}

/** Conditions of a play. */
export interface PlayOptions {
    seed: number;
    endpoints: readonly EndpointRecord[];
    lastsMs: number;
    /** Number of routers that start in the first seconds, and of those that hear nobody. */
    starting: number;
    deaf: number;
    /** Share of the others that a router doesn't know, although they exist. */
    unknownShare: number;
    /** Attempts per second of a router. */
    drawDemand: (random: Random) => number;
}

export const ROUTERS = 46;
export const COLD_SETTINGS = { overshoot: 1.5, slack: 5 };
export const COLD_BEHAVIOR = { startMs: 3_000, perSecond: 18 };
/** Requests that an endpoint with these figures tolerates in any second. */
export const BOUND = 32;
export const SECOND_MS = 1_000;
const STEP_MS = 5;
const POLL_MS = 25;
const START_SPREAD_MS = 2_500;
/** Time in which the others learn of a router, in milliseconds. */
const MAX_LEARN_MS = 1_900;
const MAX_CONNECT_MS = 30;
const MAX_TRAVEL_MS = 4;

/** Builds the entry of an endpoint. */
export function buildEndpoint(id: string, change: Partial<EndpointRecord> = {}): EndpointRecord {
    const place = { service: "llm", host: "127.0.0.1", port: 1, zone: "a", slots: 7 };
    return { id, ...place, isLeaving: false, bornAt: 1, group: undefined, ...change };
}

/** Creates a log whose lines can be read. */
export function createTestLog(lines: string[] = []) {
    return createLogger("test", { writeLine: line => lines.push(line), flush: () => Promise.resolve() });
}

/** Plays the sends of all routers to endpoints that turn cold at the start and stay so. */
export function playColdEndpoints(options: PlayOptions): PlayedSend[] {
    const random = createRandom(options.seed);
    const routers = createRouters(options, random);
    routers.forEach(({ cold }) =>
        options.endpoints.forEach(record => cold.recordAnswer(record, Number.POSITIVE_INFINITY, 0)),
    );
    const sends: PlayedSend[] = [];
    const phases = routers.map(() => Math.floor(random.draw() * (POLL_MS / STEP_MS)) * STEP_MS);
    const waiting = routers.map(() => 0);
    for (let now = 0; now < options.lastsMs; now += STEP_MS) {
        routers.forEach((router, index) => {
            if (now >= router.startedAt && (now + (phases[index] ?? 0)) % POLL_MS === 0) {
                waiting[index] = (waiting[index] ?? 0) + (router.perSecond * POLL_MS) / SECOND_MS;
                waiting[index] -= sendWaiting(router, Math.floor(waiting[index]), now);
            }
        });
    }
    return sends;

    /** Sends waiting requests to any endpoints with room; returns the number of them. */
    function sendWaiting(router: PlayedRouter, wanted: number, now: number): number {
        let sent = 0;
        for (const endpoint of options.endpoints) {
            for (;;) {
                const ticket = sent < wanted ? router.cold.takeSend(endpoint, now) : undefined;
                if (ticket === undefined) {
                    break;
                }
                const sentAt = now + random.draw() * MAX_CONNECT_MS;
                const arrivedAt = sentAt + random.draw() * MAX_TRAVEL_MS;
                ticket.recordWrite(sentAt);
                sends.push({ router: router.address, endpoint: endpoint.id, sentAt, arrivedAt });
                sent++;
            }
        }
        return sent;
    }
}

function createRouters(options: PlayOptions, random: Random): PlayedRouter[] {
    let clock = 0;
    const places = buildList(ROUTERS, index => ({
        address: `10.${index % 3}.0.${Math.floor(index / 3) + 1}`,
        startedAt: index < options.starting ? random.draw() * START_SPREAD_MS : -60_000,
        isDeaf: random.draw() < options.deaf / ROUTERS,
        learnMs: random.draw() * MAX_LEARN_MS,
    }));
    return places.map(place => {
        const hidden = new Set(places.filter(() => random.draw() < options.unknownShare));
        const cold = createColdEndpoints({
            settings: COLD_SETTINGS,
            own: place.address,
            getBehavior: () => COLD_BEHAVIOR,
            listRecords: () => [],
            listRouters: () =>
                places
                    .filter(other => other !== place && !hidden.has(other) && hasHeardOf(place, other))
                    .map(({ address }) => address),
            getReportedRouterCount: () => (place.isDeaf ? 0 : countRouters()),
            hearsOthers: () => !place.isDeaf,
            onHeldBack: () => undefined,
            readWallClock: () => 0,
            logger: createTestLog(),
            startedAt: place.startedAt,
        });
        return {
            ...place,
            perSecond: options.drawDemand(random),
            cold: {
                ...cold,
                takeSend(record, now) {
                    clock = now;
                    return cold.takeSend(record, now);
                },
            },
        };
    });

    /** A router that hears nobody knows what it knew before, and a new one nothing. */
    function hasHeardOf(place: (typeof places)[number], other: (typeof places)[number]): boolean {
        const knownAt = Math.max(other.startedAt + other.learnMs, place.startedAt + other.learnMs);
        return place.isDeaf ? place.startedAt < 0 && other.startedAt < 0 : clock >= knownAt;
    }

    function countRouters(): number {
        return places.filter(({ startedAt, learnMs }) => clock >= startedAt + learnMs).length;
    }
}

/** Counts the most requests to one endpoint that were sent and arrived within any second. */
export function countInWorstSecond(sends: readonly PlayedSend[], endpoint: string): number {
    const own = sends.filter(send => send.endpoint === endpoint).sort((left, right) => left.sentAt - right.sentAt);
    return Math.max(
        0,
        ...own.map(
            ({ sentAt }, index) =>
                own.slice(index, index + 2 * ROUTERS).filter(({ arrivedAt }) => arrivedAt < sentAt + SECOND_MS).length,
        ),
    );
}
