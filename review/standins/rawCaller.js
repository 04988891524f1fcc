// A caller that reads the bytes of its answer itself: interim answers (1xx) are noted, and the final answer is waited for.
import net from "node:net";
import { clearTimeout, setTimeout } from "node:timers";

const HEAD_END = "\r\n\r\n";

/**
 * Sends a request without a body on a new connection.
 * @param router - Router that takes it.
 * @param options - Attempt, method, path, key and deadline in milliseconds, and the time for which the caller waits.
 * @returns `answer`, `closed` or `silence`, with the interim heads that came before, and times in milliseconds.
 */
export function sendRawRequest(router, { attempt, path, method = "GET", deadlineMs, waitMs, key }) {
    return new Promise(resolve => {
        const sentAt = Date.now();
        const interim = [];
        let bytes = "";
        const socket = net.connect(router.port, router.address);
        const timer = setTimeout(() => finish({ kind: "silence" }), waitMs ?? deadlineMs + 1000);
        socket.setEncoding("latin1");
        socket.on("data", chunk => {
            bytes += chunk;
            readBytes();
        });
        socket.on("error", error => finish({ kind: "closed", error: error.message }));
        socket.on("close", () => finish({ kind: "closed" }));
        socket.write(
            `${method} ${path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: ${attempt}\r\nDeadline-Ms: ${deadlineMs}\r\n` +
                `X-Api-Key: ${key}\r\n${method === "POST" ? "Content-Length: 0\r\n" : ""}\r\n`,
        );

        function readBytes() {
            const end = bytes.indexOf(HEAD_END);
            if (end < 0) {
                return;
            }
            const head = bytes.slice(0, end);
            const status = Number(head.slice("HTTP/1.1 ".length).slice(0, 3));
            if (status < 200) {
                interim.push(head.replaceAll("\r\n", " | "));
                bytes = bytes.slice(end + HEAD_END.length);
                readBytes();
                return;
            }
            const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
            const body = bytes.slice(end + HEAD_END.length);
            if (body.length >= length) {
                const stamp = /^server-stamp: (.*)$/im.exec(head)?.[1];
                finish({ kind: "answer", status, stamp, body });
            }
        }

        function finish(seen) {
            clearTimeout(timer);
            socket.destroy();
            const facts = { attempt, path, router: router.name, sentAt, lastedMs: Date.now() - sentAt };
            resolve({ ...facts, interim, ...seen });
        }
    });
}
