import { EventEmitter } from "node:events";
import t from "tap";
import { settleFromEvents } from "../../src/utils/settleFromEvents.js";

t.test("an exception in a listener does not leave a promise pending", async t => {
    const source = new EventEmitter();
    const result = settleFromEvents<string>(({ resolve, guard }) => {
        source.on(
            "data",
            guard((text: string) => resolve((JSON.parse(text) as { name: string }).name)),
        );
    });
    source.emit("data", "no JSON");
    await t.rejects(result, SyntaxError);
});

t.test("the first result counts, and a later exception is not swallowed", async t => {
    const source = new EventEmitter();
    const result = settleFromEvents<string>(({ resolve, reject, guard }) => {
        source.on(
            "data",
            guard((text: string) => {
                resolve(text);
                reject("too late");
            }),
        );
        source.on(
            "end",
            guard(() => {
                throw new Error("late");
            }),
        );
    });
    source.emit("data", "first");
    source.emit("data", "second");
    t.equal(await result, "first");
    t.throws(() => source.emit("end"), /late/);
});

t.test("a rejection with a value that is no error becomes one", async t => {
    await t.rejects(
        settleFromEvents(({ reject }) => reject("reason")),
        /reason/,
    );
});
