import t from "tap";
import { readMonotonicMs } from "../../src/utils/time.js";
import { startDirectSystem } from "./fixtures.js";
import {
    WINDOW_MS,
    CONTACT_MS,
    EXCESS_SHARE,
    EXCESS_REQUESTS,
    LIMIT_PER_SECOND,
    SETTLE_MS,
    TARGET_MS,
    SLOW_MS,
    createScript,
    startRouters,
    sendRequests,
    countInWorstWindow,
    dropEntryForATime,
} from "./noticesFixtures.js";

t.test("endpoints that name a limit get no more than it allows from all routers together, and no less", async t => {
    const systems = await startRouters(t, 3);
    const arrivals: number[][] = [[], [], []];
    systems[0]?.endpoints.forEach((endpoint, index) => {
        // The endpoint without a limit has more requests than slots, so that the others are wanted too.
        const answer =
            index === 2 ? createScript({}, SLOW_MS) : createScript({ "server-limit": String(LIMIT_PER_SECOND) });
        endpoint.setScript((...request) => {
            arrivals[index]?.push(readMonotonicMs());
            answer(...request);
        });
    });
    const lastsMs = CONTACT_MS + 2 * WINDOW_MS;
    const answers = await sendRequests(systems, lastsMs);
    const statuses = answers.map(({ status }) => status);
    t.equal(statuses.filter(status => status !== 200).length, 0, "the endpoint without a limit serves the rest");
    const allowed = LIMIT_PER_SECOND * (WINDOW_MS / 1_000);
    for (const times of arrivals.slice(0, 2)) {
        const worst = countInWorstWindow(times, (times[0] ?? 0) + CONTACT_MS);
        t.ok(worst <= allowed * (1 + EXCESS_SHARE) + EXCESS_REQUESTS, `${worst} in a window, named are ${allowed}`);
        const bound = times.filter(at => at >= (times[0] ?? 0) + CONTACT_MS).length;
        const usedShare = bound / ((lastsMs - CONTACT_MS) / 1_000) / LIMIT_PER_SECOND;
        t.ok(usedShare >= 0.75, `${usedShare.toFixed(2)} of the limit is used`);
    }
});

t.test("requests beyond the limits of all endpoints are refused at once, as not run, with a delay", async t => {
    const systems = await startRouters(t, 2);
    const arrivals: number[][] = [[], []];
    systems[0]?.endpoints.forEach((endpoint, index) => {
        const answer = createScript({ "server-limit": String(LIMIT_PER_SECOND) });
        endpoint.setScript((...request) => {
            arrivals[index]?.push(readMonotonicMs());
            answer(...request);
        });
    });
    const lastsMs = CONTACT_MS + 2 * WINDOW_MS;
    const answers = await sendRequests(systems, lastsMs);
    const allowed = LIMIT_PER_SECOND * (WINDOW_MS / 1_000);
    for (const times of arrivals) {
        const worst = countInWorstWindow(times, (times[0] ?? 0) + CONTACT_MS);
        t.ok(worst <= allowed * (1 + EXCESS_SHARE) + EXCESS_REQUESTS, `${worst} in a window, named are ${allowed}`);
        const bound = times.filter(at => at >= (times[0] ?? 0) + CONTACT_MS).length;
        const usedShare = bound / ((lastsMs - CONTACT_MS) / 1_000) / LIMIT_PER_SECOND;
        t.ok(usedShare >= 0.75, `${usedShare.toFixed(2)} of the limit is used`);
    }
    const refused = answers.filter(({ status }) => status !== 200);
    t.ok(refused.length > 0);
    t.ok(refused.every(({ status, headers }) => status === 503 && Number(headers["retry-after"]) > 0));
    const lasted = refused.map(({ lastedMs }) => lastedMs).sort((left, right) => left - right);
    const medianMs = lasted[Math.floor(lasted.length / 2)] ?? 0;
    t.ok(medianMs < TARGET_MS / 2, `half of the refusals came after ${Math.round(medianMs)} ms`);
});

t.test("an endpoint that ends its limit gets all requests again", async t => {
    const systems = await startRouters(t, 1);
    const endpoint = systems[0]?.endpoints[0];
    endpoint?.setScript(createScript({ "server-limit": "1" }));
    await sendRequests(systems, 1_000);
    endpoint?.setScript(createScript({}));
    await sendRequests(systems, WINDOW_MS);
    const answers = await sendRequests(systems, 1_000);
    t.ok(answers.every(({ status }) => status === 200));
});

t.test(
    "an endpoint that says that it leaves gets no request past the bound, though its entry says nothing",
    async t => {
        const systems = await startRouters(t, 2);
        const [leaving, other] = systems[0]?.endpoints ?? [];
        const arrivals: number[] = [];
        leaving?.setScript((...request) => {
            arrivals.push(readMonotonicMs());
            createScript({ "server-leaving": "1" })(...request);
        });
        other?.setScript(createScript({}));
        const startedAt = readMonotonicMs();
        const leavingMs = systems[0]?.settings.leavingMs ?? 0;
        const answers = await sendRequests(systems, leavingMs + SETTLE_MS);
        t.ok(arrivals.length > 0);
        t.equal(arrivals.filter(at => at - startedAt > leavingMs).length, 0, "late requests");
        t.ok(answers.every(({ status }) => status === 200));
    },
);

t.test("an endpoint that said that it leaves stays out when its entry vanishes and comes back", async t => {
    const system = await startDirectSystem(t, 2);
    const [leaving, other] = system.endpoints;
    let arrivals = 0;
    leaving?.setScript((...request) => {
        arrivals++;
        createScript({ "server-leaving": "1" })(...request);
    });
    other?.setScript(createScript({}, SLOW_MS));
    await sendRequests([system], SETTLE_MS);
    t.ok(arrivals > 0);
    await dropEntryForATime(system);
    arrivals = 0;
    await sendRequests([system], SETTLE_MS);
    t.equal(arrivals, 0);
});
