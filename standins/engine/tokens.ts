import { computeHash32 } from "../../src/utils/digest.js";
import { buildList } from "../../src/utils/list.js";

/** Message of a chat completion. */
export interface ChatMessage {
    role: string;
    content: string;
}

/** Body of a chat completion, as far as the stand-in reads it. */
export interface ChatBody {
    model: string;
    messages: ChatMessage[];
    stream?: boolean;
    max_tokens?: number;
    priority?: number;
    stream_options?: { include_usage?: boolean };
    /** Each event lists the ids of its tokens. */
    return_token_ids?: boolean;
    /** The last message is the start of the answer, to be continued. */
    continue_final_message?: boolean;
}

const WORDS = [
    "wheel",
    "crate",
    "order",
    "courier",
    "stock",
    "axle",
    "route",
    "van",
    "size",
    "today",
    "repair",
    "fits",
];
const DEFAULT_TOKENS = 16;

/**
 * Computes a token of the answer to a prompt; the same prompt always gets the same answer.
 * @param prompt - Prompt.
 * @param index - Place of the token in the answer.
 */
export function computeToken(prompt: string, index: number): string {
    const word = WORDS[computeHash32(`${prompt}#${index}`) % WORDS.length];
    return `${word}${index} `;
}

/** Prompt of a body, and how many tokens of the answer are there already. */
export interface PromptStructure {
    prompt: string;
    firstToken: number;
    tokens: number;
}

/**
 * Reads the prompt of a body, and how much of the answer it carries.
 * @param body - Body of a chat completion.
 */
export function readPrompt(body: ChatBody): PromptStructure {
    const isContinued = body.continue_final_message === true;
    const messages = isContinued ? body.messages.slice(0, -1) : body.messages;
    const given = isContinued ? (body.messages.at(-1)?.content ?? "") : "";
    const firstToken = given.split(" ").filter(word => word !== "").length;
    const prompt = messages.map(message => `${message.role}:${message.content}`).join("\n");
    return { prompt, firstToken, tokens: body.max_tokens ?? DEFAULT_TOKENS };
}

/**
 * Computes the whole answer to a prompt.
 * @param prompt - Prompt.
 * @param tokens - Number of tokens.
 */
export function computeAnswer(prompt: string, tokens: number): string {
    return buildList(tokens, index => computeToken(prompt, index)).join("");
}
