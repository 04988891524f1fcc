import http from "node:http";

/** Bounds of the statuses that end an exchange; lower ones announce another response, higher ones are not defined. */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/**
 * Finds what keeps the head of a response from being passed on as that of the final response. The HTTP parser of Node.js takes
 * statuses and names of headers that `writeHead` refuses, and reports status 101 like a final one.
 * @param message - Response whose head has arrived.
 * @returns Description of the fault; undefined if there is none.
 */
export function findHeadFault({ statusCode, rawHeaders }: http.IncomingMessage): string | undefined {
    if (statusCode === undefined || statusCode < MIN_FINAL_STATUS || statusCode > MAX_FINAL_STATUS) {
        return `the response has the status ${String(statusCode)}, which is not a final one`;
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
            return `the header ${JSON.stringify(name)} is malformed`;
        }
    }
    return undefined;
}
