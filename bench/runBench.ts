import { writeFileSync } from "node:fs";
import { consola } from "consola";
import meow from "meow";
import { type Bench, formatHtml, formatReport, isMet } from "./Report.js";
import { runClaims } from "./claims/claimsBench.js";
import { runControl, runSpread } from "./control/controlBench.js";
import { runRelay } from "./relay/relayBench.js";
import { runRebalance } from "./groups/rebalanceBench.js";
import { runOutageReturn } from "./scheduling/outageBench.js";
import { runAdmission } from "./scheduling/admissionBench.js";
import { runFairness, runFlood, runSlowEndpoint, runStorm } from "./scheduling/benches.js";

const BENCHES: Record<string, Bench> = {
    flood: runFlood,
    fairness: runFairness,
    storm: runStorm,
    "slow-endpoint": runSlowEndpoint,
    "outage-return": runOutageReturn,
    admission: runAdmission,
    rebalance: runRebalance,
    relay: runRelay,
    claims: runClaims,
    control: runControl,
    spread: runSpread,
};

const cli = meow(
    `
  Usage
    $ npm run bench -- NAME [--seed N] [--json] [--report FILE.html]

  Names
    ${Object.keys(BENCHES).join(", ")}, all
`,
    {
        importMeta: import.meta,
        flags: {
            seed: { type: "number", default: 1 },
            json: { type: "boolean", default: false },
            report: { type: "string" },
        },
    },
);

const [name = ""] = cli.input;
const names = name === "all" ? Object.keys(BENCHES) : [name];
let isGreen = true;
for (const chosen of names) {
    const bench = BENCHES[chosen];
    if (bench === undefined) {
        consola.error(`expected one of ${Object.keys(BENCHES).join(", ")}, all`);
        process.exit(2);
    }
    const report = await bench(cli.flags.seed);
    isGreen &&= report.checks.every(isMet);
    process.stdout.write(cli.flags.json ? `${JSON.stringify(report)}\n` : `${formatReport(report)}\n\n`);
    if (cli.flags.report !== undefined) {
        writeFileSync(cli.flags.report, formatHtml(report));
    }
}
process.exit(isGreen ? 0 : 1);
