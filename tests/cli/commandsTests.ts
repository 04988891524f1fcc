import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import t from "tap";
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

function runProgram(name: string, args: string[]): Promise<ProgramResult> {
    return new Promise(resolve => {
        execFile(process.execPath, [`dist/src/bin/${name}.js`, ...args], (error, stdout, stderr) => {
            resolve({ code: typeof error?.code === "number" ? error.code : 0, text: `${stdout}${stderr}` });
        });
    });
}
