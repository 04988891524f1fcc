import type http from "node:http";
import { sendJson } from "../../src/utils/http.js";
import { waitFor } from "../../src/utils/time.js";
import { type Standin, startStandin } from "../Standin.js";

/** Faults that the service stand-in shows on command. */
export interface ServiceFaults {
    /** Time of each call, in milliseconds. */
    delayMs: number;
    /** Number of calls that are run and then get no answer. */
    lostAnswers: number;
    /** Number of answers that are cut in the middle. */
    truncatedAnswers: number;
    /** Number of calls that are refused before they run. */
    refusals: number;
}

/** A call that the service has run. */
export interface ServiceRun {
    method: string;
    path: string;
    idempotencyKey: string;
    attempt: string;
    number: number;
}

/** The plain service with its record of runs. */
export interface ServiceStandin extends Standin {
    faults: ServiceFaults;
    runs: ServiceRun[];
}

/** Options of the service stand-in. */
export interface ServiceStandinOptions {
    port?: number;
    /** Receives each run, before the answer. */
    onRun?: (run: ServiceRun) => Promise<void> | void;
}

const STATUS_OK = 200;
const STATUS_CREATED = 201;
const STATUS_UNAVAILABLE = 503;

/**
 * Starts the service stand-in: `POST` runs a call that may not be repeated, `GET` one that may.
 * @param options - Port and observer.
 */
export async function startServiceStandin(options: ServiceStandinOptions = {}): Promise<ServiceStandin> {
    const faults: ServiceFaults = { delayMs: 0, lostAnswers: 0, truncatedAnswers: 0, refusals: 0 };
    const runs: ServiceRun[] = [];
    const standin = await startStandin(options.port ?? 0, handle);
    return { ...standin, faults, runs };

    async function handle(request: http.IncomingMessage, response: http.ServerResponse, body: unknown): Promise<void> {
        const path = request.url ?? "/";
        if (path === "/runs") {
            sendJson(response, STATUS_OK, runs);
            return;
        }
        if (path === "/faults") {
            Object.assign(faults, body);
            sendJson(response, STATUS_OK, faults);
            return;
        }
        if (path === "/health") {
            sendJson(response, STATUS_OK, {});
            return;
        }
        if (takeFault("refusals")) {
            sendJson(response, STATUS_UNAVAILABLE, { error: "busy" });
            return;
        }
        const run = await recordRun(request, path);
        await waitFor(faults.delayMs);
        answerRun(response, run);
    }

    async function recordRun(request: http.IncomingMessage, path: string): Promise<ServiceRun> {
        const run: ServiceRun = {
            method: request.method ?? "GET",
            path,
            idempotencyKey: String(request.headers["idempotency-key"] ?? ""),
            attempt: String(request.headers["x-request-id"] ?? ""),
            number: runs.length + 1,
        };
        runs.push(run);
        await options.onRun?.(run);
        return run;
    }

    function answerRun(response: http.ServerResponse, run: ServiceRun): void {
        if (takeFault("lostAnswers")) {
            response.destroy();
            return;
        }
        response.setHeader("x-request-id", run.attempt);
        if (takeFault("truncatedAnswers")) {
            response.writeHead(STATUS_OK, { "content-length": 100 });
            response.write("{");
            setTimeout(() => response.destroy(), 10);
            return;
        }
        const status = run.method === "POST" ? STATUS_CREATED : STATUS_OK;
        sendJson(response, status, { number: run.number, path: run.path, key: run.idempotencyKey });
    }

    function takeFault(name: "lostAnswers" | "truncatedAnswers" | "refusals"): boolean {
        if (faults[name] <= 0) {
            return false;
        }
        faults[name]--;
        return true;
    }
}
