import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from "prom-client";
import type { MetricsSource } from "./MetricsSource.js";

/** Metrics of a process. */
export interface Metrics extends MetricsSource {
    registry: Registry;
    requests: Counter<"rank" | "outcome" | "cause">;
    attempts: Counter<"result">;
    firstByteSeconds: Histogram<"rank">;
    /** Callers that reached a limit. */
    callerLimits: Counter<"limit">;
    queued: Gauge<"rank">;
    running: Gauge;
    documentVersion: Gauge;
    knownEndpoints: Gauge;
}

const FIRST_BYTE_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.9, 5, 10, 30, 60];

/** Creates the metrics of a process, on a registry of their own. */
export function createMetrics(): Metrics {
    const registry = new Registry();
    collectDefaultMetrics({ register: registry });
    const registers = [registry];
    return {
        contentType: registry.contentType,
        renderText: () => registry.metrics(),
        registry,
        requests: new Counter({
            name: "auburnpass_requests_total",
            help: "Requests settled, by rank of work, outcome and cause",
            labelNames: ["rank", "outcome", "cause"],
            registers,
        }),
        attempts: new Counter({
            name: "auburnpass_attempts_total",
            help: "Attempts at endpoints, by result",
            labelNames: ["result"],
            registers,
        }),
        firstByteSeconds: new Histogram({
            name: "auburnpass_first_byte_seconds",
            help: "Time to the first byte of the answer",
            labelNames: ["rank"],
            buckets: FIRST_BYTE_BUCKETS_S,
            registers,
        }),
        callerLimits: new Counter({
            name: "auburnpass_caller_limits_total",
            help: "Callers that reached a limit",
            labelNames: ["limit"],
            registers,
        }),
        queued: new Gauge({
            name: "auburnpass_queued",
            help: "Requests that wait in the queue",
            labelNames: ["rank"],
            registers,
        }),
        running: new Gauge({ name: "auburnpass_running", help: "Requests in progress", registers }),
        knownEndpoints: new Gauge({
            name: "auburnpass_known_endpoints",
            help: "Endpoints that this host has heard of",
            registers,
        }),
        documentVersion: new Gauge({
            name: "auburnpass_document_version",
            help: "Version of the environment document in force",
            registers,
        }),
    };
}
