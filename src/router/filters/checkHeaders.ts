import type http from "node:http";
import { Cause, Outcome, findHeaderFault } from "../../protocol/index.js";
import type { Filter } from "../pipeline.js";

const STATUS_BAD_REQUEST = 400;

/** Creates the filter that refuses requests with headers that can't be sent on to an endpoint. */
export function createCheckHeaders<E extends { readonly request: http.IncomingMessage }>(): Filter<E> {
    return ({ request }) => {
        const detail = findHeaderFault(request.rawHeaders);
        return detail === undefined
            ? undefined
            : {
                  status: STATUS_BAD_REQUEST,
                  outcome: Outcome.NotRun,
                  cause: Cause.MalformedRequest,
                  detail,
                  retryAfterMs: undefined,
              };
    };
}
