import type http from "node:http";
import { copyEndToEndHeaders } from "../protocol/index.js";
import { readMonotonicMs } from "../utils/time.js";
import { type RoutedExchange, getUrgency, isPastTarget } from "./DirectExchange.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { HeaderNames } from "./HeaderNames.js";

const LEAST_URGENT_LEVEL = 9;
/** Added to the urgency level of a request whose target time has passed, so that requests still in time go first. */
const LATE_URGENCY_PENALTY = 5;

/**
 * Builds the headers of a request to an endpoint: the caller's headers, and the router's, which override the caller's.
 * @param exchange - Exchange with a route.
 * @param names - Names of the headers.
 * @param endpoint - The only endpoint that may run the request.
 * @param extraHeaders - Additional headers of this request.
 */
export function buildEndpointHeaders(
    exchange: RoutedExchange,
    names: HeaderNames,
    endpoint: EndpointRecord,
    extraHeaders: Record<string, string>,
): http.OutgoingHttpHeaders {
    const { request } = exchange;
    const routerHeaders = [names.teamKey, names.team, names.deadline, names.expectedEndpoint, names.urgency];
    const connectionHeaders = (request.headers.connection ?? "").split(",").map(name => name.trim().toLowerCase());
    const headers: http.OutgoingHttpHeaders = copyEndToEndHeaders(request.headers, [
        ...routerHeaders,
        ...connectionHeaders,
        "content-length",
    ]);
    const remainingMs = Math.max(1, Math.floor(exchange.deadlineAt - readMonotonicMs()));
    headers.host = request.headers.host;
    headers[names.deadline] = String(remainingMs);
    headers[names.expectedEndpoint] = endpoint.id;
    headers[names.urgency] = String(computeQueueUrgency(exchange));
    if (exchange.team !== undefined) {
        headers[names.team] = exchange.team.name;
    }
    const hasBody =
        request.headers["content-length"] !== undefined || request.headers["transfer-encoding"] !== undefined;
    if (hasBody) {
        headers["content-length"] = String(exchange.body.length);
    }
    return { ...headers, ...extraHeaders };
}

/** Computes the urgency level in the endpoint's queue, from 0 (most urgent) to 9. */
function computeQueueUrgency(exchange: RoutedExchange): number {
    const penalty = isPastTarget(exchange, readMonotonicMs()) ? LATE_URGENCY_PENALTY : 0;
    return Math.min(
        LEAST_URGENT_LEVEL,
        exchange.index.getUrgencyLevel(getUrgency(exchange), exchange.route.urgency) + penalty,
    );
}
