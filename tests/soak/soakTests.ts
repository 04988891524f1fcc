import t from "tap";
import { USUAL_SOAK, playSoak } from "../../bench/soak/playSoak.js";
import { REGRESSIONS } from "./regressions.js";

const FAULTS_MS = 8_000;
const SEED = 7;

t.test("a short soak keeps all promises", { timeout: 90_000 }, async t => {
    const result = await playSoak({ ...USUAL_SOAK, seed: SEED, faultsMs: FAULTS_MS });
    t.ok(result.faults.length > 0);
    t.strictSame(result.findings, [], `logs in ${result.folder}`);
});

for (const { seed, faultsMs, cause } of REGRESSIONS) {
    t.test(`seed ${seed}: ${cause}`, { timeout: 120_000 }, async t => {
        const result = await playSoak({ ...USUAL_SOAK, seed, faultsMs });
        t.strictSame(result.findings, [], `logs in ${result.folder}`);
    });
}
