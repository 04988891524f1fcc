import t from "tap";
import { createFailureStreak } from "../../src/telemetry/FailureStreak.js";
import { createLogger } from "../../src/telemetry/logger.js";

t.test("a task that fails in each round writes its first failure and then one line in ten seconds", t => {
    t.clock.enter();
    const failures: unknown[] = [];
    const logger = createLogger("test", {
        writeLine: line => failures.push((JSON.parse(line) as { failures: number }).failures),
        flush: () => Promise.resolve(),
    });
    const streak = createFailureStreak(logger, "round");
    const fail = (rounds: number): void => {
        for (let round = 0; round < rounds; round++) {
            streak.recordFailure(new Error("refused"));
            t.clock.advance(150);
        }
    };
    fail(100);
    t.strictSame(failures, [1, 68]);
    streak.recordSuccess();
    fail(2);
    t.strictSame(failures, [1, 68, 1]);
    t.end();
});
