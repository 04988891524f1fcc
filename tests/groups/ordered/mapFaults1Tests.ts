import t from "tap";
import { runSeeds } from "./mapFaults.js";

t.test("no pass begins with two maps, under lost and late orders and coordinators that replace each other", async t => {
    t.clock.enter();
    const { mixedSeeds, changes } = await runSeeds(t.clock, 1, 10);
    t.strictSame(mixedSeeds, []);
    t.ok(changes > 75, `${changes} changes of the map`);
});
