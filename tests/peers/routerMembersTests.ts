import t from "tap";
import { createRouterMembers } from "../../src/peers/index.js";

const HOUR_MS = 3_600_000;

// Guards against routers on both sides of a partition that take over each other's shares while both go on to send.
t.test("a silent router is remembered for an hour, one that leaves for a minute, also if others still name it", t => {
    const members = createRouterMembers();
    members.recordMessage("10.0.0.2", 3, false, 0);
    members.recordMention("10.0.0.3", 0);
    t.strictSame(members.listAddresses(HOUR_MS - 1), ["10.0.0.2", "10.0.0.3"]);
    members.recordMessage("10.0.0.2", 3, true, HOUR_MS - 1);
    members.recordMention("10.0.0.2", HOUR_MS);
    t.strictSame(members.listAddresses(HOUR_MS), ["10.0.0.2"]);
    t.strictSame(members.listAddresses(HOUR_MS + 60_000), []);
    t.end();
});

t.test("the list is the same object until it changes, and reported numbers of routers expire", t => {
    const members = createRouterMembers();
    members.recordMessage("10.0.0.2", 7, false, 0);
    members.recordMessage("10.0.0.3", 0, false, 0);
    const list = members.listAddresses(0);
    members.recordMention("10.0.0.2", 10);
    t.equal(members.listAddresses(10), list);
    t.equal(members.getReportedCount(10), 7);
    t.equal(members.getReportedCount(30_000), 0);
    t.end();
});
