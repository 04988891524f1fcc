import { Cause, Outcome, type Refusal } from "../../protocol/index.js";
import type { Filter } from "../../router/pipeline.js";
import type { DirectExchange } from "../DirectExchange.js";
import { createCallerTimeoutTracker } from "../CallerTimeoutTracker.js";
import type { RouteDefinition, WeightedService } from "../RoutingDocument.js";

/** Options of the filter. */
export interface FindRouteOptions {
    /** Tells whether the document in force may be outdated, because neither the store nor a peer has answered recently. */
    isOutdated: () => boolean;
    drawRandom: () => number;
}

const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;
/** Retry-after while the document may be outdated, in milliseconds: a disconnected router has often recovered by then. */
const OUTDATED_RETRY_MS = 500;

/**
 * Creates the filter that finds the route of a request and the service that it goes to.
 * @param options - State of the routing document, and a source of random numbers.
 */
export function createFindRoute(options: FindRouteOptions): Filter<DirectExchange> {
    const callerTimeouts = createCallerTimeoutTracker();
    return exchange => {
        const { request, index } = exchange;
        const route = index.findRoute(request.headers.host ?? "", request.url ?? "/");
        if (route === undefined) {
            return options.isOutdated() ? createOutdatedRefusal() : createUnknownRouteRefusal();
        }
        exchange.route = route;
        exchange.waitedBeforeMs = callerTimeouts.recordTimeout(route.name, exchange.callerTimeoutMs);
        exchange.service = pickService(route, options.drawRandom());
        exchange.shortenDeadline(exchange.arrivedAt + route.timeoutMs);
        return undefined;
    };
}

/** Picks a service at random, by the weights of the route. */
function pickService(route: RouteDefinition, random: number): string {
    const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
    let remaining = random * total;
    let last: WeightedService | undefined;
    for (const share of route.shares.filter(candidate => candidate.weight > 0)) {
        last = share;
        remaining -= share.weight;
        if (remaining < 0) {
            break;
        }
    }
    return last?.service ?? route.shares[0]?.service ?? "";
}

function createUnknownRouteRefusal(): Refusal {
    return {
        status: STATUS_NOT_FOUND,
        outcome: Outcome.NotRun,
        cause: Cause.UnknownTarget,
        detail: "no route matches this host and path",
        retryAfterMs: undefined,
    };
}

/**
 * Creates the refusal of a router that can't tell whether its routing document is current.
 */
export function createOutdatedRefusal(): Refusal {
    return {
        status: STATUS_UNAVAILABLE,
        outcome: Outcome.NotRun,
        cause: Cause.NoDocument,
        detail: "this host can't reach the platform, so it can't tell whether the request is allowed",
        retryAfterMs: OUTDATED_RETRY_MS,
    };
}
