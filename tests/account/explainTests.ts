import t from "tap";
import {
    type Account,
    IncidentKind,
    type SettledFacts,
    createAccount,
    explainLosses,
    mergeSummaries,
} from "../../src/account/index.js";
import { WorkRank } from "../../src/config/WorkRank.js";
import { Cause } from "../../src/protocol/index.js";

const WORTH = { [WorkRank.Urgent]: 10, [WorkRank.Standard]: 3, [WorkRank.Deferrable]: 1 };
const FACTS: SettledFacts = {
    rank: WorkRank.Urgent,
    team: "parents",
    weight: 1,
    cost: 10,
    cause: Cause.None,
    traceId: "trace",
    hosts: ["engine-1"],
    firstByteMs: 100,
    targetMs: 1_900,
    queueMs: 0,
};

interface BadHour {
    name: string;
    bring: (account: Account) => void;
    kind: string;
    subject: string;
}

const lose = (account: Account, count: number, facts: Partial<SettledFacts>): void => {
    for (let index = 0; index < count; index++) {
        account.recordSettled({ ...FACTS, traceId: `trace-${index}`, ...facts });
    }
};

const BAD_HOURS: BadHour[] = [
    {
        name: "a team floods",
        bring(account) {
            lose(account, 300, { team: "shops", rank: WorkRank.Deferrable, cause: Cause.TeamOverShare });
            lose(account, 20, { cause: Cause.Overload });
        },
        kind: "flood",
        subject: "shops",
    },
    {
        name: "an endpoint is slow",
        bring: account => lose(account, 9, { hosts: ["engine-3"], firstByteMs: 4_000 }),
        kind: "endpoint-slow",
        subject: "engine-3",
    },
    {
        name: "an endpoint is lost",
        bring: account => lose(account, 9, { hosts: ["engine-2", "engine-1"], cause: Cause.EndpointLost }),
        kind: "endpoint-lost",
        subject: "engine-2",
    },
    {
        name: "a zone is cut off",
        bring(account) {
            account.recordIncident(IncidentKind.ZoneCut, "zone-2");
            lose(account, 9, { cause: Cause.EndpointLost });
        },
        kind: "zone-cut",
        subject: "zone-2",
    },
    {
        name: "the platform is down",
        bring: account => lose(account, 9, { rank: WorkRank.Standard, cause: Cause.PlatformUnavailable }),
        kind: "platform-outage",
        subject: "key-value service",
    },
    {
        name: "a request crashes its endpoints",
        bring: account => lose(account, 9, { cause: Cause.CrashSuspected, team: "couriers" }),
        kind: "crashing-request",
        subject: "couriers",
    },
    {
        name: "a document leaves a model without endpoints",
        bring(account) {
            account.recordIncident(IncidentKind.DocumentApplied, "7");
            lose(account, 9, { cause: Cause.NoEndpoint, hosts: [] });
        },
        kind: "document-change",
        subject: "7",
    },
    {
        name: "a group moves experts",
        bring(account) {
            account.recordIncident(IncidentKind.Rebalancing, "assist-group");
            lose(account, 9, { cause: Cause.Overload, team: "parents" });
            lose(account, 9, { cause: Cause.Overload, team: "shops" });
        },
        kind: "rebalancing",
        subject: "assist-group",
    },
    {
        name: "a host is stopped",
        bring: account => lose(account, 9, { cause: Cause.RouterDraining, hosts: [] }),
        kind: "router-stopped",
        subject: "",
    },
];

for (const { name, bring, kind, subject } of BAD_HOURS) {
    t.test(`the cause of a bad hour is named first: ${name}`, async t => {
        const account = createAccount("zone-1", "entry-1");
        lose(account, 100, {});
        lose(account, 100, { team: "shops" });
        lose(account, 1, { cause: Cause.EndpointFailed, hosts: ["engine-9"], rank: WorkRank.Deferrable });
        bring(account);
        const explanations = explainLosses(account.listOpen(), { worth: WORTH });
        t.strictSame([explanations[0]?.kind, explanations[0]?.subject], [kind, subject]);
        t.ok((explanations[0]?.traces.length ?? 0) > 0, "with traces");
    });
}

t.test("two causes at once are both named, the worse first", async t => {
    const account = createAccount("zone-1", "entry-1");
    lose(account, 50, { hosts: ["engine-3"], firstByteMs: 4_000 });
    lose(account, 9, { cause: Cause.CrashSuspected, team: "couriers" });
    const explanations = explainLosses(account.listOpen(), { worth: WORTH });
    t.strictSame(
        explanations.map(explanation => explanation.kind),
        ["endpoint-slow", "crashing-request"],
    );
    t.matchSnapshot(explanations.map(explanation => explanation.text));
});

t.test("the summary of a zone stays within its bounds", async t => {
    t.clock.enter();
    const accounts = ["entry-1", "entry-2"].map(host => createAccount("zone-1", host));
    accounts.forEach(account => {
        for (let team = 0; team < 500; team++) {
            lose(account, 1, { team: `team-${team}`, cause: Cause.Overload });
        }
    });
    const [left, right] = accounts.map(account => account.takeFinished(Date.now() + 60_000)[0]);
    const merged = left && right && mergeSummaries(left, right);
    t.ok(JSON.stringify(merged).length < 20_000, "under 20 KB");
    t.strictSame(merged?.hosts, ["entry-1", "entry-2"]);
});
