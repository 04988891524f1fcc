import t from "tap";
import { ChangeStatus } from "../../src/admin/promote.js";
import { createAdminClient } from "../../src/cli/AdminClient.js";
import {
    OfferResult,
    checkEnvironment,
    createDocumentHolder,
    createDocumentRepository,
    formatFinding,
} from "../../src/config/index.js";
import { createHttpKeyValueService } from "../../src/platform/index.js";
import { sendHttpCall } from "../../src/utils/http.js";
import { startPlatformStandin } from "../../standins/platform/platformStandin.js";
import { OPERATOR_KEY, readExampleDocument, startSmallSystem } from "../fixtures.js";

t.test("a wrong document shows all findings with line and column", async t => {
    const text = readExampleDocument()
        .replace("floor: 0.5", "floor: 0.9")
        .replace("rank: standard }\n    - { purpose: stock-check", "rank: soon }\n    - { purpos: stock-check")
        .replace("weight: 4", "weight: heavy");
    t.matchSnapshot(checkEnvironment("wrong.yaml", text).findings.map(formatFinding));
    t.matchSnapshot(checkEnvironment("syntax.yaml", "a: [1,\nb: {").findings.map(formatFinding));
    const crossed = readExampleDocument().replace("floor: 0.5", "floor: 0.9").replace("name: couriers", "name: shops");
    t.matchSnapshot(checkEnvironment("crossed.yaml", crossed).findings.map(formatFinding));
});

t.test("a holder never goes back to a lower version, nor takes an invalid one", async t => {
    const holder = createDocumentHolder();
    const text = readExampleDocument();
    const offer = (version: number, offered = text): OfferResult =>
        holder.offerDocument({ version, text: offered, operator: "o", at: 0 });
    t.strictSame(
        [offer(2), offer(1), offer(2), offer(3, "wrong"), offer(4)],
        [OfferResult.Applied, OfferResult.NotNewer, OfferResult.NotNewer, OfferResult.Invalid, OfferResult.Applied],
    );
    t.equal(holder.getVersion(), 4);
});

t.test("of two operators at the same moment one is accepted, and the other told what differs", async t => {
    const system = await startSmallSystem(t, { engines: 0, services: 0, routers: 2 });
    const clients = system.controlUrls.map(url => createAdminClient(url, OPERATOR_KEY));
    const texts = [9, 8].map(weight => readExampleDocument().replace("weight: 4", `weight: ${weight}`));
    const reports = await Promise.all(
        clients.map((client, place) => client.applyDocument("production", 1, texts[place] ?? "")),
    );
    t.strictSame(reports.map(report => report.status).sort(), [ChangeStatus.Accepted, ChangeStatus.Conflict]);
    const accepted = reports.find(report => report.status === ChangeStatus.Accepted);
    const conflict = reports.find(report => report.status === ChangeStatus.Conflict);
    t.strictSame(accepted?.inForce.sort(), ["entry-1", "entry-2"]);
    t.match(conflict?.difference, /-.*weight: [98]\n\+.*weight: [98]/);
    const versions = await Promise.all(clients.map(client => client.getStatus().then(status => status.version)));
    t.strictSame(versions, [2, 2]);
    await t.rejects(createAdminClient(system.controlUrls[0] ?? "", "wrong").getStatus(), /401/);
});

t.test("a lost answer of the platform never leads to a wrong report", async t => {
    const system = await startSmallSystem(t, { engines: 0, services: 0 });
    const client = createAdminClient(system.controlUrls[0] ?? "", OPERATOR_KEY);
    system.platform.faults.lostAnswers = 1;
    const report = await client.applyDocument("production", 1, readExampleDocument().replace("weight: 4", "weight: 5"));
    t.strictSame([report.status, report.version], [ChangeStatus.Accepted, 2]);
    const stale = await client.applyDocument("production", 1, readExampleDocument());
    t.equal(stale.status, ChangeStatus.Conflict);
});

t.test("an older value of the platform is not taken, and promotion copies the trial that was seen", async t => {
    const system = await startSmallSystem(t, { engines: 0, services: 0 });
    const client = createAdminClient(system.controlUrls[0] ?? "", OPERATOR_KEY);
    const trial = readExampleDocument().replace("environment: production", "environment: trial");
    const applied = await client.applyDocument("trial", 0, trial.replace("weight: 4", "weight: 6"));
    t.equal(applied.status, ChangeStatus.Accepted);
    t.equal((await client.promote(2, 1)).status, ChangeStatus.Conflict, "the trial version was not the one seen");
    t.equal((await client.promote(1, 1)).status, ChangeStatus.Accepted);
    const old = JSON.stringify({ version: 1, text: readExampleDocument(), operator: "x", at: 0, writeId: "w" });
    system.platform.store.overwriteEntry("environments/production/document", old);
    const status = await client.getStatus();
    t.equal(status.version, 2);
    const metrics = await sendHttpCall({
        method: "GET",
        url: `${system.controlUrls[0]}/admin/v1/status`,
        timeoutMs: 1_000,
    });
    t.equal(metrics.status, 401, "the API is closed to everyone else");
});

t.test("two writers of one version: exactly one is written", async t => {
    const platform = await startPlatformStandin();
    const repositories = [1, 2, 3, 4].map(() =>
        createDocumentRepository(createHttpKeyValueService({ url: platform.url })),
    );
    const answers = await Promise.all(
        repositories.map((repository, place) =>
            repository.writeDocument("trial", 0, `text ${place}`, "o", `w${place}`),
        ),
    );
    t.equal(answers.filter(answer => answer.isWritten).length, 1);
    await platform.close();
});
