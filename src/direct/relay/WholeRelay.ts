import type http from "node:http";
import { copyEndToEndHeaders } from "../../protocol/index.js";
import { readWholeBody } from "../../utils/http.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { DirectExchange } from "../DirectExchange.js";
import type { OpenedAnswer } from "../EndpointCall.js";
import { AnswerRelay, RelayEnd } from "./AnswerRelay.js";

/**
 * Largest answer that is held until it is whole, in bytes: many times the answers of plain services, and little enough
 * that a hundred endpoints which send without end don't fill a router's memory.
 */
const MAX_ANSWER_BYTES = 1024 * 1024;
const FIRST_FAILURE_STATUS = 500;

interface KeptAnswer {
    status: number;
    headers: http.IncomingHttpHeaders;
    body: Buffer;
}

/**
 * Creates a relay that passes an answer on once it is whole, so that a cut answer can be replaced by another endpoint's.
 * @param exchange - Exchange that waits for the answer.
 */
export function createWholeRelay(exchange: DirectExchange): AnswerRelay {
    let kept: KeptAnswer | undefined;

    return new (class WholeRelay extends AnswerRelay {
        override async relayAnswer(answer: OpenedAnswer, isLast: boolean): Promise<RelayEnd> {
            const { response, status } = answer;
            let body: Buffer;
            try {
                body = await readWholeBody(response, MAX_ANSWER_BYTES);
            } catch {
                // The reason stands in the log of the attempt: whatever it is, the answer isn't whole.
                response.destroy();
                return RelayEnd.Broken;
            }
            if (answer.isCut()) {
                return RelayEnd.Broken;
            }
            const whole = { status, headers: response.headers, body };
            if (status >= FIRST_FAILURE_STATUS && !isLast) {
                kept = whole;
                return RelayEnd.Failed;
            }
            sendWhole(whole);
            return RelayEnd.Whole;
        }

        override buildAttemptHeaders(): Record<string, string> {
            return {};
        }

        override sendKeptFailure(): boolean {
            if (kept === undefined) {
                return false;
            }
            sendWhole(kept);
            return true;
        }
    })();

    function sendWhole(answer: KeptAnswer): void {
        if (exchange.isCallerGone) {
            return;
        }
        exchange.firstByteAt = readMonotonicMs();
        const headers = copyEndToEndHeaders(answer.headers, ["content-length", "date"]);
        const { response, request } = exchange;
        const isBodyless = request.method === "HEAD" || answer.status === 204 || answer.status === 304;
        if (!isBodyless) {
            headers["content-length"] = String(answer.body.length);
        }
        response.writeHead(answer.status, headers);
        response.end(isBodyless ? undefined : answer.body);
    }
}
