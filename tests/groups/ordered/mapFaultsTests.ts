import t from "tap";
import { LOSS_SHARE, Planted, TICKS, runFaults } from "./mapFaults.js";

t.test("without faults changes go on, and the group never waits", async t => {
    t.clock.enter();
    const world = await runFaults(t.clock, 1, TICKS, 0);
    t.ok(world.group.countChanges() > 10, `${world.group.countChanges()} changes`);
});

for (const planted of [Planted.BlindArming, Planted.NoTerms]) {
    t.test(`the check finds a planted error: ${planted}`, async t => {
        t.clock.enter();
        let mixed = 0;
        for (let seed = 1; seed <= 40 && mixed === 0; seed++) {
            mixed += (await runFaults(t.clock, seed, TICKS, LOSS_SHARE, planted)).group.getMixedPasses();
        }
        t.ok(mixed > 0);
    });
}
