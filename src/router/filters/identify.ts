import { Cause, Outcome, getHeader } from "../../protocol/index.js";
import { computeKeyDigest } from "../../utils/digest.js";
import type { Filter } from "../pipeline.js";

const STATUS_UNAUTHORIZED = 401;
const BEARER = /^Bearer (\S{1,512})$/;

/** Creates the filter that finds the team by its key. */
export function createIdentify(): Filter {
    return exchange => {
        const key = BEARER.exec(getHeader(exchange.request.headers, "authorization") ?? "")?.[1];
        exchange.team = key === undefined ? undefined : exchange.index.getTeam(computeKeyDigest(key));
        if (exchange.team !== undefined) {
            return undefined;
        }
        return {
            status: STATUS_UNAUTHORIZED,
            outcome: Outcome.NotRun,
            cause: Cause.UnknownTeam,
            detail: "expected the header `Authorization: Bearer KEY` with the key of a team",
            retryAfterMs: undefined,
        };
    };
}
