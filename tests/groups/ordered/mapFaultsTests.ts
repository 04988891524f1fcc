import t from "tap";
import { LOSS_SHARE, InjectedFault, TICKS, runFaults } from "./mapFaults.js";

t.test("without faults the map keeps changing", async t => {
    t.clock.enter();
    const world = await runFaults(t.clock, 1, TICKS, 0);
    t.ok(world.group.countChanges() > 10, `${world.group.countChanges()} changes`);
});

for (const injectedFault of [InjectedFault.UnconfirmedArming, InjectedFault.IgnoredTerms]) {
    t.test(`the check detects an injected fault: ${injectedFault}`, async t => {
        t.clock.enter();
        let mixed = 0;
        for (let seed = 1; seed <= 40 && mixed === 0; seed++) {
            mixed += (await runFaults(t.clock, seed, TICKS, LOSS_SHARE, injectedFault)).group.getMixedPasses();
        }
        t.ok(mixed > 0);
    });
}
