import t from "tap";
import { createEndpointDirectory } from "../../../src/direct/EndpointDirectory.js";
import { type ColdEndpointsOptions, createColdEndpoints } from "../../../src/direct/cold/index.js";
import { EventId } from "../../../src/telemetry/index.js";
import { buildEndpoint, createTestLog } from "./coldPlay.js";

const RECORD = buildEndpoint("i-1");
const START_MS = 3_000;
/** Wall-clock time of the tests, in milliseconds. */
const WALL_CLOCK = 1_000_000;

/** Creates the cold endpoints of the only router, where a cold endpoint tolerates two requests a second. */
function createCold(change: Partial<ColdEndpointsOptions> = {}) {
    const lines: string[] = [];
    const cold = createColdEndpoints({
        settings: { overshoot: 1, slack: 0 },
        own: "10.0.0.1",
        getBehavior: () => ({ startMs: START_MS, perSecond: 2 }),
        listRecords: () => [RECORD, buildEndpoint("i-2", { zone: "b" })],
        listRouters: () => [],
        getReportedRouterCount: () => 0,
        hearsOthers: () => true,
        onHeldBack: () => lines.push("held back"),
        readWallClock: () => WALL_CLOCK,
        logger: createTestLog(lines),
        startedAt: -60_000,
        ...change,
    });
    return { cold, lines };
}

function listEvents(lines: readonly string[]): number[] {
    return lines.filter(line => line.startsWith("{")).map(line => (JSON.parse(line) as { event: number }).event);
}

// Guards against a count that is checked when the endpoint is chosen, and not when the request is sent.
t.test("requests of one turn get no more than the room, and one that was not for the endpoint gives it back", t => {
    const { cold, lines } = createCold();
    cold.recordAnswer(RECORD, 2_000, 0);
    const tickets = [0, 1, 2].map(() => cold.takeSend(RECORD, 0));
    t.strictSame(
        tickets.map(ticket => ticket !== undefined),
        [true, true, false],
    );
    t.equal(lines.at(-1), "held back");
    tickets[0]?.release();
    t.ok(cold.hasRoom(RECORD, 0));
    t.end();
});

t.test("a send counts for a second from when it is written, and until then without an end", t => {
    const { cold } = createCold();
    cold.recordAnswer(RECORD, 60_000, 0);
    const [first, second] = [cold.takeSend(RECORD, 0), cold.takeSend(RECORD, 0)];
    t.notOk(cold.hasRoom(RECORD, 5_000), "neither is written");
    first?.recordWrite(5_000);
    second?.end(5_500);
    t.notOk(cold.hasRoom(RECORD, 6_000));
    t.ok(cold.hasRoom(RECORD, 6_011));
    t.equal(cold.estimateTurns([RECORD], 300, 6_000), 1);
    t.equal(cold.estimateTurns([RECORD], 60_000, 6_000), Number.POSITIVE_INFINITY, "it is warm by then");
    t.end();
});

// Guards against a full second of sends on top of the sends just before the endpoint was known as cold.
t.test("sends before the endpoint was known as cold count", t => {
    const { cold } = createCold();
    [0, 1, 2, 3].forEach(at => cold.takeSend(RECORD, at)?.recordWrite(at));
    cold.recordAnswer(RECORD, 2_000, 500);
    t.notOk(cold.hasRoom(RECORD, 1_000));
    t.ok(cold.hasRoom(RECORD, 1_013));
    t.end();
});

t.test("nothing is limited without settings or a rate of the service", t => {
    for (const change of [{ settings: undefined }, { getBehavior: () => undefined }]) {
        const { cold } = createCold(change);
        cold.recordEntry({ ...RECORD, bornAt: WALL_CLOCK, coldLeftMs: 3_000 }, undefined, true, 0);
        cold.recordAnswer(RECORD, 3_000, 0);
        cold.recordUnreachable(RECORD, 0);
        cold.markZone(RECORD.zone, 0);
        t.strictSame(
            [0, 1, 2, 3].map(() => cold.takeSend(RECORD, 0) !== undefined),
            [true, true, true, true],
        );
        t.equal(cold.countCold(0), 0);
    }
    t.end();
});

t.test("each source makes an endpoint cold for its time, with a log line at the start and the end", t => {
    const recent = { ...RECORD, bornAt: WALL_CLOCK - START_MS + 1 };
    const sources: [string, number, (cold: ReturnType<typeof createCold>["cold"]) => void][] = [
        ["entry", 700, cold => cold.recordEntry({ ...RECORD, coldLeftMs: 700 }, undefined, false, 0)],
        ["entry", 500, cold => cold.recordEntry({ ...RECORD, coldLeftMs: 700, coldAgeMs: 200 }, undefined, false, 0)],
        ["answer", 900, cold => cold.recordAnswer(RECORD, 900, 0)],
        ["first-seen", START_MS, cold => cold.recordEntry(recent, undefined, false, 0)],
        ["restart", START_MS, cold => cold.recordEntry({ ...RECORD, bornAt: 2 }, RECORD, true, 0)],
        ["unreachable", START_MS, cold => cold.recordUnreachable(RECORD, 0)],
    ];
    for (const [source, lastsMs, record] of sources) {
        const { cold, lines } = createCold();
        record(cold);
        t.equal(cold.countCold(lastsMs - 1), 1, source);
        t.equal(cold.countCold(lastsMs + 100), 0, source);
        t.strictSame(listEvents(lines), [EventId.EndpointCold, EventId.EndpointWarm]);
        t.match(lines[0], new RegExp(`"source":"${source}"`));
    }
    t.end();
});

t.test("an endpoint with an old start time is warm, and the same entry listed again doesn't prolong coldness", t => {
    const { cold } = createCold();
    cold.recordEntry({ ...RECORD, bornAt: WALL_CLOCK - START_MS }, undefined, false, 0);
    t.equal(cold.countCold(0), 0);
    const entry = { ...RECORD, coldLeftMs: 1_000 };
    cold.recordEntry(entry, RECORD, true, 0);
    cold.recordEntry(entry, entry, false, 900);
    t.equal(cold.countCold(1_100), 0);
    cold.recordEntry(entry, entry, true, 2_000);
    t.equal(cold.countCold(2_900), 1, "written again, it does");
    t.end();
});

t.test("an endpoint that could not be reached is cold for its time from the first answer after that", t => {
    const { cold } = createCold();
    cold.recordUnreachable(RECORD, 0);
    cold.recordAnswer(RECORD, undefined, 20_000);
    cold.recordAnswer(RECORD, undefined, 22_000);
    t.equal(cold.countCold(22_900), 1);
    t.equal(cold.countCold(23_100), 0);
    t.end();
});

t.test("the end of an evacuation makes the zone's endpoints cold, with one line, also one that appears after it", t => {
    const { cold, lines } = createCold();
    cold.markZone("b", 0);
    const late = buildEndpoint("i-3", { zone: "b" });
    t.strictSame(listEvents(lines), [EventId.ZoneMarkedCold]);
    cold.recordEntry(late, undefined, false, 1_000);
    t.equal(cold.countCold(2_900), 2);
    t.equal(cold.countCold(START_MS + 100), 1, "the one that appeared later");
    t.end();
});

t.test("a router that just started sends a cold endpoint nothing, as the others don't know it yet", t => {
    const { cold } = createCold({ startedAt: 0 });
    cold.recordAnswer(RECORD, 60_000, 0);
    t.notOk(cold.hasRoom(RECORD, 1_900));
    t.ok(cold.hasRoom(RECORD, 3_100));
    t.end();
});

// Guards against coldness that only routers which read the store know, and against digests that never become equal.
t.test("an entry that tells coldness changes the digest, its age doesn't, and other entries keep theirs", t => {
    const digests = [{}, { coldLeftMs: 0 }, { coldLeftMs: 500 }, { coldLeftMs: 500, coldAgeMs: 100 }].map(change => {
        const directory = createEndpointDirectory({
            onChange: () => undefined,
            lapseGraceMs: 0,
            entryLifetimeMs: 0,
            getStoreUptimeMs: () => 0,
        });
        directory.applyListing([{ ...RECORD, ...change }]);
        return directory.getDigest();
    });
    t.equal(digests[0], digests[1]);
    t.not(digests[1], digests[2]);
    t.equal(digests[2], digests[3]);
    t.end();
});

t.test("another router is told how long ago an entry said that its endpoint is cold", t => {
    const { cold } = createCold();
    const entry = { ...RECORD, coldLeftMs: 1_000 };
    cold.recordEntry(entry, undefined, true, 100);
    t.strictSame(cold.addEntryAges([entry], 400), [{ ...entry, coldAgeMs: 300 }]);
    t.equal(cold.countCold(2_000), 0);
    t.strictSame(cold.addEntryAges([entry], 2_000), [{ ...entry, coldAgeMs: 1_000 }]);
    t.strictSame(cold.addEntryAges([RECORD], 2_000), [RECORD]);
    t.end();
});
