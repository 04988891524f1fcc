import type { MetricSet } from "../../telemetry/MetricSet.js";
import { MS_PER_SECOND } from "../../utils/time.js";
import type { OutageGate } from "./OutageGate.js";

/**
 * Adds the gauges of a gate to the metrics of a router.
 * @param set - Metrics.
 * @param gate - Gate.
 */
export function addOutageGauges(set: MetricSet, gate: OutageGate): void {
    set.addGauge({ name: "auburnpass_outage_waiting", help: "Requests that wait for the end of an outage" }, () =>
        gate.countWaiting(),
    );
    set.addGauge({ name: "auburnpass_outages", help: "Outages of engine groups that have begun" }, () =>
        gate.countOutages(),
    );
    set.addGauge(
        { name: "auburnpass_last_outage_seconds", help: "Duration of the last outage of an engine group" },
        () => gate.getLastDuration() / MS_PER_SECOND,
    );
}
