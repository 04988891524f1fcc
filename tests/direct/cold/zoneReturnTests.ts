import t from "tap";
import { createRandom } from "../../../bench/scheduling/Random.js";
import { createEndpointCandidates, UNKNOWN_DEMAND } from "../../../src/direct/candidates/index.js";
import { chooseEndpoint } from "../../../src/direct/chooseEndpoint.js";
import { createColdEndpoints, createColdRule } from "../../../src/direct/cold/index.js";
import { createEndpointHealth } from "../../../src/direct/EndpointHealth.js";
import type { EndpointRecord } from "../../../src/direct/EndpointRecord.js";
import { createLoadTracker } from "../../../src/direct/LoadTracker.js";
import { buildList } from "../../../src/utils/list.js";
import {
    BOUND,
    COLD_BEHAVIOR,
    COLD_SETTINGS,
    type PlayedSend,
    ROUTERS,
    SECOND_MS,
    buildEndpoint,
    countInWorstSecond,
    createTestLog,
} from "./coldPlay.js";

/** Time that a request takes, in milliseconds: the endpoints hold more requests than they have slots, so that an empty one stands out. */
const SERVICE_MS = 4_000;
const REQUESTS_PER_SECOND = 200;
/** Requests a second in a burst of one kind on the heaviest deployment. */
const BURST_PER_SECOND = 400;
/** Time after which the endpoints return, once the load of the others is steady, in milliseconds. */
const RETURN_AT_MS = 6_000;
const LASTS_MS = 9_000;
/** Periods in which routers learn of each other's load, in their own zone and in others, in milliseconds. */
const OWN_ZONE_REPORT_MS = 75;
const OTHER_ZONES_REPORT_MS = 400;
const STEP_MS = 5;
const ZONES = ["a", "b", "c"];
const SERVICE = "llm";
const ENDPOINTS = buildList(63, index => buildEndpoint(`i-${index}`, { zone: ZONES[index % 3] ?? "" }));

interface ReturnPlay {
    returning: (record: EndpointRecord) => boolean;
    /** False for the code before cold endpoints were limited. */
    isLimited: boolean;
    perSecond: number;
    returnAtMs: number;
}

/** Routers with the real choice of an endpoint, 200 requests a second, and endpoints that return empty. */
function playReturn(options: ReturnPlay) {
    const { returning, isLimited, perSecond, returnAtMs } = options;
    const random = createRandom(1);
    let serving: readonly EndpointRecord[] = ENDPOINTS.filter(record => !returning(record));
    const addresses = buildList(ROUTERS, index => `10.0.0.${index + 1}`);
    const weights = addresses.map(() => 0.648 + random.draw() * 0.702);
    const routers = addresses.map((address, index) =>
        createRouter(address, ZONES[index % ZONES.length] ?? "", isLimited, () => serving),
    );
    const waiting: { router: number; since: number }[] = [];
    const running: { router: number; endpoint: string; until: number }[] = [];
    const sends: PlayedSend[] = [];
    let longestWaitMs = 0;
    let arrived = 0;
    for (let now = 0; now < LASTS_MS; now += STEP_MS) {
        if (now === returnAtMs) {
            serving = ENDPOINTS;
            routers.forEach(({ cold }) =>
                ENDPOINTS.filter(returning).forEach(record => cold.recordAnswer(record, COLD_BEHAVIOR.startMs, now)),
            );
        }
        endRequests(now);
        if (now % OWN_ZONE_REPORT_MS === 0) {
            reportLoads(now, true);
        }
        if (now % OTHER_ZONES_REPORT_MS === 0) {
            reportLoads(now, false);
        }
        while (Math.floor((now * perSecond) / SECOND_MS) > arrived) {
            arrived++;
            waiting.push({ router: random.drawIndex(weights), since: now });
        }
        [...waiting].forEach(entry => sendRequest(entry, now));
    }
    const worst = Math.max(...ENDPOINTS.map(({ id }) => countInWorstSecond(sends.filter(isAfterReturn), id)));
    return { worst, longestWaitMs, left: waiting.length, returned: countReturned() };

    function isAfterReturn({ sentAt }: PlayedSend): boolean {
        return sentAt >= returnAtMs;
    }

    function countReturned(): number {
        const ids = new Set(ENDPOINTS.filter(returning).map(({ id }) => id));
        return sends.filter(({ endpoint }) => ids.has(endpoint)).length;
    }

    function sendRequest(entry: (typeof waiting)[number], now: number): void {
        const router = routers[entry.router];
        const endpoint = router?.choose(now);
        if (router === undefined || endpoint === undefined || router.cold.takeSend(endpoint, now) === undefined) {
            return;
        }
        router.load.startRequest(endpoint.id);
        waiting.splice(waiting.indexOf(entry), 1);
        running.push({ router: entry.router, endpoint: endpoint.id, until: now + SERVICE_MS });
        longestWaitMs = Math.max(longestWaitMs, now - entry.since);
        sends.push({ router: router.address, endpoint: endpoint.id, sentAt: now, arrivedAt: now });
    }

    function endRequests(now: number): void {
        while ((running[0]?.until ?? LASTS_MS * 2) <= now) {
            const ended = running.shift();
            routers[ended?.router ?? 0]?.load.endRequest(ended?.endpoint ?? "");
        }
    }

    function reportLoads(now: number, isOwnZone: boolean): void {
        for (const router of routers) {
            routers
                .filter(other => other !== router && (other.zone === router.zone) === isOwnZone)
                .forEach(other => router.load.setPeerLoad(other.address, other.load.getLocalCounts(), now));
        }
    }
}

function createRouter(address: string, zone: string, isLimited: boolean, listServing: () => readonly EndpointRecord[]) {
    const others = buildList(ROUTERS, index => `10.0.0.${index + 1}`).filter(other => other !== address);
    const load = createLoadTracker();
    const cold = createColdEndpoints({
        settings: isLimited ? COLD_SETTINGS : undefined,
        own: address,
        getBehavior: () => COLD_BEHAVIOR,
        listRecords: listServing,
        listRouters: () => others,
        getReportedRouterCount: () => ROUTERS,
        hearsOthers: () => true,
        onHeldBack: () => undefined,
        readWallClock: () => 0,
        logger: createTestLog(),
        startedAt: -60_000,
    });
    const candidates = createEndpointCandidates({ listServing }, [createColdRule(cold)]);
    const health = createEndpointHealth();
    return { address, zone, load, cold, choose };

    function choose(now: number): EndpointRecord | undefined {
        return chooseEndpoint(candidates.listCandidates(SERVICE, UNKNOWN_DEMAND, now), {
            host: address,
            zone,
            load,
            health,
            limiter: { getUsedShare: () => 0 },
            isDoubtful: () => false,
            now,
            tried: new Set(),
        });
    }
}

function isFirst({ id }: EndpointRecord): boolean {
    return id === "i-0";
}

t.test("an endpoint that returns empty is chosen by all routers at once without the limit, and not with it", t => {
    const burst = { returning: isFirst, perSecond: BURST_PER_SECOND, returnAtMs: RETURN_AT_MS };
    const before = playReturn({ ...burst, isLimited: false });
    t.ok(before.worst > BOUND, `${before.worst} in a second without the limit`);
    const after = playReturn({ ...burst, isLimited: true });
    t.ok(after.worst <= BOUND, `${after.worst} in a second with it`);
    t.equal(after.longestWaitMs, 0, "the others have room");
    t.end();
});

t.test("a zone of 21 endpoints returns cold while 200 requests a second arrive: no request waits", t => {
    const { worst, longestWaitMs, left, returned } = playReturn({
        returning: ({ zone }) => zone === "b",
        isLimited: true,
        perSecond: REQUESTS_PER_SECOND,
        returnAtMs: RETURN_AT_MS,
    });
    t.ok(worst <= BOUND, `${worst} in a second`);
    t.equal(longestWaitMs, 0);
    t.equal(left, 0);
    t.ok(returned >= REQUESTS_PER_SECOND, `${returned} requests went to the zone`);
    t.end();
});

t.test("all endpoints are cold while 200 requests a second arrive: no request waits", t => {
    const { worst, longestWaitMs, left } = playReturn({
        returning: () => true,
        isLimited: true,
        perSecond: REQUESTS_PER_SECOND,
        returnAtMs: 0,
    });
    t.ok(worst <= BOUND, `${worst} in a second`);
    t.equal(longestWaitMs, 0);
    t.equal(left, 0);
    t.end();
});
