import { readFileSync, writeFileSync } from "node:fs";
import { consola } from "consola";
import meow from "meow";
import { type CellResult, CellState, runCell } from "./cells.js";
import { type Matrix, startMatrix } from "./Matrix.js";
import { runRounds } from "./rounds.js";
import { FAULTS, STEPS } from "./Step.js";

const cli = meow(
    `
  Runs the fault matrix, and writes docs/FAULT-MATRIX.md

  Options
    --fault TEXT   only the faults that contain the text
    --step TEXT    only the steps that contain the text
    --rounds N     runs N bookings under random faults, in place of the matrix
    --seed N       seed of the random faults (1)
    --json         prints the results as JSON
`,
    {
        importMeta: import.meta,
        flags: {
            fault: { type: "string", default: "" },
            step: { type: "string", default: "" },
            rounds: { type: "number", default: 0 },
            seed: { type: "number", default: 1 },
            json: { type: "boolean", default: false },
        },
    },
);

const documentText = readFileSync("examples/swapdesk.yaml", "utf8").replace(
    "environment: trial",
    "environment: production",
);
const matrix = await startMatrix(documentText);
const isGreen = await runAll().finally(() => matrix.stop());
process.exit(isGreen ? 0 : 1);

function runAll(): Promise<boolean> {
    return cli.flags.rounds > 0 ? runRandom(matrix) : runTable(matrix);
}

async function runRandom(started: Matrix): Promise<boolean> {
    const report = await runRounds(started, { bookings: cli.flags.rounds, seed: cli.flags.seed });
    consola.log(JSON.stringify(report, undefined, 2));
    return report.violations.length === 0;
}

async function runTable(started: Matrix): Promise<boolean> {
    const results: CellResult[] = [];
    for (const fault of FAULTS.filter(name => name.includes(cli.flags.fault))) {
        for (const step of STEPS.filter(name => name.includes(cli.flags.step))) {
            const result = await runCell(started, fault, step);
            results.push(result);
            consola.log(`${result.state.padEnd(15)} ${fault.padEnd(25)} ${step.padEnd(9)} ${result.note}`);
        }
    }
    if (cli.flags.json) {
        consola.log(JSON.stringify({ results, counts: started.checker.counts }));
    }
    if (cli.flags.fault === "" && cli.flags.step === "") {
        writeFileSync("docs/FAULT-MATRIX.md", formatTable(results));
    }
    return results.every(result => result.state !== CellState.Failed);
}

/** Faults that are tested elsewhere, for the end of the page. */
const RELATED_TESTS = [
    "## What operators of similar systems met, and the tests that show it here",
    "",
    "- A second copy of an answer, late, on a connection in use again: tests/agent/EndpointRunTests. It could happen with endpoints that",
    "  name no request in their answers; their connections are not used again. Direct routers use each connection once.",
    "- A planned stop under load that cuts accepted requests: tests/direct/answersTests (graceful shutdown), and `planned stop` above. A request",
    "  pipelined behind an answer that closes the connection ran, and its answer reached nobody; it waits for its turn now (disconnectTests).",
    "- Slow but sound streams cut, and stalled ones that send a byte now and then kept: tests/agent/EndpointRunTests. Agents kept the latter;",
    "  only events count as progress now. Direct routers end them at the route's timeout (tests/direct/answersTests).",
    "- Work run again, or called not run, after its answer was lost: tests/router/answersTests (lost service answer), and `cut link` above.",
    "- A truncated answer passed off as complete: tests/direct/answersTests and tests/router/answersTests. A stream that lacked events sent to",
    "  another caller could; its tokens are counted before the end marker is passed on. A stream that ended inside an event could, and, through",
    "  agents, half of an answer without a length that was reset (tests/agent/EndpointRunTests).",
    "- Work for callers that had left: tests/direct/disconnectTests, tests/router/disconnectTests, tests/agent/AgentServerTests.",
    "- Requests of one kind that crash endpoint after endpoint: tests/direct/crashingPartsTests, tests/router/faultsTests.",
    "- An endpoint that had left, or a withdrawn key, in use again after a restart: tests/direct/peerFallbackTests and decisionsTests (lower",
    "  versions). A router restarted while the store is down could keep a stale peer's list of endpoints; it takes the newest it hears of.",
];

function formatTable(results: readonly CellResult[]): string {
    const marks = { [CellState.Proved]: "proved", [CellState.NotApplicable]: "n/a", [CellState.Failed]: "NOT PROVED" };
    const rows = FAULTS.map(fault => {
        const cells = STEPS.map(step => {
            const result = results.find(candidate => candidate.fault === fault && candidate.step === step);
            return result === undefined ? "not run" : marks[result.state];
        });
        return `| ${fault} | ${cells.join(" | ")} |`;
    });
    const reasons = results.filter(result => result.state !== CellState.Proved);
    const notes = reasons.map(result => `- ${result.fault} / ${result.step}: ${result.note}`);
    return [
        "# Fault matrix",
        "",
        "Each fault at each step of a booking and of a stream, on separate processes. `npm run matrix` writes this page.",
        "A cell is proved when no invariant of `bench/matrix/Checker.ts` was broken: at most one run a key, no false",
        '"not run", no answer that is not whole, no answer of another request.',
        "",
        `| fault | ${STEPS.join(" | ")} |`,
        `| --- |${STEPS.map(() => " --- |").join("")}`,
        ...rows,
        "",
        "## Cells that are not proved, and why",
        "",
        ...notes,
        "",
        ...RELATED_TESTS,
        "",
    ].join("\n");
}
