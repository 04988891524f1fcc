import t from "tap";
import { type PermitModelOptions, PlantedError, checkPermits } from "../../bench/groups/PermitModel.js";

const SMALL: PermitModelOptions = {
    ranks: 2,
    coordinators: 2,
    lastStep: 1,
    lead: 1,
    crashes: 0,
    planted: PlantedError.None,
    maxStates: 120_000,
};

t.test("no interleaving of two coordinators leads to a step with two maps", async t => {
    const result = checkPermits(SMALL);
    t.equal(result.violation, undefined);
    t.equal(result.isComplete, true, `${result.states} states, all of them`);
});

t.test("nor does any with a rank that is replaced", async t => {
    const result = checkPermits({ ...SMALL, crashes: 1, maxStates: 150_000 });
    t.equal(result.violation, undefined);
    t.equal(result.isComplete, true, `${result.states} states, all of them`);
});

t.test("planted errors are found", async t => {
    for (const planted of [PlantedError.EarlySwitch, PlantedError.NoLastStep, PlantedError.UnkeptSwitch]) {
        const result = checkPermits({ ...SMALL, crashes: 1, planted });
        t.ok(result.violation, `${planted} is found after ${result.states} states`);
    }
});
