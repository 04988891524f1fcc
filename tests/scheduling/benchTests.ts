import t from "tap";
import type { Bench } from "../../bench/Report.js";
import { isMet } from "../../bench/Report.js";
import { runFairness, runFlood, runSlowEndpoint, runStorm } from "../../bench/scheduling/benches.js";

const BENCHES: Record<string, Bench> = { runFlood, runFairness, runStorm, runSlowEndpoint };

for (const [name, bench] of Object.entries(BENCHES)) {
    t.test(`${name} meets its targets`, async t => {
        const report = await bench(1);
        report.checks.forEach(check => t.ok(isMet(check), `${check.name}: ${check.value}`));
    });
}
