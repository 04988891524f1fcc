import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import t from "tap";
import { TEAM_KEY, startDirectSystem } from "../direct/fixtures.js";
import { OPERATOR_KEY, startSmallSystem } from "../fixtures.js";

interface ProgramResult {
    code: number;
    text: string;
}

t.test("check, digest and wrong use give the exit codes that are promised", async t => {
    const wrong = join(t.testdir(), "wrong.yaml");
    writeFileSync(wrong, "environment: trial\n");
    const results = await Promise.all([
        runProgram("auburnpass", ["check", "examples/swapdesk.yaml"]),
        runProgram("auburnpass", ["check", wrong]),
        runProgram("auburnpass", ["digest", "key-of-parents"]),
        runProgram("auburnpass", ["nonsense"]),
        runProgram("auburnpass", ["status"]),
        runProgram("auburnpass-router", ["--config", wrong]),
        runProgram("auburnpass-agent", []),
    ]);
    t.strictSame(
        results.map(result => result.code),
        [0, 1, 0, 2, 2, 2, 2],
    );
    t.match(results[1]?.text, /wrong.yaml:1:\d+ ranks: expected object, found nothing/);
    t.match(results[2]?.text, /^[0-9a-f]{64}$/m);
    t.match(results[5]?.text, /host: expected string, found nothing/);
});

t.test("an operator applies, sees the status, and asks for causes", async t => {
    const system = await startSmallSystem(t, { engines: 1, services: 0 });
    const options = ["--router", system.controlUrls[0] ?? "", "--key", OPERATOR_KEY];
    const status = await runProgram("auburnpass", ["status", ...options]);
    t.match(status.text, /production version 1[\s\S]*engine engine-1 \(assist-lm, zone-1\): live/);
    const apply = ["apply", "examples/swapdesk.yaml", "--environment", "trial"];
    const accepted = await runProgram("auburnpass", [...apply, "--base", "0", ...options]);
    t.match(accepted, { code: 0, text: "accepted: version 1" });
    const conflict = await runProgram("auburnpass", [...apply, "--base", "0", ...options]);
    t.match(conflict, { code: 1, text: "conflict: version 1" });
    const unseen = await runProgram("auburnpass", [...apply, ...options]);
    t.equal(unseen.code, 2, "a change without the version that was seen is refused");
    const explained = await runProgram("auburnpass", ["explain", "--json", ...options]);
    t.match(JSON.parse(explained.text), { isPartial: false });
});

// Guards against a command whose errors don't tell what is wrong, and against a difference between its text and its JSON.
t.test("explain-placement tells where a request would go, and what is unknown", async t => {
    const system = await startDirectSystem(t, 1);
    const { address, port } = system.settings.listen.control;
    const router = ["--router", `${address}:${port}`, "--key", system.settings.processKey];
    const explain = (url: string, ...options: string[]): Promise<ProgramResult> =>
        runProgram("auburnpass", ["explain-placement", url, ...options]);
    const url = "http://shop.example/stock/1";
    const sent = await explain(url, ...router, "--team-key", TEAM_KEY, "--header", "Deadline-Ms: 1000");
    t.equal(sent.code, 0, sent.text);
    t.match(
        sent.text,
        /^route stock, service app, team one \(version 1\)\nwould be sent to i-0\n {2}candidate i-0 in a: score \d/,
    );
    const json = await explain(url, ...router, "--team-key", TEAM_KEY, "--json");
    t.match(JSON.parse(json.text), { decision: "sent", endpoint: "i-0", route: "stock", team: "one" });
    const unknownKey = await explain(url, ...router, "--team-key", "other");
    t.match(unknownKey, { code: 1, text: /would be refused with 401 unknown-team and no delay/ });
    const unknownRoute = await explain("http://shop.example/nowhere", ...router);
    t.match(unknownRoute, { code: 1, text: /no route, .*\n.*404 unknown-target/ });
    const unknownRouter = await explain(url, "--router", "127.0.0.1:1", "--key", "k");
    t.match(unknownRouter, { code: 1, text: /Expected an answer of 127.0.0.1:1 / });
    const stranger = await explain(url, "--router", `${address}:${port}`, "--key", "other");
    t.match(stranger, { code: 1, text: /accepted process key/ });
    t.equal((await explain("stock", ...router)).code, 2);
    t.equal(system.endpoints[0]?.seen.length, 0);
});

function runProgram(name: string, args: string[]): Promise<ProgramResult> {
    return new Promise(resolve => {
        execFile(process.execPath, [`dist/src/bin/${name}.js`, ...args], (error, stdout, stderr) => {
            resolve({ code: typeof error?.code === "number" ? error.code : 0, text: `${stdout}${stderr}` });
        });
    });
}
