// What all scripts share: the record, requests of callers, and an end that leaves no process behind.
import { appendFileSync, writeFileSync } from "node:fs";
import http from "node:http";
import process from "node:process";
import { clearTimeout, setTimeout } from "node:timers";
import { fileURLToPath } from "node:url";

/** Time after which a script ends itself, in milliseconds. */
const MAX_RUN_MS = 110_000;

/** Whether the disruption is played. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/**
 * Plays a scenario and ends the process: 1 if the rule was broken, 0 if it held, 2 if it could not run.
 * @param url - Address of the script's module; `record.txt` is written beside it.
 * @param play - Gets `record` and `addCleanup`, and returns whether the rule held.
 */
export async function playScenario(url, play) {
    const file = fileURLToPath(new URL("record.txt", url));
    const startedAt = Date.now();
    const cleanups = [];
    writeFileSync(file, `trouble: ${HAS_TROUBLE ? "yes" : "no"}\n`);
    const record = line => appendFileSync(file, `${String(Date.now() - startedAt).padStart(6)} ms  ${line}\n`);
    const finish = async code => {
        for (const cleanup of cleanups.reverse()) {
            await Promise.race([Promise.resolve(cleanup()).catch(() => undefined), sleep(3000)]);
        }
        process.exit(code);
    };
    setTimeout(() => {
        record("could not run: out of time");
        void finish(2);
    }, MAX_RUN_MS);
    process.once("SIGTERM", () => void finish(2));
    process.once("SIGINT", () => void finish(2));
    try {
        const isHeld = await play({ record, addCleanup: cleanup => cleanups.push(cleanup) });
        record(isHeld ? "RESULT: the rule held" : "RESULT: the rule was broken");
        await finish(isHeld ? 0 : 1);
    } catch (error) {
        record(`could not run: ${error.stack}`);
        await finish(2);
    }
}

function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

let sentCount = 0;

/** Creates an identifier of a caller's attempt. */
export function createAttemptId() {
    sentCount++;
    return `a-${sentCount}`;
}

/** Sends a caller's request; the result always comes, with `error` if the connection ended without a complete answer. */
export function sendRequest(router, options) {
    const { method = "GET", path, deadlineMs = 4000, body, agent = false } = options;
    const id = options.id ?? createAttemptId();
    const headers = {
        host: "desk.example",
        "attempt-id": id,
        "x-api-key": "key-shop",
        "deadline-ms": String(deadlineMs),
        ...options.headers,
    };
    if (body !== undefined) {
        headers["content-length"] = String(body.length);
    }
    const startedAt = Date.now();
    return new Promise(resolve => {
        let status = 0;
        let text = "";
        const timer = setTimeout(() => request.destroy(new Error("no answer in time")), deadlineMs);
        const finish = error => {
            clearTimeout(timer);
            resolve({ id, status, text, error, startedAt, lastedMs: Date.now() - startedAt });
        };
        const target = { host: router.address, port: router.port, method, path, headers, agent };
        const request = http.request(target, response => {
            status = response.statusCode;
            response.setEncoding("utf8");
            response.on("data", part => (text += part));
            response.on("error", error => finish(error.code ?? error.message));
            response.on("end", () => finish(response.complete ? undefined : "cut"));
        });
        request.on("error", error => finish(error.code ?? error.message));
        request.end(body);
    });
}

/** Counts equal texts. */
export function countTexts(texts) {
    const counts = {};
    texts.forEach(text => (counts[text] = (counts[text] ?? 0) + 1));
    return Object.entries(counts)
        .map(([text, count]) => `${text}: ${count}`)
        .join(", ");
}
