import { consola } from "consola";
import meow from "meow";
import { type SoakResult, USUAL_SOAK, playSoak } from "./playSoak.js";

const MS_PER_MINUTE = 60_000;

const cli = meow(
    `
  Usage
    $ npm run soak -- [--seed N] [--minutes M] [--rounds N]

  Options
    --seed     Seed of the first round; one higher in each further round
    --minutes  Time in which faults are played in a round
    --rounds   Number of rounds
`,
    {
        importMeta: import.meta,
        flags: {
            seed: { type: "number", default: 1 },
            minutes: { type: "number", default: 0.5 },
            rounds: { type: "number", default: 1 },
        },
    },
);

const { seed, minutes, rounds } = cli.flags;
let failed = 0;
for (let round = 0; round < rounds; round++) {
    const result = await playSoak({ ...USUAL_SOAK, seed: seed + round, faultsMs: minutes * MS_PER_MINUTE });
    failed += result.findings.length === 0 ? 0 : 1;
    reportRound(result);
}
process.exit(failed === 0 ? 0 : 1);

function reportRound(result: SoakResult): void {
    const { findings, requests, served, faults, folder } = result;
    const summary = `seed ${result.seed}: ${requests} requests, ${served} served, ${faults.length} faults`;
    if (findings.length === 0) {
        consola.success(summary);
        return;
    }
    consola.error(`${summary}, ${findings.length} findings; logs in ${folder}`);
    findings.forEach(finding => consola.log(`  ${finding}`));
    const firstAt = faults[0]?.from ?? 0;
    faults.forEach(({ kind, target, from, until }) =>
        consola.log(`  ${Math.round(from - firstAt)} to ${Math.round(until - firstAt)} ms: ${kind} ${target ?? ""}`),
    );
}
