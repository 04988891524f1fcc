import http from "node:http";

/** Lowest status that can be written as the head of a response. */
const MIN_STATUS = 100;

/**
 * Finds what keeps the head of a response from being passed on. The HTTP parser of Node.js takes statuses and names of headers
 * that `writeHead` refuses, after some of the response may have been processed.
 * @param message - Response whose head has arrived.
 * @returns Description of the fault; undefined if there is none.
 */
export function findHeadFault({ statusCode, rawHeaders }: http.IncomingMessage): string | undefined {
    if (statusCode === undefined || statusCode < MIN_STATUS) {
        return `response has the status ${String(statusCode)}`;
    }
    return findHeaderFault(rawHeaders);
}

/**
 * Finds a header that can't be written again.
 * @param rawHeaders - Names and values in turn, as received.
 * @returns Description of the fault; undefined if there is none.
 */
export function findHeaderFault(rawHeaders: readonly string[]): string | undefined {
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] ?? "";
        try {
            http.validateHeaderName(name);
            http.validateHeaderValue(name, rawHeaders[index + 1] ?? "");
        } catch {
            return `header ${JSON.stringify(name)} is malformed`;
        }
    }
    return undefined;
}
