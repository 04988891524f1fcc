import type { WorkRank } from "../../config/index.js";
import type { EndpointView } from "../../membership/index.js";
import type { Candidate } from "../../scheduling/index.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { ReadyExchange } from "../Exchange.js";
import type { RouterContext } from "../RouterContext.js";

interface ViewCandidate extends Candidate {
    view: EndpointView;
}

const WARM_UP_MS = 10_000;
const MIN_WARM_UP_FACTOR = 0.25;

/**
 * Chooses the endpoint for the next attempt.
 * @param context - Router.
 * @param exchange - Request.
 * @param previousHosts - Hosts of previous attempts.
 */
export function chooseEndpointView(
    context: RouterContext,
    exchange: ReadyExchange,
    previousHosts: ReadonlySet<string>,
): EndpointView | undefined {
    const now = readMonotonicMs();
    const { kind, name, prefixHash, rank } = exchange.target;
    const views = context.table.listUsable(kind, name, now);
    const candidates = views.map(view => createCandidate(view, rank, now));
    const criteria = { prefixHash, zone: context.zone, triedHosts: previousHosts };
    return context.choice.chooseEndpoint(candidates, criteria)?.view;
}

function createCandidate(view: EndpointView, rank: WorkRank, now: number): ViewCandidate {
    const { fact } = view;
    const age = now - view.knownSince;
    return {
        view,
        host: fact.host,
        zone: fact.zone,
        load: Math.max(fact.ahead[rank], view.inFlight),
        concurrency: fact.concurrency,
        isAvoided: view.avoidedUntil > now,
        rampUpFactor: Math.min(1, Math.max(MIN_WARM_UP_FACTOR, age / WARM_UP_MS)),
    };
}
