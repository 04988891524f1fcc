import t from "tap";
import { type LimitReports, type SharedRateLimiter, createSharedRateLimiter } from "../../src/scheduling/index.js";
import { createRandom } from "../../bench/scheduling/Random.js";
import { buildList } from "../../src/utils/list.js";

const WINDOW_MS = 4_000;
const CONTACT_MS = 3_000;
const STEP_MS = 25;
const LASTS_MS = 40_000;
const ENDPOINT = { id: "e-1" };

interface SimulatedRouter {
    limiter: SharedRateLimiter;
    queued: number;
    zone: number;
    /** Requests per second. */
    demand: number;
}

interface SimulationOptions {
    routers: number;
    zones: number;
    perSecond: number;
    /** Requests per second that come to a router. */
    getDemand: (router: number) => number;
    /** Longest queue of a router; requests beyond it are refused. */
    maxQueue: number;
    /** Time at which a tenth of the routers start anew, in milliseconds. */
    restartAt?: number;
}

/** Simulates routers that share the limit of one endpoint, and returns the times of all requests to it. */
function runRouters(options: SimulationOptions): number[] {
    const random = createRandom(7);
    const ownPeriodMs = Math.min(400, Math.max(50, (5 * options.routers) / options.zones));
    const otherPeriodMs = Math.min(400, Math.max(50, 12 * options.routers));
    const create = (): SharedRateLimiter =>
        createSharedRateLimiter({
            getReportDelayMs: () => ownPeriodMs + otherPeriodMs,
            getShare: () => 1,
            drawRandom: () => random.draw(),
        });
    const routers: SimulatedRouter[] = buildList(options.routers, index => ({
        limiter: create(),
        queued: 0,
        zone: index % options.zones,
        demand: options.getDemand(index),
    }));
    const sent: number[] = [];
    for (let now = 0; now < LASTS_MS; now += STEP_MS) {
        if (now === options.restartAt) {
            routers.filter(router => routers.indexOf(router) % 10 === 0).forEach(router => (router.limiter = create()));
        }
        for (const router of routers) {
            router.queued += random.draw() < (router.demand * STEP_MS) / 1_000 ? 1 : 0;
            router.queued = Math.min(router.queued, options.maxQueue);
            const isOpen =
                router.queued > 0 && router.limiter.drawOpen([ENDPOINT], "app", router.queued, now).length > 0;
            if (isOpen) {
                router.queued--;
                router.limiter.recordSend(ENDPOINT.id, now);
                router.limiter.recordLimit(ENDPOINT.id, options.perSecond, now);
                sent.push(now);
            }
        }
        sendAllReports(routers, now, ownPeriodMs, otherPeriodMs);
    }
    return sent;
}

function sendAllReports(routers: SimulatedRouter[], now: number, ownPeriodMs: number, otherPeriodMs: number): void {
    routers.forEach((router, index) => {
        // Routers send at different times of the period.
        if ((now + index * STEP_MS) % (Math.ceil(ownPeriodMs / STEP_MS) * STEP_MS) === 0) {
            sendReports(
                router.limiter.listReports(false, now),
                `r-${index}`,
                false,
                other => other.zone === router.zone,
            );
        }
        const isSpeaker = routers.findIndex(other => other.zone === router.zone) === index;
        if (isSpeaker && now % (Math.ceil(otherPeriodMs / STEP_MS) * STEP_MS) === 0) {
            sendReports(
                router.limiter.listReports(true, now),
                `z-${router.zone}`,
                true,
                other => other.zone !== router.zone,
            );
        }

        function sendReports(
            reports: LimitReports,
            source: string,
            isOfZone: boolean,
            isReceiver: (other: SimulatedRouter) => boolean,
        ): void {
            for (const other of routers.filter(candidate => candidate !== router && isReceiver(candidate))) {
                other.limiter.setUsage(source, isOfZone, reports, now);
                other.limiter.mergeLimits(reports, () => true, now);
            }
        }
    });
}

function countInWorstWindow(times: readonly number[], from: number): number {
    const late = times.filter(at => at >= from);
    return Math.max(0, ...late.map(start => late.filter(at => at >= start && at < start + WINDOW_MS).length));
}

const cases: (SimulationOptions & { name: string; minUsedShare: number })[] = [
    { name: "8 routers", routers: 8, zones: 3, perSecond: 2, getDemand: () => 6, maxQueue: 20, minUsedShare: 0.75 },
    {
        name: "a rate below one",
        routers: 33,
        zones: 3,
        perSecond: 0.5,
        getDemand: () => 6,
        maxQueue: 50,
        minUsedShare: 0.75,
    },
    { name: "99 routers", routers: 99, zones: 5, perSecond: 3, getDemand: () => 4, maxQueue: 5, minUsedShare: 0.75 },
    {
        name: "all demand at one of 99 routers",
        routers: 99,
        zones: 5,
        perSecond: 3,
        getDemand: index => (index === 40 ? 20 : 0),
        maxQueue: 20,
        minUsedShare: 0.75,
    },
    {
        name: "most demand in one zone",
        routers: 33,
        zones: 3,
        perSecond: 10,
        getDemand: index => (index % 3 === 0 ? 10 : 0.2),
        maxQueue: 20,
        minUsedShare: 0.75,
    },
    {
        name: "a tenth of the routers start anew",
        routers: 33,
        zones: 3,
        perSecond: 2,
        getDemand: () => 6,
        maxQueue: 20,
        restartAt: 20_000,
        minUsedShare: 0.75,
    },
    {
        name: "demand below the limit",
        routers: 8,
        zones: 3,
        perSecond: 40,
        getDemand: () => 2,
        maxQueue: 20,
        minUsedShare: 0.35,
    },
];

for (const { name, minUsedShare, ...options } of cases) {
    t.test(`the requests of all routers stay within a limit and use it: ${name}`, t => {
        const sent = runRouters(options);
        const from = (sent[0] ?? 0) + CONTACT_MS;
        const worst = countInWorstWindow(sent, from);
        const named = (options.perSecond * WINDOW_MS) / 1_000;
        t.ok(worst <= 1.5 * named + 5, `${worst} in a window, named are ${named}`);
        const usedShare = sent.filter(at => at >= from).length / ((LASTS_MS - from) / 1_000) / options.perSecond;
        t.ok(usedShare >= minUsedShare && usedShare <= 1.25, `${usedShare.toFixed(2)} of the limit is used`);
        t.end();
    });
}

function createLimiter(change: { share?: number } = {}): SharedRateLimiter {
    return createSharedRateLimiter({
        getReportDelayMs: () => 100,
        getShare: () => change.share ?? 1,
        drawRandom: () => 0,
    });
}

function hasRoom(limiter: SharedRateLimiter, now: number): boolean {
    return limiter.drawOpen([ENDPOINT], "app", 1, now).length > 0;
}

t.test("the newest word on a limit holds, whoever heard it, and its end ends it", t => {
    const limiter = createLimiter();
    const other = createLimiter();
    t.ok(hasRoom(limiter, 0));
    limiter.recordLimit("e-1", 1, 1_000);
    other.mergeLimits(limiter.listReports(false, 1_100), () => true, 1_100);
    t.equal(other.getLimit("e-1"), 1);
    other.recordLimit("e-1", undefined, 1_200);
    other.mergeLimits(limiter.listReports(false, 1_300), () => true, 1_300);
    t.equal(other.getLimit("e-1"), undefined, "an older report doesn't bring it back");
    limiter.mergeLimits(other.listReports(false, 1_400), () => true, 1_400);
    t.equal(limiter.getLimit("e-1"), undefined);
    t.equal(limiter.countLimited(), 0);
    limiter.recordLimit("e-1", 1, 1_500);
    limiter.forget("e-1");
    t.equal(limiter.getLimit("e-1"), undefined, "an endpoint that starts anew has said nothing");
    limiter.mergeLimits({ limits: { gone: [1, 0, 0] }, attempts: {} }, id => id !== "gone", 1_600);
    t.equal(limiter.countLimited(), 0, "an endpoint that is gone is not remembered");
    t.end();
});

t.test("a router that hears nobody takes a share, and one whose peers fall silent counts them for a window", t => {
    const alone = createLimiter({ share: 0.125 });
    alone.recordLimit("e-1", 4, 0);
    alone.recordSend("e-1", 0);
    alone.recordSend("e-1", 1);
    t.notOk(hasRoom(alone, 10));
    const limiter = createLimiter();
    limiter.recordLimit("e-1", 1, 0);
    limiter.setUsage("peer", false, { limits: { "e-1": [1, 0, 4] }, attempts: {} }, 0);
    t.notOk(hasRoom(limiter, 400));
    t.ok(hasRoom(limiter, 4_600));
    t.end();
});

t.test(
    "the turns of a router are its share of the limits by demand, and without end beside an endpoint without a limit",
    t => {
        const limiter = createLimiter();
        t.equal(limiter.estimateTurns([ENDPOINT], "app", 0, 0), Number.POSITIVE_INFINITY);
        limiter.recordLimit("e-1", 2, 0);
        t.equal(
            limiter.estimateTurns([ENDPOINT], "app", 1_000, 0),
            10,
            "8 in the window and 2 a second, nobody else wants any",
        );
        limiter.setUsage("peer", false, { limits: { "e-1": [2, 0, 8] }, attempts: { app: 3 } }, 0);
        t.equal(limiter.estimateTurns([ENDPOINT], "app", 1_000, 0), 0.5, "a quarter of 2");
        t.equal(limiter.estimateTurns([ENDPOINT, { id: "e-2" }], "app", 1_000, 0), Number.POSITIVE_INFINITY);
        t.end();
    },
);

t.test("an endpoint that takes nothing is asked now and then whether that still holds", t => {
    const limiter = createLimiter();
    limiter.recordLimit("e-1", 0, 0);
    t.notOk(hasRoom(limiter, 9_000));
    t.ok(hasRoom(limiter, 10_000));
    limiter.recordSend("e-1", 10_000);
    t.notOk(hasRoom(limiter, 10_100));
    t.end();
});
