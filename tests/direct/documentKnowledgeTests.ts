import t from "tap";
import { createDocumentKnowledge } from "../../src/direct/DocumentKnowledge.js";

t.test("the age of a document grows until the store or a peer confirms its version, not another one", t => {
    t.clock.enter();
    let version = 0;
    const knowledge = createDocumentKnowledge(() => version);
    t.equal(knowledge.getAgeMs(), Number.POSITIVE_INFINITY);
    version = 3;
    knowledge.recordConfirmed(3, 200);
    t.clock.advance(300);
    t.equal(knowledge.getAgeMs(), 500);
    knowledge.recordConfirmed(3, 100);
    knowledge.recordConfirmed(3, 900);
    t.equal(knowledge.getAgeMs(), 100, "an older confirmation takes nothing away");
    knowledge.recordConfirmed(2, 0);
    t.equal(knowledge.getAgeMs(), 100, "a router that is behind confirms nothing");
    t.clock.advance(400);
    knowledge.recordConfirmed(5, 50);
    t.equal(knowledge.getAgeMs(), 500, "version 3 was the newest 500 ms ago");
    knowledge.recordConfirmed(6, 0);
    t.equal(knowledge.getAgeMs(), 500);
    version = 6;
    t.equal(knowledge.getAgeMs(), 0);
    t.clock.exit();
    t.end();
});

t.test("a router is behind since it heard of the first version that it missed", t => {
    t.clock.enter();
    let version = 3;
    const knowledge = createDocumentKnowledge(() => version);
    knowledge.recordHeard(3);
    t.clock.advance(100);
    t.equal(knowledge.getBehindMs(), 0);
    knowledge.recordHeard(4);
    t.clock.advance(100);
    knowledge.recordHeard(5);
    t.clock.advance(100);
    t.equal(knowledge.getBehindMs(), 200);
    t.equal(knowledge.getHeardVersion(), 5);
    version = 5;
    t.equal(knowledge.getBehindMs(), 0);
    knowledge.recordHeard(6);
    t.clock.advance(10);
    t.equal(knowledge.getBehindMs(), 10, "counts anew");
    t.clock.exit();
    t.end();
});
