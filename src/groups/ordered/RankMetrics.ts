import type { CallResult } from "../../platform/index.js";
import { type MetricSet, createMetricSet } from "../../telemetry/index.js";
import type { ChangeEnd } from "./MapChange.js";

/** Metrics of the agent of a rank. */
export interface RankMetrics {
    set: MetricSet;
    /** Counts a round of the coordinator, by whether all ranks answered. */
    recordRound(isWhole: boolean): void;
    recordChange(end: ChangeEnd): void;
    /** Counts a call to the platform's store. */
    recordStoreCall(operation: string, result: CallResult): void;
    /** Counts a client that has reached a limit. */
    recordCallerLimit(limit: string): void;
}

/**
 * Creates the metrics.
 * @param isLeader - Returns whether this agent coordinates its group.
 */
export function createRankMetrics(isLeader: () => boolean): RankMetrics {
    const set = createMetricSet();
    const rounds = set.addCounter({ name: "auburnpass_map_rounds_total", help: "Rounds of the coordinator" }, [
        "whole",
    ]);
    const changes = set.addCounter({ name: "auburnpass_map_changes_total", help: "Changes of the map" }, ["end"]);
    const storeCalls = set.addCounter({ name: "auburnpass_store_calls_total", help: "Calls to the store" }, [
        "operation",
        "result",
    ]);
    const limits = set.addCounter({ name: "auburnpass_caller_limits_total", help: "Callers that reached a limit" }, [
        "limit",
    ]);
    set.addGauge({ name: "auburnpass_map_office", help: "1 while this agent coordinates its group" }, () =>
        isLeader() ? 1 : 0,
    );
    return {
        set,
        recordRound: isWhole => rounds.addAmount({ whole: String(isWhole) }),
        recordChange: end => changes.addAmount({ end }),
        recordStoreCall: (operation, result) => storeCalls.addAmount({ operation, result }),
        recordCallerLimit: limit => limits.addAmount({ limit }),
    };
}
