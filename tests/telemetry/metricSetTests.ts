import t from "tap";
import { createMetricSet } from "../../src/telemetry/MetricSet.js";
import { OTHER_LABEL, createSeriesTally } from "../../src/telemetry/SeriesTally.js";

t.test("counters, durations and gauges come out as text, also what was counted before the first scrape", async t => {
    const set = createMetricSet();
    const counter = set.addCounter({ name: "sends_total", help: "Sends" }, ["service", "result"]);
    const durations = set.addDurations({ name: "first_byte_seconds", help: "Time to the first byte" }, ["service"]);
    let running = 3;
    set.addGauge({ name: "running", help: "Requests in progress" }, () => running);
    counter.addAmount({ service: "app", result: "answered" });
    counter.addAmount({ service: "app", result: "answered" }, 2);
    durations.recordDuration({ service: "app" }, 30);
    durations.recordDuration({ service: "app" }, 20_000);
    t.matchSnapshot(await set.renderText());
    counter.addAmount({ service: "app", result: "cut" });
    running = 1;
    const second = await set.renderText();
    t.match(second, 'sends_total{service="app",result="answered"} 3');
    t.match(second, 'sends_total{service="app",result="cut"} 1');
    t.match(second, "running 1");
});

t.test("combinations beyond the bound are summed under one", t => {
    const tally = createSeriesTally(2);
    ["a", "b", "c", "d", "a"].forEach(route => tally.addAmount({ route }));
    t.strictSame(tally.listSeries(), [
        { labels: { route: "a" }, value: 2 },
        { labels: { route: "b" }, value: 1 },
        { labels: { route: OTHER_LABEL }, value: 2 },
    ]);
    t.end();
});
