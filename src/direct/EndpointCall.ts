import http from "node:http";
import type { Socket } from "node:net";
import { ErrorCode, hasErrorCode } from "../errors/index.js";
import { limitAnswerHead } from "../utils/limitAnswerHead.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { HeaderNames } from "./HeaderNames.js";

/** A request as it is sent to one endpoint. */
export interface EndpointRequest {
    endpoint: EndpointRecord;
    method: string;
    /** Path and query, as the caller sent them. */
    path: string;
    headers: http.OutgoingHttpHeaders;
    body: Buffer;
    /** Identifier of the caller's attempt, which the answer must echo. */
    attemptId: string;
}

/** Why a call to an endpoint has no usable answer. */
export enum CallFailure {
    /** No connection; nothing was sent. */
    Unreachable = "unreachable",
    /** The connection ended before the answer was whole. */
    Cut = "cut",
    /** The answer belongs to another request. */
    Mismatched = "mismatched",
    /** The answer isn't a well-formed answer of the endpoint. */
    Spoiled = "spoiled",
    /** The caller left or its time is over. */
    Cancelled = "cancelled",
}

/** What is known of a failed call. */
export interface FailedCall {
    failure: CallFailure;
    /** False only if no byte of the request was sent. */
    mayHaveRun: boolean;
    detail: string;
}

/** An answer whose head has arrived and belongs to the request. */
export interface OpenedAnswer {
    response: http.IncomingMessage;
    status: number;
    /** The endpoint declares that it has not run the request. */
    isNotRun: boolean;
    /**
     * Tells whether the connection broke. The parser takes a reset for the end of an answer without a length,
     * so its own word that the answer is complete isn't enough.
     */
    isCut: () => boolean;
}

/** Result of opening a call. */
export type CallOpening = { answer: OpenedAnswer } | { failed: FailedCall };

/** Time allowed for a new connection inside a region, in milliseconds; several round trips, below the second of a lost first packet. */
export const CONNECT_TIMEOUT_MS = 400;
const STATUS_MISDIRECTED = 421;
const STATUS_SUCCESS_FROM = 200;
const STATUS_SUCCESS_TO = 299;

/**
 * Sends a request to an endpoint on a connection of its own and waits for the head of the answer.
 * A connection is used once, so no late or doubled answer can meet another request.
 * @param request - Request.
 * @param names - Names of the headers.
 * @param signal - Ends the call and its connection.
 */
export function openEndpointCall(
    request: EndpointRequest,
    names: HeaderNames,
    signal: AbortSignal,
): Promise<CallOpening> {
    return new Promise(resolve => {
        const { endpoint } = request;
        let isConnected = false;
        let isCut = false;
        const call = http.request({
            host: endpoint.host,
            port: endpoint.port,
            method: request.method,
            path: request.path,
            headers: request.headers,
            agent: false,
            signal,
        });
        const connectTimer = setTimeout(() => call.destroy(new Error("connect timeout")), CONNECT_TIMEOUT_MS);
        call.on("socket", socket => {
            socket.setNoDelay(true);
            limitAnswerHead(call, socket);
            socket.once("connect", () => {
                isConnected = true;
                clearTimeout(connectTimer);
            });
        });
        call.on("error", error => {
            isCut = true;
            clearTimeout(connectTimer);
            resolve({ failed: describeFailure(error, isConnected, signal.aborted) });
        });
        call.on("response", response => {
            clearTimeout(connectTimer);
            response.on("error", () => undefined);
            if (!isFramed(response)) {
                response.socket.prependListener("end", () => checkReset(response.socket, () => (isCut = true)));
            }
            const opening = checkHead(response, request, names, () => isCut);
            if ("failed" in opening) {
                response.destroy();
            }
            resolve(opening);
        });
        call.end(request.body.length > 0 ? request.body : undefined);
    });
}

/**
 * Tells whether the head says where the body ends; else the body ends with the connection.
 * @param response - Answer whose head has arrived.
 */
export function isFramed(response: http.IncomingMessage): boolean {
    return response.headers["content-length"] !== undefined || response.headers["transfer-encoding"] !== undefined;
}

/**
 * Finds out whether a connection that seems to have ended in order was reset. A reset that arrives together with data
 * is reported as an end; but a reset connection has no peer any more, and takes no byte. The empty line that is written
 * means nothing in the protocol.
 */
function checkReset(socket: Socket, onReset: () => void): void {
    if (socket.remoteAddress === undefined) {
        onReset();
        return;
    }
    socket.write(EMPTY_LINE, error => {
        if (error) {
            onReset();
        }
    });
}

const EMPTY_LINE = "\r\n";

function describeFailure(error: Error, isConnected: boolean, isAborted: boolean): FailedCall {
    if (isAborted) {
        return { failure: CallFailure.Cancelled, mayHaveRun: isConnected, detail: error.message };
    }
    if (!isConnected) {
        return { failure: CallFailure.Unreachable, mayHaveRun: false, detail: error.message };
    }
    const isParseError = (error as NodeJS.ErrnoException).code?.startsWith("HPE_") === true;
    const isNoAnswer = isParseError || hasErrorCode(error, ErrorCode.TooLarge);
    return { failure: isNoAnswer ? CallFailure.Spoiled : CallFailure.Cut, mayHaveRun: true, detail: error.message };
}

/** Checks that the answer belongs to the request, and that a success bears a signature. */
function checkHead(
    response: http.IncomingMessage,
    request: EndpointRequest,
    names: HeaderNames,
    isCut: () => boolean,
): CallOpening {
    const { headers } = response;
    const status = response.statusCode ?? 0;
    const echoed = headers[names.attempt];
    const isNotRun = headers[names.notRun] !== undefined || status === STATUS_MISDIRECTED;
    if (echoed !== undefined && echoed !== request.attemptId) {
        return createHeadFailure(CallFailure.Mismatched, `the answer is for attempt ${String(echoed)}`);
    }
    if (isNotRun) {
        return { answer: { response, status, isNotRun, isCut } };
    }
    if (echoed === undefined) {
        return createHeadFailure(CallFailure.Spoiled, `status ${status} names no attempt`);
    }
    if (headers["content-encoding"] !== undefined) {
        return createHeadFailure(CallFailure.Spoiled, "the body has an encoding that nobody asked for");
    }
    const isSuccess = status >= STATUS_SUCCESS_FROM && status <= STATUS_SUCCESS_TO;
    if (isSuccess && headers[names.signature] === undefined) {
        return createHeadFailure(CallFailure.Spoiled, `status ${status} without a signature`);
    }
    return { answer: { response, status, isNotRun, isCut } };
}

function createHeadFailure(failure: CallFailure, detail: string): CallOpening {
    return { failed: { failure, mayHaveRun: true, detail } };
}
