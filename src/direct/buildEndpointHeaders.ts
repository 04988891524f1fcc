import type http from "node:http";
import { copyEndToEndHeaders } from "../protocol/index.js";
import { readMonotonicMs } from "../utils/time.js";
import { type RoutedExchange, getUrgency, isPastTarget } from "./DirectExchange.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { HeaderNames } from "./HeaderNames.js";

const LEAST_URGENT = 9;
/** Added to the urgency of a request that can't be answered in time any more: requests that can go first. */
const LATE_STEP = 5;

/**
 * Builds the headers of a send: the caller's own, and those that the router sets whatever the caller sent.
 * @param exchange - Exchange with a route.
 * @param names - Names of the headers.
 * @param endpoint - Endpoint that alone may run the request.
 * @param more - Further headers of this send.
 */
export function buildEndpointHeaders(
    exchange: RoutedExchange,
    names: HeaderNames,
    endpoint: EndpointRecord,
    more: Record<string, string>,
): http.OutgoingHttpHeaders {
    const { request } = exchange;
    const ownNames = [names.teamKey, names.team, names.deadline, names.expectedEndpoint, names.urgency];
    const listed = (request.headers.connection ?? "").split(",").map(name => name.trim().toLowerCase());
    const headers: http.OutgoingHttpHeaders = copyEndToEndHeaders(request.headers, [
        ...ownNames,
        ...listed,
        "content-length",
    ]);
    const leftMs = Math.max(1, Math.floor(exchange.deadlineAt - readMonotonicMs()));
    headers.host = request.headers.host;
    headers[names.deadline] = String(leftMs);
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
    return { ...headers, ...more };
}

/** Computes the urgency for the endpoint's queue, 0 to 9. */
function computeQueueUrgency(exchange: RoutedExchange): number {
    const late = isPastTarget(exchange, readMonotonicMs()) ? LATE_STEP : 0;
    return Math.min(LEAST_URGENT, exchange.index.getUrgencyLevel(getUrgency(exchange), exchange.route.urgency) + late);
}
