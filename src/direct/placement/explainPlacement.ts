import http from "node:http";
import { Socket } from "node:net";
import type { Refusal } from "../../protocol/index.js";
import { runPipeline } from "../../router/pipeline.js";
import { readMonotonicMs } from "../../utils/time.js";
import { buildChoiceOptions, findOutageGate } from "../AttemptLoop.js";
import { createCrashGuard } from "../CrashGuard.js";
import type { DirectContext } from "../DirectContext.js";
import { type DirectExchange, type RoutedExchange, createDirectExchange, isRouted } from "../DirectExchange.js";
import type { RouteIndex } from "../RouteIndex.js";
import { type RetryState, createRetryState } from "../RetryState.js";
import { createNoCapacityRefusal, createNoEndpointRefusal, createOutageRefusal } from "../attemptRefusals.js";
import { chooseEndpoint, scoreEndpoint } from "../chooseEndpoint.js";
import { createFindRoute } from "../filters/findRoute.js";
import { createFindTeam } from "../filters/findTeam.js";
import { prepareExchange } from "../prepareExchange.js";
import { applyCallerTimeout, readCallerTimeout } from "../readCallerTimeout.js";
import { PlacementDecision, type PlacementQuery, type PlacementReport } from "./PlacementReport.js";

/** What becomes of a request. */
type Placement = Pick<PlacementReport, "decision"> & Partial<PlacementReport>;

/**
 * Explains where a request would go now, without sending it, and without counting it anywhere. Its body isn't known, so a
 * suspicion against the body itself isn't seen; it counts as the first attempt of its caller.
 * @param query - Head of the request.
 * @param context - Shared parts of the router.
 * @param index - Routes in force.
 * @param isOutdated - Tells whether the routes may be outdated.
 */
export async function explainPlacement(
    query: PlacementQuery,
    context: DirectContext,
    index: RouteIndex,
    isOutdated: () => boolean,
): Promise<PlacementReport> {
    const exchange = createQueriedExchange(query, context, index);
    try {
        const filters = [
            createFindRoute({ isOutdated, drawRandom: context.drawRandom }),
            createFindTeam(context.names, isOutdated),
        ];
        const refusal = await runPipeline(filters, exchange);
        return buildReport(exchange, context, refusal);
    } finally {
        exchange.clearDeadline();
    }
}

function createQueriedExchange(query: PlacementQuery, { names }: DirectContext, index: RouteIndex): DirectExchange {
    const request = new http.IncomingMessage(new Socket());
    request.url = query.path;
    request.headers = Object.fromEntries(query.headers.map(([name, value]) => [name.toLowerCase(), value]));
    request.headers.host = query.host;
    if (query.teamKey !== undefined) {
        request.headers[names.teamKey] = query.teamKey;
    }
    const callerTimeoutMs = readCallerTimeout(request.headers, names);
    const response = new http.ServerResponse(request);
    const exchange = createDirectExchange({ request, response, index, id: "", callerTimeoutMs });
    applyCallerTimeout(exchange);
    return exchange;
}

function buildReport(exchange: DirectExchange, context: DirectContext, refusal: Refusal | undefined): PlacementReport {
    const report: PlacementReport = {
        documentVersion: exchange.index.document.version,
        route: exchange.route?.name,
        service: exchange.route === undefined ? undefined : exchange.service,
        team: exchange.team?.name,
        decision: PlacementDecision.Refused,
        endpoint: undefined,
        waitsFor: undefined,
        maxWaitMs: undefined,
        refusal: undefined,
        candidates: [],
        excluded: [],
    };
    if (refusal !== undefined || !isRouted(exchange)) {
        return { ...report, ...(refusal && buildRefused(refusal)) };
    }
    prepareExchange(exchange, context);
    const state = createRetryState();
    return { ...report, ...listEndpoints(exchange, context, state), ...findPlacement(exchange, context, state) };
}

function listEndpoints(
    exchange: RoutedExchange,
    context: DirectContext,
    state: RetryState,
): Pick<PlacementReport, "candidates" | "excluded"> {
    const options = buildChoiceOptions(exchange, context, state);
    const assessed = context.candidates.assessEndpoints(exchange.service, exchange.demand, options.now);
    const candidates = assessed
        .filter(({ reasons }) => reasons.length === 0)
        .map(({ endpoint }) => ({
            endpoint: endpoint.id,
            zone: endpoint.zone,
            score: scoreEndpoint(endpoint, options),
            isBackingOff: context.health.isBackingOff(endpoint.id, options.now),
        }));
    const excluded = assessed
        .filter(({ reasons }) => reasons.length > 0)
        .map(({ endpoint: { id, zone }, reasons }) => ({ endpoint: id, zone, reasons }));
    return { candidates: candidates.sort((left, right) => left.score - right.score), excluded };
}

/** Takes the same steps as the attempt loop up to the first send, with the previews of those that keep a state. */
function findPlacement(exchange: RoutedExchange, context: DirectContext, state: RetryState): Placement {
    const crashRefusal = createCrashGuard(exchange, context).findRefusal(state);
    if (crashRefusal !== undefined) {
        return buildRefused(crashRefusal);
    }
    return findOutagePlacement(exchange, context, state) ?? findAdmissionPlacement(exchange, context, state);
}

/** Tells what an outage makes of a request; undefined if it goes on to the admission. */
function findOutagePlacement(
    exchange: RoutedExchange,
    context: DirectContext,
    state: RetryState,
): Placement | undefined {
    const gate = findOutageGate(exchange, context);
    if (gate === undefined) {
        const now = readMonotonicMs();
        const delayMs = context.outages.previewRequest(exchange.service, exchange.deadlineAt - now, now);
        return delayMs === undefined ? undefined : buildRefused(createOutageRefusal(state, delayMs));
    }
    const action = gate.previewTurn(exchange, state);
    if (action === undefined) {
        return { decision: PlacementDecision.Waits, waitsFor: "the end of an outage, or its turn after it" };
    }
    return action.isSent ? undefined : buildRefused(createOutageRefusal(state, action.delayMs));
}

function findAdmissionPlacement(exchange: RoutedExchange, context: DirectContext, state: RetryState): Placement {
    const step = context.admission.previewStep(exchange);
    if ("waitMs" in step) {
        return { decision: PlacementDecision.Waits, waitsFor: "an endpoint with room", maxWaitMs: step.waitMs };
    }
    if ("refusal" in step) {
        exchange.admissionDelayMs = step.delayMs;
        return buildRefused(createNoCapacityRefusal(state, exchange, context));
    }
    const endpoint = chooseEndpoint(step.open, buildChoiceOptions(exchange, context, state));
    return endpoint === undefined
        ? buildRefused(createNoEndpointRefusal(state, exchange, context))
        : { decision: PlacementDecision.Sent, endpoint: endpoint.id };
}

function buildRefused({ status, cause, detail, retryAfterMs }: Refusal): Placement {
    return { decision: PlacementDecision.Refused, refusal: { status, cause, detail, retryAfterMs } };
}
