import { Cause, Outcome, type Refusal } from "../../protocol/index.js";
import { waitForTurn } from "../../utils/waitForTurn.js";
import { watchDisconnect } from "../../utils/watchDisconnect.js";
import { isReadyExchange } from "../Exchange.js";
import type { RouterContext } from "../RouterContext.js";
import type { Filter } from "../pipeline.js";
import { runOnce } from "./runOnce.js";
import { runRepeatable } from "./runRepeatable.js";

const STATUS_ERROR = 500;

/**
 * Creates the last filter, which gets the answer from the endpoints.
 * @param context - Router.
 */
export function createExecute(context: RouterContext): Filter {
    return async exchange => {
        if (!isReadyExchange(exchange)) {
            return createBug();
        }
        const controller = new AbortController();
        watchDisconnect(exchange.response, () => {
            exchange.isCallerDisconnected = true;
            if (exchange.target.isIdempotent) {
                controller.abort();
            }
        });
        if (!(await waitForTurn(exchange.response))) {
            return undefined;
        }
        return exchange.target.isIdempotent
            ? runRepeatable(context, exchange, controller.signal)
            : runOnce(context, exchange, controller.signal);
    };
}

function createBug(): Refusal {
    return {
        status: STATUS_ERROR,
        outcome: Outcome.NotRun,
        cause: Cause.MalformedRequest,
        detail: "expected a classified request",
        retryAfterMs: undefined,
    };
}
