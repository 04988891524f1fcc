import type http from "node:http";
import { computeDigest } from "../../src/utils/digest.js";
import { sendJson } from "../../src/utils/http.js";
import { buildList } from "../../src/utils/list.js";
import { waitFor } from "../../src/utils/time.js";
import { type Standin, startStandin } from "../Standin.js";
import { createPrefixCache } from "./PrefixCache.js";
import { type ChatBody, computeToken, readPrompt } from "./tokens.js";

/** Faults that the engine stand-in shows on command. */
export interface EngineFaults {
    /** A prompt with this text ends the engine. */
    crashText: string;
    /** Called instead of ending the process when a prompt crashes the engine. */
    onCrash: () => void;
    /** Answers stop without an end after this many tokens; 0 for never. */
    truncateAfter: number;
    /** Answers go silent after this many tokens; 0 for never. */
    stallAfter: number;
    /** The next answers go to each other's callers. */
    isCrossed: boolean;
    /** Each event is sent twice. */
    isDoubled: boolean;
    /** Added to each step, in milliseconds. */
    slowMs: number;
}

/** Options of the engine stand-in. */
export interface EngineStandinOptions {
    port?: number;
    model: string;
    /** Time of a step, which gives each running request a token, in milliseconds. */
    stepMs?: number;
    /** Requests in a batch. */
    batch?: number;
    /** Prefill time for a thousand characters that are not cached, in milliseconds. */
    prefillMsPerKiloChar?: number;
    cacheBlocks?: number;
}

/** A run that the engine has done or does. */
export interface EngineRun {
    attempt: string;
    team: string;
    promptDigest: string;
    tokens: number;
    ended: boolean;
    cancelled: boolean;
}

/** The engine with its record. */
export interface EngineStandin extends Standin {
    faults: EngineFaults;
    runs: EngineRun[];
    events: CacheEvent[];
}

/** Event of the prefix cache. */
export interface CacheEvent {
    sequence: number;
    at: number;
    stored: number[];
    removed: number[];
}

interface Sequence {
    run: EngineRun;
    body: ChatBody;
    prompt: string;
    next: number;
    last: number;
    priority: number;
    response: http.ServerResponse;
    readyAt: number;
}

const DEFAULT_STEP_MS = 10;
const DEFAULT_BATCH = 8;
const DEFAULT_PREFILL_MS = 2;
const DEFAULT_CACHE_BLOCKS = 4_096;
const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;

/**
 * Starts the engine stand-in: chat completions with continuous batching in steps.
 * @param options - Model and speeds.
 */
export async function startEngineStandin(options: EngineStandinOptions): Promise<EngineStandin> {
    const faults: EngineFaults = {
        crashText: "",
        onCrash: () => process.exit(1),
        truncateAfter: 0,
        stallAfter: 0,
        isCrossed: false,
        isDoubled: false,
        slowMs: 0,
    };
    const runs: EngineRun[] = [];
    const events: CacheEvent[] = [];
    const waiting: Sequence[] = [];
    const running = new Set<Sequence>();
    const cache = createPrefixCache(options.cacheBlocks ?? DEFAULT_CACHE_BLOCKS);
    let isClosed = false;
    const standin = await startStandin(options.port ?? 0, handle);
    const stepping = runSteps();
    return {
        ...standin,
        faults,
        runs,
        events,
        async close() {
            isClosed = true;
            await Promise.all([standin.close(), stepping]);
        },
    };

    function handle(request: http.IncomingMessage, response: http.ServerResponse, body: unknown): void {
        const path = request.url ?? "/";
        if (path === "/v1/chat/completions") {
            acceptSequence(request, response, body as ChatBody);
        } else if (path === "/runs") {
            sendJson(response, STATUS_OK, runs);
        } else if (path === "/load") {
            sendJson(response, STATUS_OK, { waiting: waiting.length, running: running.size });
        } else if (path.startsWith("/kv_events")) {
            const after = Number(new URL(path, "http://engine").searchParams.get("after") ?? "0");
            sendJson(
                response,
                STATUS_OK,
                events.filter(event => event.sequence > after),
            );
        } else if (path === "/faults") {
            Object.assign(faults, body);
            sendJson(response, STATUS_OK, faults);
        } else if (path === "/health") {
            sendJson(response, STATUS_OK, { model: options.model });
        } else {
            sendJson(response, STATUS_NOT_FOUND, { error: { message: "unknown path" } });
        }
    }

    function acceptSequence(request: http.IncomingMessage, response: http.ServerResponse, body: ChatBody): void {
        if (!Array.isArray(body?.messages)) {
            sendJson(response, STATUS_BAD_REQUEST, { error: { message: "messages must be a list" } });
            return;
        }
        const structure = readPrompt(body);
        if (faults.crashText !== "" && structure.prompt.includes(faults.crashText)) {
            recordRun(request, structure.prompt);
            faults.onCrash();
            return;
        }
        const run = recordRun(request, structure.prompt);
        const sequence: Sequence = {
            run,
            body,
            prompt: structure.prompt,
            next: structure.firstToken,
            last: structure.firstToken + structure.tokens,
            priority: body.priority ?? 0,
            response,
            readyAt: 0,
        };
        response.on("close", () => cancelSequence(sequence));
        waiting.push(sequence);
    }

    function recordRun(request: http.IncomingMessage, prompt: string): EngineRun {
        const run: EngineRun = {
            attempt: String(request.headers["x-request-id"] ?? ""),
            team: String(request.headers["x-team"] ?? ""),
            promptDigest: computeDigest(prompt),
            tokens: 0,
            ended: false,
            cancelled: false,
        };
        runs.push(run);
        return run;
    }

    function cancelSequence(sequence: Sequence): void {
        if (sequence.run.ended) {
            return;
        }
        sequence.run.cancelled = true;
        running.delete(sequence);
        const place = waiting.indexOf(sequence);
        if (place !== -1) {
            waiting.splice(place, 1);
        }
    }

    async function runSteps(): Promise<void> {
        while (!isClosed) {
            await waitFor((options.stepMs ?? DEFAULT_STEP_MS) + faults.slowMs);
            admitWaiting();
            for (const sequence of [...running]) {
                if (sequence.readyAt <= Date.now()) {
                    generateToken(sequence);
                }
            }
        }
    }

    function admitWaiting(): void {
        waiting.sort((left, right) => left.priority - right.priority);
        while (running.size < (options.batch ?? DEFAULT_BATCH)) {
            const sequence = waiting.shift();
            if (sequence === undefined) {
                return;
            }
            const use = cache.usePrompt(sequence.prompt);
            events.push({ sequence: events.length + 1, at: Date.now(), stored: use.stored, removed: use.removed });
            const missing = Math.max(0, sequence.prompt.length - use.cachedChars);
            const prefillMs = (missing / 1_000) * (options.prefillMsPerKiloChar ?? DEFAULT_PREFILL_MS);
            sequence.readyAt = Date.now() + prefillMs;
            running.add(sequence);
        }
    }

    function generateToken(sequence: Sequence): void {
        const done = sequence.run.tokens;
        if (faults.stallAfter > 0 && done >= faults.stallAfter) {
            return;
        }
        if (faults.truncateAfter > 0 && done >= faults.truncateAfter) {
            running.delete(sequence);
            sequence.response.destroy();
            return;
        }
        if (sequence.next < sequence.last) {
            const text = computeToken(sequence.prompt, sequence.next);
            sequence.next++;
            sequence.run.tokens++;
            if (sequence.body.stream === true) {
                sendDelta(sequence, text);
            }
        }
        if (sequence.next >= sequence.last) {
            finishSequence(sequence);
        }
    }

    function sendDelta(sequence: Sequence, text: string): void {
        const target = findTarget(sequence);
        if (target.response.writableEnded) {
            return;
        }
        if (!target.response.headersSent) {
            target.response.writeHead(STATUS_OK, {
                "content-type": "text/event-stream",
                "x-request-id": sequence.run.attempt,
            });
        }
        const ids = sequence.body.return_token_ids === true ? { token_ids: [sequence.next] } : {};
        const choices = [{ index: 0, delta: { content: text }, ...ids }];
        const id = `chatcmpl-${sequence.run.attempt}`;
        const chunk = { id, object: "chat.completion.chunk", model: options.model, choices };
        const event = `data: ${JSON.stringify(chunk)}\n\n`;
        target.response.write(faults.isDoubled ? event + event : event);
    }

    /** With crossed answers, the answer of one request goes to the caller of another. */
    function findTarget(sequence: Sequence): Sequence {
        if (!faults.isCrossed) {
            return sequence;
        }
        // A crossed end marker has ended the responses of some that still run.
        const others = [...running].filter(other => other !== sequence && !other.response.writableEnded);
        return others[0] ?? sequence;
    }

    function createUsageEvent(sequence: Sequence): string {
        if (sequence.body.stream_options?.include_usage !== true) {
            return "";
        }
        const usage = { completion_tokens: sequence.run.tokens };
        const id = `chatcmpl-${sequence.run.attempt}`;
        const chunk = { id, object: "chat.completion.chunk", model: options.model, choices: [], usage };
        return `data: ${JSON.stringify(chunk)}\n\n`;
    }

    function finishSequence(sequence: Sequence): void {
        running.delete(sequence);
        sequence.run.ended = true;
        const target = findTarget(sequence);
        if (target.response.writableEnded) {
            return;
        }
        if (sequence.body.stream === true) {
            target.response.end(`${createUsageEvent(sequence)}data: [DONE]\n\n`);
            return;
        }
        const { firstToken } = readPrompt(sequence.body);
        const words = buildList(sequence.last - firstToken, index => computeToken(sequence.prompt, firstToken + index));
        const content = words.join("");
        const answer = JSON.stringify({
            id: `chatcmpl-${sequence.run.attempt}`,
            object: "chat.completion",
            model: options.model,
            choices: [{ index: 0, message: { role: "assistant", content }, finish_reason: "stop" }],
            usage: { completion_tokens: sequence.last - firstToken },
        });
        target.response.writeHead(STATUS_OK, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(answer),
            "x-request-id": sequence.run.attempt,
        });
        target.response.end(answer);
    }
}
