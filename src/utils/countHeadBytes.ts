import type http from "node:http";

/**
 * Counts the bytes of the header lines as received.
 * @param request - Request.
 */
export function countHeadBytes(request: http.IncomingMessage): number {
    const separators = 4;
    let bytes = 0;
    for (let index = 0; index < request.rawHeaders.length; index++) {
        bytes += (request.rawHeaders[index] ?? "").length + separators / 2;
    }
    return bytes;
}
