import t from "tap";
import { type LogExplanation, LogCause, explainLogs, readLogLines } from "../../src/logs/index.js";
import { Cause } from "../../src/protocol/index.js";
import { EventId } from "../../src/telemetry/EventId.js";

const START = Date.parse("2026-05-30T22:27:00.000Z");

function buildLine(atMs: number, host: string, event: EventId, facts: Record<string, unknown> = {}): string {
    const time = new Date(START + atMs).toISOString();
    return JSON.stringify({ time, event, name: EventId[event], host, ...facts });
}

function buildRequest(atMs: number, cause: Cause, facts: Record<string, unknown> = {}): string {
    const event = cause === Cause.Late ? EventId.RequestAnswered : EventId.RequestRefused;
    return buildLine(atMs, "router-1", event, { attempt: `a-${atMs}`, team: "one", cause, sends: "", ...facts });
}

function explainText(text: readonly string[], selection = {}): LogExplanation[] {
    return explainLogs(readLogLines(text.join("\n")).lines, selection);
}

const HOSTS = ["router-1", "router-2", "router-3"];
const STORE_LOSS = (hosts: readonly string[]): string[] =>
    hosts.map(host => buildLine(9_000, host, EventId.PlatformUnavailable));
const ALL_HOSTS = HOSTS.map(host => buildLine(0, host, EventId.ProcessStarted));

const CASES: Record<string, { lines: string[]; cause: LogCause }> = {
    "a key that was taken away": {
        lines: [buildLine(9_500, "router-1", EventId.DocumentApplied), buildRequest(10_000, Cause.UnknownTeam)],
        cause: LogCause.NotInForce,
    },
    "an evacuated zone": {
        lines: [buildLine(9_000, "router-1", EventId.EvacuationStarted), buildRequest(10_000, Cause.ZoneEvacuated)],
        cause: LogCause.ZoneEvacuated,
    },
    "a loss of power": {
        lines: [
            ...HOSTS.map(host => buildLine(11_000, host, EventId.ProcessStarted)),
            buildRequest(10_000, Cause.NoEndpoint),
        ],
        cause: LogCause.ProcessesStarted,
    },
    "a part of prompts that is refused": {
        lines: [buildRequest(10_000, Cause.CrashSuspected)],
        cause: LogCause.CrashingPart,
    },
    "a part of prompts that took a group down": {
        lines: [
            buildLine(8_000, "router-2", EventId.PartStatusChanged, { part: "app/p1", status: "refused", crashes: 1 }),
            buildLine(9_000, "agent-1", EventId.GroupIncomplete),
            buildRequest(10_000, Cause.NoEndpoint),
        ],
        cause: LogCause.CrashingPart,
    },
    "a group that broke up beside a part that was suspected only": {
        lines: [
            buildLine(8_000, "router-2", EventId.PartStatusChanged, {
                part: "app/p1",
                status: "suspected",
                crashes: 1,
            }),
            buildLine(9_000, "agent-1", EventId.GroupIncomplete),
            buildRequest(10_000, Cause.NoEndpoint),
        ],
        cause: LogCause.GroupBroken,
    },
    "a group without some ranks": {
        lines: [buildRequest(10_000, Cause.NoEndpoint), buildLine(13_000, "agent-1", EventId.GroupIncomplete)],
        cause: LogCause.GroupBroken,
    },
    "a slow rank": {
        lines: [
            buildLine(9_000, "agent-1", EventId.GroupMapChanged, { slowestPace: 12 }),
            buildRequest(10_000, Cause.Late),
        ],
        cause: LogCause.SlowRank,
    },
    "a change that can't be ended": {
        lines: [
            buildLine(9_000, "agent-1", EventId.GroupFenced, { isSettled: false, detail: "rank 3 is silent" }),
            buildRequest(10_000, Cause.TimedOut),
        ],
        cause: LogCause.ChangeUnsettled,
    },
    "an endpoint that went away": {
        lines: [
            buildRequest(10_000, Cause.EndpointFailed, { sends: "i-7 after 0 ms: cut, 5 ms" }),
            buildLine(12_000, "router-1", EventId.EndpointChanged, { change: "removed", endpoint: "i-7" }),
        ],
        cause: LogCause.EndpointsGone,
    },
    "the store away": {
        lines: [...STORE_LOSS(HOSTS), buildRequest(10_000, Cause.NoDocument)],
        cause: LogCause.StoreAway,
    },
    "a host without the store": {
        lines: [...STORE_LOSS(["router-1"]), buildRequest(10_000, Cause.NoDocument)],
        cause: LogCause.HostCutOff,
    },
    "callers who leave": { lines: [buildRequest(10_000, Cause.CallerGone)], cause: LogCause.CallersLeft },
    "an endpoint that breaks off": {
        lines: [buildRequest(10_000, Cause.EndpointFailed)],
        cause: LogCause.EndpointFailing,
    },
    "a slow endpoint": { lines: [buildRequest(10_000, Cause.TimedOut)], cause: LogCause.EndpointSlow },
    "too much work": { lines: [buildRequest(10_000, Cause.Overload)], cause: LogCause.Overload },
};

for (const [name, { lines, cause }] of Object.entries(CASES)) {
    t.test(name, t => {
        const [first, ...others] = explainText([...ALL_HOSTS, ...lines]);
        t.match(first, { cause, requests: 1 });
        t.strictSame(others, []);
        t.end();
    });
}

t.test("the cause of most requests goes first, and the selection counts", t => {
    const lines = [
        ...ALL_HOSTS,
        buildRequest(10_000, Cause.Overload),
        buildRequest(10_001, Cause.Overload, { team: "two" }),
        buildRequest(10_002, Cause.CallerGone),
        buildRequest(10_003, Cause.None),
    ];
    t.strictSame(
        explainText(lines).map(({ cause, requests }) => [cause, requests]),
        [
            [LogCause.Overload, 2],
            [LogCause.CallersLeft, 1],
        ],
    );
    t.equal(explainText(lines, { team: "two" })[0]?.requests, 1);
    t.equal(explainText(lines, { attempt: "a-10002" })[0]?.cause, LogCause.CallersLeft);
    t.strictSame(explainText(lines, { from: START + 20_000 }), []);
    t.end();
});

t.test("lines with a prefix are read, others are counted", t => {
    const text = `  12.5 router-1 ${buildLine(1, "router-1", EventId.ProcessStarted)}\nplain text\n{"cut": `;
    const { lines, unreadable } = readLogLines(text);
    t.match(lines, [{ host: "router-1", event: EventId.ProcessStarted }]);
    t.equal(unreadable, 1);
    t.end();
});
