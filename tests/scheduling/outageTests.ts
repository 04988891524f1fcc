import t from "tap";
import { createOutageDetector } from "../../src/scheduling/index.js";

const REMAINING_MS = 8_000;

t.test("callers get the longest accepted retry delay when all endpoints of a service reject requests", t => {
    const outages = createOutageDetector();
    for (let send = 0; send < 6; send++) {
        t.equal(outages.checkRequest("lm", REMAINING_MS, 10 * send), undefined, "not detected yet");
        outages.recordRejection("lm", `i-${send % 3}`, 10 * send);
    }
    t.equal(outages.checkRequest("lm", REMAINING_MS, 60), REMAINING_MS / 3);
    t.equal(outages.checkRequest("other", REMAINING_MS, 60), undefined);
    t.end();
});

t.test("rejections by a single full endpoint are not an outage", t => {
    const outages = createOutageDetector();
    for (let send = 0; send < 20; send++) {
        outages.recordRejection("lm", "i-1", send);
    }
    t.equal(outages.checkRequest("lm", REMAINING_MS, 20), undefined);
    t.end();
});

t.test("probes are sent during an outage, and the first accepted one ends it", t => {
    const outages = createOutageDetector();
    for (let send = 0; send < 6; send++) {
        outages.recordRejection("lm", `i-${send}`, 0);
    }
    const decisions = [50, 100, 250, 260, 460].map(now => outages.checkRequest("lm", REMAINING_MS, now) === undefined);
    t.strictSame(decisions, [false, false, true, false, true], "one probe per 200 ms");
    outages.recordAcceptance("lm");
    t.equal(outages.checkRequest("lm", REMAINING_MS, 470), undefined);
    t.end();
});

t.test("an outage ends when no request was sent for a while", t => {
    const outages = createOutageDetector();
    for (let send = 0; send < 6; send++) {
        outages.recordRejection("lm", `i-${send}`, 0);
    }
    t.equal(outages.checkRequest("lm", REMAINING_MS, 2_000), undefined);
    t.end();
});
