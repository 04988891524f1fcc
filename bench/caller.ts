import { type HttpAnswer, sendHttpCall } from "../src/utils/http.js";

/** A chat request of a caller. */
export interface ChatOptions {
    url: string;
    key: string;
    /** Message before the user's. */
    system?: string;
    text: string;
    model?: string;
    purpose?: string;
    tokens?: number;
    isStream?: boolean;
    timeoutMs?: number;
    headers?: Record<string, string>;
}

/** A call of a plain service. */
export interface ServiceCallOptions {
    url: string;
    key: string;
    method: string;
    /** Path from the name of the service on. */
    path: string;
    idempotencyKey?: string;
    body?: string;
    timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 30_000;

/**
 * Sends a chat request, as an ordinary client does.
 * @param options - Request.
 */
export function sendChat(options: ChatOptions): Promise<HttpAnswer> {
    const body = JSON.stringify({
        model: options.model ?? "assist-lm",
        messages: [
            ...(options.system === undefined ? [] : [{ role: "system", content: options.system }]),
            { role: "user", content: options.text },
        ],
        max_tokens: options.tokens ?? 8,
        stream: options.isStream ?? false,
    });
    const purpose: Record<string, string> = options.purpose === undefined ? {} : { "x-purpose": options.purpose };
    return sendHttpCall({
        method: "POST",
        url: `${options.url}/v1/chat/completions`,
        headers: {
            authorization: `Bearer ${options.key}`,
            "content-type": "application/json",
            ...purpose,
            ...options.headers,
        },
        body,
        timeoutMs: options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
    });
}

/**
 * Sends a call of a plain service.
 * @param options - Call.
 */
export function sendServiceCall(options: ServiceCallOptions): Promise<HttpAnswer> {
    const keyHeader: Record<string, string> =
        options.idempotencyKey === undefined ? {} : { "idempotency-key": options.idempotencyKey };
    return sendHttpCall({
        method: options.method,
        url: `${options.url}/services/${options.path}`,
        headers: { authorization: `Bearer ${options.key}`, "content-type": "application/json", ...keyHeader },
        body: options.body,
        timeoutMs: options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
    });
}

/**
 * Joins the texts of a streamed answer.
 * @param body - Events as they came.
 */
export function readStreamText(body: Buffer): string {
    return body
        .toString("utf8")
        .split("\n\n")
        .filter(event => event.startsWith("data: {"))
        .map(event => JSON.parse(event.slice("data: ".length)) as StreamChunk)
        .map(chunk => chunk.choices?.[0]?.delta?.content ?? "")
        .join("");
}

interface StreamChunk {
    choices?: { delta?: { content?: string } }[];
}
