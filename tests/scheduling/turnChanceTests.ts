import t from "tap";
import { computeTurnChance } from "../../src/scheduling/index.js";

t.test("the chance of a turn falls with the requests ahead and grows with the turns", t => {
    t.equal(computeTurnChance(0, 0), 0);
    t.equal(computeTurnChance(Number.POSITIVE_INFINITY, 1_000), 1);
    t.ok(Math.abs(computeTurnChance(1, 0) - 0.632) < 0.001);
    t.ok(Math.abs(computeTurnChance(1, 1) - 0.264) < 0.001);
    t.ok(computeTurnChance(20, 5) > 0.99);
    t.ok(computeTurnChance(5, 20) < 0.001);
    t.end();
});
