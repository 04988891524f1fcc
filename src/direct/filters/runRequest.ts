import { readMonotonicMs } from "../../utils/time.js";
import { waitForTurn } from "../../utils/waitForTurn.js";
import type { Filter } from "../../router/pipeline.js";
import { runAttempts } from "../AttemptLoop.js";
import { prepareExchange } from "../prepareExchange.js";
import { createTimeoutRefusal } from "../attemptRefusals.js";
import type { DirectContext } from "../DirectContext.js";
import { type DirectExchange, type RoutedExchange, isRouted } from "../DirectExchange.js";
import { RouteKind } from "../RoutingDocument.js";
import { createStreamRelay } from "../relay/StreamRelay.js";
import { createBufferedRelay } from "../relay/BufferedRelay.js";

/**
 * Creates the filter that sends a request to endpoints and passes the answer on.
 * @param context - Shared components of the router.
 */
export function createRunRequest(context: DirectContext): Filter<DirectExchange> {
    return async exchange => {
        if (!isRouted(exchange)) {
            throw new Error("expected an exchange with a route");
        }
        context.retries.recordRequest(exchange.service);
        prepareExchange(exchange, context);
        if (!(await waitForTurn(exchange.response, exchange.abortController.signal))) {
            return exchange.isCallerGone ? undefined : createTimeoutRefusal(false);
        }
        const isStream = exchange.route.kind === RouteKind.Stream;
        const relay = isStream
            ? createStreamRelay(exchange, context.names.lastEvent, {
                  onPause: pauseMs => recordPause(exchange, pauseMs),
                  onFirstEvent: () => context.quarantine.recordAnswer(exchange.sharedParts, readMonotonicMs()),
              })
            : createBufferedRelay(exchange);
        return runAttempts(exchange, context, relay);
    };

    function recordPause(exchange: RoutedExchange, pauseMs: number): void {
        const { service, route, index } = exchange;
        const engine = index.findService(service)?.engine;
        if (route.maxPauseMs === 0 || engine === undefined) {
            return;
        }
        const perBatchMs = engine.perSequenceMs * engine.slots;
        context.pace.recordPause(pauseMs, route.maxPauseMs, {
            service,
            now: readMonotonicMs(),
            getUsedShare: () => context.admission.computeUtilization(service),
            fixedShare: engine.stepMs / (engine.stepMs + perBatchMs),
        });
    }
}
