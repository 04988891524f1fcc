import t from "tap";
import { createEndpointPauses } from "../../src/direct/EndpointPauses.js";

t.test("after a pause one request tries the endpoint, and the rest when it has been taken", t => {
    const pauses = createEndpointPauses();
    pauses.recordPause("e", 1_000, 0);
    t.strictSame([pauses.getPausedUntil("e"), pauses.isDoubtful("e", true, 500)], [1_000, true]);
    t.ok(pauses.isDoubtful("e", false, 1_001), "not for a request that has no other endpoint after it");
    t.notOk(pauses.isDoubtful("e", true, 1_001));
    pauses.recordSend("e", 1_001);
    t.ok(pauses.isDoubtful("e", true, 1_002), "while another request tries it");
    pauses.recordTaken("e", 1_010);
    t.strictSame([pauses.isDoubtful("e", true, 1_011), pauses.isDoubtful("e", false, 1_011)], [false, false]);
    t.ok(pauses.isEmpty());
    t.end();
});

t.test("a request that was sent before a pause and is taken does not end it", t => {
    const pauses = createEndpointPauses();
    pauses.recordPause("e", 1_000, 0);
    pauses.recordTaken("e", 10);
    t.equal(pauses.getPausedUntil("e"), 1_000);
    pauses.recordPause("e", 100, 20);
    t.equal(pauses.getPausedUntil("e"), 1_000, "nor does a shorter one shorten it");
    t.end();
});

t.test("an endpoint that nobody tries after its pause is not doubtful for ever", t => {
    const pauses = createEndpointPauses();
    pauses.recordPause("e", 1_000, 0);
    t.ok(pauses.isDoubtful("e", false, 2_900));
    t.notOk(pauses.isDoubtful("e", false, 3_100));
    t.end();
});

t.test("a pause named to another router is preferred against, and only until this one was served or it is over", t => {
    const told = createEndpointPauses();
    told.recordPause("e", 1_000, 0);
    const pauses = createEndpointPauses();
    pauses.mergePauses(told.listPauses(400), 0);
    t.equal(pauses.getPausedUntil("e"), Number.NEGATIVE_INFINITY, "it binds only the router that was told");
    t.ok(pauses.isDoubtful("e", true, 10));
    pauses.recordTaken("e", 20);
    t.notOk(pauses.isDoubtful("e", false, 30));
    t.ok(pauses.isDoubtful("e", false, 1_050), "news of the first request is awaited");
    t.notOk(pauses.isDoubtful("e", false, 1_200));
    t.strictSame(pauses.listPauses(10), [], "what others were told is not told on");
    t.end();
});

t.test("pauses that are over are forgotten as others come", t => {
    const pauses = createEndpointPauses();
    pauses.mergePauses([["e", 100]], 0);
    pauses.recordPause("f", 100, 0);
    pauses.mergePauses([["g", 100]], 5_000);
    pauses.forget("g");
    t.ok(pauses.isEmpty());
    t.end();
});
