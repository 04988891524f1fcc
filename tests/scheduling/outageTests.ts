import t from "tap";
import { createOutageWatch } from "../../src/scheduling/index.js";

const PATIENCE_MS = 8_000;

t.test("a service whose endpoints all turn requests away is out, and callers come back as late as they will", t => {
    const outages = createOutageWatch();
    for (let send = 0; send < 6; send++) {
        t.equal(outages.checkRequest("lm", PATIENCE_MS, 10 * send), undefined, "not known yet");
        outages.recordTurnedAway("lm", `i-${send % 3}`, 10 * send);
    }
    t.equal(outages.checkRequest("lm", PATIENCE_MS, 60), PATIENCE_MS / 3);
    t.equal(outages.checkRequest("other", PATIENCE_MS, 60), undefined);
    t.end();
});

t.test("one endpoint that is full is no outage", t => {
    const outages = createOutageWatch();
    for (let send = 0; send < 20; send++) {
        outages.recordTurnedAway("lm", "i-1", send);
    }
    t.equal(outages.checkRequest("lm", PATIENCE_MS, 20), undefined);
    t.end();
});

t.test("probes go on during an outage, and the first one that is taken ends it", t => {
    const outages = createOutageWatch();
    for (let send = 0; send < 6; send++) {
        outages.recordTurnedAway("lm", `i-${send}`, 0);
    }
    const decisions = [50, 100, 250, 260, 460].map(now => outages.checkRequest("lm", PATIENCE_MS, now) === undefined);
    t.strictSame(decisions, [false, false, true, false, true], "one probe in 200 ms");
    outages.recordTaken("lm");
    t.equal(outages.checkRequest("lm", PATIENCE_MS, 470), undefined);
    t.end();
});

t.test("a service that nobody was sent to for a while counts as there again", t => {
    const outages = createOutageWatch();
    for (let send = 0; send < 6; send++) {
        outages.recordTurnedAway("lm", `i-${send}`, 0);
    }
    t.equal(outages.checkRequest("lm", PATIENCE_MS, 2_000), undefined);
    t.end();
});
