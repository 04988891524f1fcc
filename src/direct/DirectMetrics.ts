import type { CallResult } from "../platform/index.js";
import type { AdmissionDecision } from "./admission/index.js";
import { Outcome } from "../protocol/index.js";
import { type MetricSet, createMetricSet } from "../telemetry/MetricSet.js";
import type { SettledDirectExchange } from "./CallerServer.js";
import { getSettledCause, isAnswered } from "./SettledLog.js";
import { type DirectExchange, getUrgency, isRouted } from "./DirectExchange.js";
import { MS_PER_SECOND } from "../utils/time.js";

/** Metrics of a direct router. */
export interface DirectMetrics {
    set: MetricSet;
    /** Records an exchange that has ended. */
    recordSettled(settled: SettledDirectExchange): void;
    /** Counts a decision of the admission by cost. */
    recordDecision(service: string, decision: AdmissionDecision): void;
    /** Counts a call to the platform's store. */
    recordStoreCall(operation: string, result: CallResult): void;
    /** Counts a request that was held back at the moment of its send, as the endpoint is cold or its memory full. */
    recordHeldBack(service: string): void;
    /** Counts a caller that has reached a limit. */
    recordCallerLimit(limit: string): void;
}

/** State of the router, read at each scrape. */
export interface DirectRouterState {
    countActiveRequests(): number;
    getDocumentVersion(): number;
    countEndpoints(): number;
    /** Counts the known routers, including this one. */
    countRouters(): number;
    /** Time since the store confirmed the endpoints to this router or a peer, in milliseconds. */
    getStoreAgeMs(): number;
    /** Time since the store confirmed that the active document is the newest, in milliseconds. */
    getDocumentAgeMs(): number;
    /** Time for which a higher version than the active one has been known, in milliseconds. */
    getDocumentBehindMs(): number;
    /** Counts the parts of prompts with which requests are refused. */
    countRefusedParts(): number;
    /** Counts the endpoints that name a limit on the rate of requests. */
    countLimited(): number;
    /** Counts the endpoints that are cold after their start. */
    countCold(): number;
    /** Counts the endpoints that hold requests of this router whose tokens are known. */
    countMemoryInUse(): number;
    countEvacuatedZones(): number;
    /** Time since the store confirmed the evacuated zones to this router or a peer, in milliseconds; 0 without evacuations. */
    getEvacuationAgeMs(): number;
    /** Whether this router reads the store itself instead of learning from peers. */
    isReadingStore(): boolean;
    /** Lists the levels of the admission by cost. */
    listAdmissionLevels(): { service: string; level: number }[];
    /** Bytes held for callers. */
    getCallerBytes(): number;
    countCallerConnections(): number;
}

const NO_TEAM = "none";
const NO_ROUTE = "none";

/**
 * Creates the metrics.
 * @param state - State that the gauges read.
 */
export function createDirectMetrics(state: DirectRouterState): DirectMetrics {
    const set = createMetricSet();
    const requests = set.addCounter({ name: "auburnpass_requests_total", help: "Requests settled" }, [
        "route",
        "urgency",
        "outcome",
        "cause",
    ]);
    const teams = set.addCounter({ name: "auburnpass_team_requests_total", help: "Requests settled, by team" }, [
        "team",
        "outcome",
    ]);
    const sends = set.addCounter({ name: "auburnpass_sends_total", help: "Sends to endpoints" }, ["service", "result"]);
    const firstBytes = set.addDurations(
        { name: "auburnpass_first_byte_seconds", help: "Time to the first byte of the answer" },
        ["service", "urgency"],
    );
    const workAfterLeaving = set.addDurations(
        {
            name: "auburnpass_work_after_caller_left_seconds",
            help: "Time from the caller's leaving to the end of the work for it",
        },
        ["route"],
    );
    const storeCalls = set.addCounter({ name: "auburnpass_store_calls_total", help: "Calls to the store" }, [
        "operation",
        "result",
    ]);
    const heldBack = set.addCounter(
        { name: "auburnpass_sends_held_back_total", help: "Sends that waited because the endpoint is cold or full" },
        ["service"],
    );
    const decisions = set.addCounter(
        { name: "auburnpass_admission_total", help: "Requests delayed and refused by admission by cost" },
        ["service", "decision"],
    );
    const limits = set.addCounter({ name: "auburnpass_caller_limits_total", help: "Callers that reached a limit" }, [
        "limit",
    ]);
    addStateGauges(set, state);
    return {
        set,
        recordSettled,
        recordDecision: (service, decision) => decisions.addAmount({ service, decision }),
        recordStoreCall: (operation, result) => storeCalls.addAmount({ operation, result }),
        recordHeldBack: service => heldBack.addAmount({ service }),
        recordCallerLimit: limit => limits.addAmount({ limit }),
    };

    function recordSettled(settled: SettledDirectExchange): void {
        const { exchange, refusal, endedAt, callerLeftAt } = settled;
        const urgency = isRouted(exchange) ? String(getUrgency(exchange)) : "";
        const cause = getSettledCause(settled);
        const outcome = refusal?.outcome ?? (isAnswered(cause) ? Outcome.Ran : Outcome.Unknown);
        requests.addAmount({ route: exchange.route?.name ?? NO_ROUTE, urgency, outcome, cause });
        teams.addAmount({ team: exchange.team?.name ?? NO_TEAM, outcome });
        for (const { resultKind } of exchange.attempts) {
            sends.addAmount({ service: exchange.service, result: resultKind });
        }
        if (callerLeftAt !== undefined) {
            workAfterLeaving.recordDuration({ route: exchange.route?.name ?? NO_ROUTE }, endedAt - callerLeftAt);
        }
        recordFirstByte(exchange, urgency);
    }

    function recordFirstByte(exchange: DirectExchange, urgency: string): void {
        if (exchange.firstByteAt !== undefined) {
            firstBytes.recordDuration(
                { service: exchange.service, urgency },
                exchange.firstByteAt - exchange.arrivedAt,
            );
        }
    }
}

function addStateGauges(set: MetricSet, state: DirectRouterState): void {
    set.addGauge({ name: "auburnpass_running", help: "Requests in progress" }, () => state.countActiveRequests());
    set.addGauge({ name: "auburnpass_document_version", help: "Version of the routes in force" }, () =>
        state.getDocumentVersion(),
    );
    set.addGauge({ name: "auburnpass_known_endpoints", help: "Endpoints known" }, () => state.countEndpoints());
    set.addGauge({ name: "auburnpass_known_routers", help: "Routers known" }, () => state.countRouters());
    set.addGauge(
        { name: "auburnpass_refused_parts", help: "Parts of prompts that crashed endpoints and are refused" },
        () => state.countRefusedParts(),
    );
    set.addGauge({ name: "auburnpass_limited_endpoints", help: "Endpoints that name a limit on requests" }, () =>
        state.countLimited(),
    );
    set.addGauge({ name: "auburnpass_cold_endpoints", help: "Endpoints that are cold after their start" }, () =>
        state.countCold(),
    );
    set.addGauge(
        { name: "auburnpass_memory_endpoints", help: "Endpoints that hold requests of this router with known tokens" },
        () => state.countMemoryInUse(),
    );
    set.addGauge(
        { name: "auburnpass_store_age_seconds", help: "Time since the store last confirmed the endpoints" },
        () => state.getStoreAgeMs() / MS_PER_SECOND,
    );
    set.addGauge(
        { name: "auburnpass_document_age_seconds", help: "Time since the store last confirmed the document" },
        () => state.getDocumentAgeMs() / MS_PER_SECOND,
    );
    set.addGauge(
        { name: "auburnpass_document_behind_seconds", help: "Time for which a higher version has been known" },
        () => state.getDocumentBehindMs() / MS_PER_SECOND,
    );
    set.addGauge({ name: "auburnpass_evacuated_zones", help: "Availability zones that get no requests" }, () =>
        state.countEvacuatedZones(),
    );
    set.addGauge(
        { name: "auburnpass_evacuation_age_seconds", help: "Time since the store last confirmed the evacuated zones" },
        () => state.getEvacuationAgeMs() / MS_PER_SECOND,
    );
    set.addGauges(
        { name: "auburnpass_admission_level", help: "Admission level: 0 keeps all requests, 1 none" },
        ["service"],
        () => state.listAdmissionLevels().map(({ service, level }) => ({ labels: { service }, value: level })),
    );
    set.addGauge({ name: "auburnpass_reads_store", help: "Whether this router reads the store itself" }, () =>
        state.isReadingStore() ? 1 : 0,
    );
    set.addGauge({ name: "auburnpass_caller_bytes", help: "Bytes held for callers" }, () => state.getCallerBytes());
    set.addGauge({ name: "auburnpass_caller_connections", help: "Connections of callers" }, () =>
        state.countCallerConnections(),
    );
}
