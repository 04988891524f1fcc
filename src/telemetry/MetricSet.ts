import type { Registry } from "prom-client";
import type { MetricsSource } from "./MetricsSource.js";
import { type Labels, type SeriesTally, createSeriesTally } from "./SeriesTally.js";
import { MS_PER_SECOND } from "../utils/time.js";

/** Durations by label values. */
export interface DurationTally {
    recordDuration(labels: Labels, ms: number): void;
}

/** Name and help text of a metric. */
export interface MetricName {
    name: string;
    help: string;
}

/** Value of a gauge with labels. */
export interface LabeledValue {
    labels: Labels;
    value: number;
}

/** Metrics of a process that keeps plain sums and loads the metrics library at the first scrape. */
export interface MetricSet extends MetricsSource {
    addCounter(metric: MetricName, labels: readonly string[]): SeriesTally;
    /** Adds the three series of a histogram in seconds; `name` goes without their endings. */
    addDurations(metric: MetricName, labels: readonly string[]): DurationTally;
    /** Adds a value that is read at each scrape. */
    addGauge(metric: MetricName, read: () => number): void;
    /** Adds values by label values that are listed at each scrape. */
    addGauges(metric: MetricName, labels: readonly string[], list: () => LabeledValue[]): void;
}

/** Bounds of the buckets in seconds, from a plain service's answer up to the longest patience of a caller. */
const BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12];

type Registration = (library: typeof import("prom-client"), registry: Registry) => void;

/** Creates an empty set. */
export function createMetricSet(): MetricSet {
    const registrations: Registration[] = [];
    let registry: Promise<Registry> | undefined;
    return {
        contentType: "text/plain; version=0.0.4; charset=utf-8",
        addCounter,
        addDurations,
        addGauge,
        addGauges,
        async renderText() {
            registry ??= createRegistry();
            return (await registry).metrics();
        },
    };

    /** Loading the library takes 40 ms and 11 MB, which a process that nobody scrapes saves. */
    async function createRegistry(): Promise<Registry> {
        const library = await import("prom-client");
        const loaded = new library.Registry();
        registrations.forEach(register => register(library, loaded));
        return loaded;
    }

    function addCounter(metric: MetricName, labelNames: readonly string[]): SeriesTally {
        const tally = createSeriesTally();
        registrations.push((library, loaded) => {
            new library.Counter({
                ...metric,
                labelNames: [...labelNames],
                registers: [loaded],
                collect() {
                    this.reset();
                    tally.listSeries().forEach(({ labels, value }) => this.inc(labels, value));
                },
            });
        });
        return tally;
    }

    function addDurations({ name, help }: MetricName, labelNames: readonly string[]): DurationTally {
        const buckets = addCounter({ name: `${name}_bucket`, help: `${help}, by upper bound` }, [...labelNames, "le"]);
        const sum = addCounter({ name: `${name}_sum`, help: `${help}, sum` }, labelNames);
        const count = addCounter({ name: `${name}_count`, help: `${help}, count` }, labelNames);
        return { recordDuration };

        function recordDuration(labels: Labels, ms: number): void {
            const seconds = ms / MS_PER_SECOND;
            for (const bound of BUCKETS_SECONDS.filter(candidate => seconds <= candidate)) {
                buckets.addAmount({ ...labels, le: String(bound) });
            }
            buckets.addAmount({ ...labels, le: "+Inf" });
            sum.addAmount(labels, seconds);
            count.addAmount(labels);
        }
    }

    function addGauges(metric: MetricName, labelNames: readonly string[], list: () => LabeledValue[]): void {
        registrations.push((library, loaded) => {
            new library.Gauge({
                ...metric,
                labelNames: [...labelNames],
                registers: [loaded],
                collect() {
                    this.reset();
                    list().forEach(({ labels, value }) => this.set(labels, value));
                },
            });
        });
    }

    function addGauge(metric: MetricName, read: () => number): void {
        registrations.push((library, loaded) => {
            new library.Gauge({
                ...metric,
                registers: [loaded],
                collect() {
                    this.set(read());
                },
            });
        });
    }
}
