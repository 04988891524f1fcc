import type http from "node:http";

/**
 * Closes the connection after the response if the body of its request was not read to its end. Node.js would read on until
 * the caller has taken the end of the response.
 * @param request - Request.
 * @param response - Response that is to be sent.
 */
export function closeAfterUnreadBody(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (!request.complete && !response.headersSent) {
        response.setHeader("connection", "close");
        response.once("finish", () => request.socket.destroy());
        // What the parser still delivers of the body would be kept, one object for each tiny chunk.
        Object.assign(request, { push: () => true });
        request.socket.pause();
    }
}
