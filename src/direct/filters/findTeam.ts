import { Cause, Outcome, type Refusal, getHeader } from "../../protocol/index.js";
import type { Filter } from "../../router/pipeline.js";
import { type DirectExchange, isRouted } from "../DirectExchange.js";
import type { HeaderNames } from "../HeaderNames.js";
import { createOutdatedRefusal } from "./findRoute.js";

const STATUS_UNAUTHORIZED = 401;

/**
 * Creates the filter that looks up a caller's team by its key.
 * @param names - Names of the headers.
 * @param isOutdated - Tells whether the document in force may be outdated.
 */
export function createFindTeam(names: HeaderNames, isOutdated: () => boolean): Filter<DirectExchange> {
    return exchange => {
        if (!isRouted(exchange) || !exchange.index.hasTeams()) {
            return undefined;
        }
        const key = getHeader(exchange.request.headers, names.teamKey);
        exchange.team = key === undefined ? undefined : exchange.index.findTeam(key);
        if (exchange.team !== undefined || exchange.route.isPublic) {
            return undefined;
        }
        return key !== undefined && isOutdated() ? createOutdatedRefusal() : createUnknownTeamRefusal();
    };
}

function createUnknownTeamRefusal(): Refusal {
    return {
        status: STATUS_UNAUTHORIZED,
        outcome: Outcome.NotRun,
        cause: Cause.UnknownTeam,
        detail: "no team has the key of this request",
        retryAfterMs: undefined,
    };
}
