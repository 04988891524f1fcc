import { z } from "zod";
import { EndpointKind, WorkRank } from "../../config/index.js";
import { Cause, EventField, Outcome, type Refusal, getHeader } from "../../protocol/index.js";
import { computeDigest, computeHash32 } from "../../utils/digest.js";
import type { CallTarget, Exchange } from "../Exchange.js";
import type { Filter } from "../pipeline.js";

const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const SERVICE_PATH = /^\/services\/([a-z0-9-]+)(\/.*)$/;
const MODEL_PATHS = new Set(["/v1/chat/completions", "/v1/completions"]);
const DEFAULT_TOKENS = 64;
const CHARS_PER_COST = 64;
const PREFIX_CHARS = 256;
const MAX_KEY_LENGTH = 255;
/** Messages from the beginning of a conversation that are told apart; the system's instructions are the first. */
const MAX_SHARED_PARTS = 8;
const PART_DIGEST_LENGTH = 16;

/** Priority that the engine gets for each rank of work; lower goes first. */
const ENGINE_PRIORITIES: Record<WorkRank, number> = {
    [WorkRank.Urgent]: 0,
    [WorkRank.Standard]: 1,
    [WorkRank.Deferrable]: 2,
};

const bodySchema = z.looseObject({
    model: z.string(),
    messages: z.array(z.looseObject({ role: z.string() })).optional(),
    prompt: z.string().optional(),
    stream: z.boolean().optional(),
    max_tokens: z.number().int().min(1).optional(),
    priority: z.unknown().optional(),
    stream_options: z.looseObject({ include_usage: z.boolean().optional() }).optional(),
    return_token_ids: z.unknown().optional(),
});

type ModelBody = z.infer<typeof bodySchema>;

/** Creates the filter that finds the target and the rank of work of a request. */
export function createClassify(): Filter {
    return exchange => {
        const path = exchange.request.url ?? "/";
        exchange.idempotencyKey = getHeader(exchange.request.headers, "idempotency-key") ?? "";
        if (exchange.idempotencyKey.length > MAX_KEY_LENGTH) {
            return createRefusal(Cause.MalformedRequest, `expected an idempotency key of at most ${MAX_KEY_LENGTH}`);
        }
        const service = SERVICE_PATH.exec(path);
        if (service) {
            return classifyService(exchange, service[1] ?? "", service[2] ?? "/");
        }
        if (MODEL_PATHS.has(path)) {
            return classifyModel(exchange, path);
        }
        const detail = "expected /v1/chat/completions, /v1/completions or /services/NAME/PATH";
        return createRefusal(Cause.UnknownTarget, detail, STATUS_NOT_FOUND);
    };
}

function classifyService(exchange: Exchange, name: string, path: string): Refusal | undefined {
    const method = exchange.request.method ?? "GET";
    const call = exchange.index.getCall(name, method, path);
    if (call === undefined) {
        const detail = `expected a service and call of the document, got ${method} ${path} of ${name}`;
        return createRefusal(Cause.UnknownTarget, detail, STATUS_NOT_FOUND);
    }
    if (!call.idempotent && exchange.idempotencyKey === "") {
        const detail = "expected the header `Idempotency-Key`, since this call may not be repeated";
        return createRefusal(Cause.MissingIdempotencyKey, detail);
    }
    exchange.target = {
        kind: EndpointKind.Service,
        name,
        method,
        path,
        isIdempotent: call.idempotent,
        isStream: false,
        requestedFields: [],
        rank: call.rank,
        cost: 1,
        prefixHash: undefined,
        sharedParts: [],
    };
    return undefined;
}

function classifyModel(exchange: Exchange, path: string): Refusal | undefined {
    if (exchange.request.method !== "POST") {
        return createRefusal(Cause.MalformedRequest, `expected POST, got ${exchange.request.method}`);
    }
    const text = exchange.body.toString("utf8");
    const body = readModelBody(text);
    if (typeof body === "string") {
        return createRefusal(Cause.MalformedRequest, body);
    }
    if (!exchange.index.hasModel(body.model)) {
        const detail = `expected a model of the document, got ${body.model.slice(0, MAX_KEY_LENGTH)}`;
        return createRefusal(Cause.UnknownTarget, detail, STATUS_NOT_FOUND);
    }
    const target = createModelTarget(exchange, path, body);
    exchange.target = target;
    exchange.body = Buffer.from(addEngineFields(text, body, target), "utf8");
    return undefined;
}

function readModelBody(text: string): ModelBody | string {
    let value: unknown;
    try {
        value = JSON.parse(text);
    } catch {
        return "expected a JSON object";
    }
    const parsed = bodySchema.safeParse(value);
    if (parsed.success) {
        return parsed.data;
    }
    return parsed.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ");
}

function createModelTarget(exchange: Exchange, path: string, body: ModelBody): CallTarget {
    const purpose = getHeader(exchange.request.headers, "x-purpose");
    const prompt = body.messages === undefined ? (body.prompt ?? "") : JSON.stringify(body.messages);
    return {
        kind: EndpointKind.Engine,
        name: body.model,
        method: "POST",
        path,
        isIdempotent: true,
        isStream: body.stream === true,
        requestedFields: readRequestedFields(body),
        rank: exchange.index.chooseRank({ team: exchange.team?.name ?? "", model: body.model, purpose }),
        cost: (body.max_tokens ?? DEFAULT_TOKENS) + prompt.length / CHARS_PER_COST,
        prefixHash: computeHash32(prompt.slice(0, PREFIX_CHARS)),
        sharedParts: computeSharedParts(body),
    };
}

/** Each digest is that of a message for its model, as an engine crashes on its own account. */
function computeSharedParts({ model, messages = [] }: ModelBody): string[] {
    const shared = messages.slice(0, -1).slice(0, MAX_SHARED_PARTS);
    return shared.map(message => computeDigest(model, JSON.stringify(message)).slice(0, PART_DIGEST_LENGTH));
}

function readRequestedFields(body: ModelBody): EventField[] {
    const isUsageRequested = body.stream_options?.include_usage === true;
    const areTokenIdsRequested = body.return_token_ids === true;
    return [...(isUsageRequested ? [EventField.Usage] : []), ...(areTokenIdsRequested ? [EventField.TokenIds] : [])];
}

/** Adds the priority, and asks for the usage event and the token ids that the check of the answer needs. */
function addEngineFields(text: string, body: ModelBody, target: CallTarget): string {
    const fields: Record<string, unknown> = { priority: ENGINE_PRIORITIES[target.rank] };
    if (target.isStream) {
        fields.stream_options = { ...body.stream_options, include_usage: true };
        fields.return_token_ids = true;
    }
    if (Object.keys(fields).some(field => body[field] !== undefined)) {
        return JSON.stringify({ ...body, ...fields });
    }
    const added = JSON.stringify(fields).slice(0, -1);
    return `${added},${text.slice(text.indexOf("{") + 1)}`;
}

function createRefusal(cause: Cause, detail: string, status = STATUS_BAD_REQUEST): Refusal {
    return { status, outcome: Outcome.NotRun, cause, detail, retryAfterMs: undefined };
}
