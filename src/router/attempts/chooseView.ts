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
const LEAST_WARMTH = 0.25;

/**
 * Chooses the endpoint of the next attempt.
 * @param context - Router.
 * @param exchange - Request.
 * @param tried - Hosts that were tried already.
 */
export function chooseView(
    context: RouterContext,
    exchange: ReadyExchange,
    tried: ReadonlySet<string>,
): EndpointView | undefined {
    const now = readMonotonicMs();
    const { kind, name, prefixHash, rank } = exchange.target;
    const views = context.table.listUsable(kind, name, now);
    const candidates = views.map(view => createCandidate(view, rank, now));
    const structure = { prefixHash, zone: context.zone, triedHosts: tried };
    return context.choice.chooseEndpoint(candidates, structure)?.view;
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
        rampUpFactor: Math.min(1, Math.max(LEAST_WARMTH, age / WARM_UP_MS)),
    };
}
