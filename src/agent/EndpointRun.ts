import type http from "node:http";
import { urlToHttpOptions } from "node:url";
import { type EventField, copyEndToEndHeaders, findHeadFault, getHeader } from "../protocol/index.js";
import { sendHttpCall } from "../utils/http.js";
import { openHttpCall } from "../utils/openHttpCall.js";
import { type Settlement, settleFromEvents } from "../utils/settleFromEvents.js";
import { watchReset } from "../utils/watchReset.js";
import { type AnswerCheck, type AnswerFault, createEventStreamCheck, createFramedCheck } from "./AnswerCheck.js";
import { AnswerEnd, type KeptAnswer } from "./KeptAnswer.js";

/** What became of a request sent to the endpoint. */
export enum RunResult {
    Whole = "whole",
    /** The endpoint had the request, and gave no whole answer. */
    Broken = "broken",
    /** The endpoint gave an answer that lacks or repeats tokens. */
    Inconsistent = "inconsistent",
    /** The endpoint never had the request. */
    NeverSent = "never-sent",
}

/** A request for the endpoint. */
export interface EndpointRequest {
    attempt: string;
    method: string;
    path: string;
    headers: Record<string, string | string[]>;
    body: Buffer;
    /** Fields of the events that are passed on. */
    wantedFields: ReadonlySet<EventField>;
}

/** Options of a run. */
export interface EndpointRunOptions {
    endpointUrl: string;
    agent: http.Agent;
    request: EndpointRequest;
    answer: KeptAnswer;
    /** Longest time without progress after the head of the answer, in milliseconds. */
    stallMs: number;
    onFirstByte: () => void;
}

/** A request in progress at the endpoint. */
export interface EndpointRun {
    /** Settles when the run has ended. */
    result: Promise<EndpointRunEnd>;
    /** Cancels the run at the endpoint. */
    cancel(): void;
}

/** End of a run, with the reason of a failure. */
export interface EndpointRunEnd {
    result: RunResult;
    fault?: string;
    /** The endpoint does not answer any more. */
    isEndpointDead?: boolean;
}

const HEALTH_TIMEOUT_MS = 300;
const REQUEST_ID = "x-request-id";
const END_OF_RESULT: Record<RunResult, AnswerEnd> = {
    [RunResult.Whole]: AnswerEnd.Whole,
    [RunResult.Broken]: AnswerEnd.Broken,
    [RunResult.Inconsistent]: AnswerEnd.Inconsistent,
    [RunResult.NeverSent]: AnswerEnd.NeverStarted,
};

/**
 * Sends a request to the endpoint, once, and fills the kept answer.
 * @param options - Request, answer and bounds.
 */
export function startEndpointRun(options: EndpointRunOptions): EndpointRun {
    const { request, answer } = options;
    const cancellation = new AbortController();
    const call = openHttpCall<EndpointRunEnd>({
        target: {
            ...urlToHttpOptions(new URL(request.path, options.endpointUrl)),
            method: request.method,
            headers: { ...request.headers, [REQUEST_ID]: request.attempt, "content-length": request.body.length },
            agent: options.agent,
        },
        body: request.body,
        signal: cancellation.signal,
        readResponse: response => settleFromEvents(settlement => readAnswer(response, settlement)),
    });
    return {
        result: call.result.catch(createFailure).then(async end => {
            const isEndpointDead =
                end.result === RunResult.Broken &&
                !cancellation.signal.aborted &&
                (await isEndpointGone(options.endpointUrl));
            answer.finish(END_OF_RESULT[end.result]);
            return { ...end, isEndpointDead };
        }),
        cancel: () => cancellation.abort(),
    };

    /** A connection that was refused, or reused and closed before it took the request, carried nothing. */
    function createFailure(error: NodeJS.ErrnoException): EndpointRunEnd {
        const isNeverSent = !cancellation.signal.aborted && error.code === "ECONNREFUSED";
        return { result: isNeverSent ? RunResult.NeverSent : RunResult.Broken, fault: error.message };
    }

    function readAnswer(response: http.IncomingMessage, { resolve, guard }: Settlement<EndpointRunEnd>): void {
        const headFault = findHeadFault(response);
        if (headFault !== undefined) {
            resolve({ result: RunResult.Broken, fault: headFault });
            response.destroy();
            return;
        }
        const echoed = getHeader(response.headers, REQUEST_ID);
        if (echoed !== undefined && echoed !== request.attempt) {
            resolve({ result: RunResult.Broken, fault: "the answer of another request came" });
            response.destroy();
            return;
        }
        if (echoed === undefined) {
            // A late second copy could not be told from the answer to the next request on the connection.
            call.request.shouldKeepAlive = false;
        }
        const check = createCheck(response);
        let isReset = false;
        watchReset(response, () => (isReset = true));
        const stallTimer = setTimeout(() => failRun("the answer made no progress"), options.stallMs);
        options.onFirstByte();
        answer.setHead({ status: response.statusCode ?? 0, headers: copyEndToEndHeaders(response.headers) });
        response.on(
            "data",
            guard((chunk: Buffer) => {
                const part = check.checkChunk(chunk);
                if (part.hasProgressed) {
                    stallTimer.refresh();
                }
                if (part.passed.length > 0) {
                    answer.addChunk(part.passed);
                }
                if (part.fault !== undefined) {
                    failRun(part.fault.detail, part.fault);
                }
            }),
        );
        response.on("error", error => failRun(error.message));
        response.on(
            "close",
            guard(() => {
                clearTimeout(stallTimer);
                const isWhole = response.complete && !isReset;
                const fault = isWhole ? check.checkEnd()?.detail : "the connection closed in the middle";
                resolve(fault === undefined ? { result: RunResult.Whole } : { result: RunResult.Broken, fault });
            }),
        );

        function failRun(fault: string, checked?: AnswerFault): void {
            clearTimeout(stallTimer);
            const isInconsistent = checked?.isInconsistent === true;
            resolve({ result: isInconsistent ? RunResult.Inconsistent : RunResult.Broken, fault });
            response.destroy();
        }
    }

    function createCheck(response: http.IncomingMessage): AnswerCheck {
        const type = getHeader(response.headers, "content-type") ?? "";
        return type.startsWith("text/event-stream")
            ? createEventStreamCheck({ wantedFields: request.wantedFields })
            : createFramedCheck();
    }
}

/**
 * Asks the endpoint for its health.
 * @param endpointUrl - Address of the endpoint.
 * @returns True if nobody listens there any more.
 */
export async function isEndpointGone(endpointUrl: string): Promise<boolean> {
    try {
        await sendHttpCall({ method: "GET", url: new URL("/health", endpointUrl), timeoutMs: HEALTH_TIMEOUT_MS });
        return false;
    } catch (error) {
        const { code } = error as NodeJS.ErrnoException;
        return code === "ECONNREFUSED" || code === "ECONNRESET";
    }
}
