// A caller that sends one request on a new connection and waits a little longer than its deadline.
import http from "node:http";
import { clearTimeout, setTimeout } from "node:timers";

/**
 * Sends a request.
 * @param router - Router that takes it.
 * @param options - Attempt, path, method, deadline in milliseconds, and the time for which the caller waits.
 * @returns What the caller saw: `answer`, `closed` or `silence`, with the times in milliseconds.
 */
export function sendRequest(router, { attempt, path, method = "GET", deadlineMs = 4000, waitMs, key, headers = {} }) {
    return new Promise(resolve => {
        const sentAt = Date.now();
        let result = { kind: "silence" };
        const request = http.request({
            host: router.address,
            port: router.port,
            method,
            path,
            agent: false,
            headers: {
                host: "shop.example",
                "attempt-id": attempt,
                "deadline-ms": String(deadlineMs),
                ...(key === undefined ? {} : { "x-api-key": key }),
                ...(method === "POST" ? { "content-length": "0" } : {}),
                ...headers,
            },
        });
        const timer = setTimeout(() => finish({ kind: "silence" }), waitMs ?? deadlineMs + 1000);
        request.on("response", response => {
            let body = "";
            response.setEncoding("utf8");
            response.on("data", chunk => (body += chunk));
            response.on("error", () => undefined);
            response.on("close", () => {
                const kind = response.complete ? "answer" : "closed";
                finish({ kind, status: response.statusCode, stamp: response.headers["server-stamp"], body });
            });
        });
        request.on("error", error => finish({ kind: "closed", error: error.message }));
        request.end();

        function finish(seen) {
            clearTimeout(timer);
            request.destroy();
            result = { attempt, path, router: router.name, ...seen, sentAt, lastedMs: Date.now() - sentAt };
            resolve(result);
        }
    });
}
