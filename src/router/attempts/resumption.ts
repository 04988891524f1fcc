/** What the caller has of an event stream, as far as it matters for a resumption. */
export interface StreamProgress {
    /** Text of the answer so far. */
    text: string;
    /** Events with text so far. */
    events: number;
    /** Start of each event of the first attempt, up to its identifier. */
    prefix: string;
}

interface StreamEvent {
    choices?: { delta?: { content?: string }; text?: string }[];
}

interface ResumableBody {
    messages?: { role: string; content: unknown }[];
    prompt?: string;
    max_tokens?: number;
}

const EVENT_SEPARATOR = "\n\n";
const DATA = "data: ";
const ID_PREFIX = /^data: \{"id":"[^"]*"/;

/**
 * Reads what the events given to the caller say.
 * @param events - Whole events.
 */
export function readProgress(events: Buffer): StreamProgress {
    const progress: StreamProgress = { text: "", events: 0, prefix: "" };
    for (const event of events.toString("utf8").split(EVENT_SEPARATOR)) {
        const text = readEventText(event);
        if (text !== undefined) {
            progress.text += text;
            progress.events++;
            progress.prefix ||= ID_PREFIX.exec(event)?.[0] ?? "";
        }
    }
    return progress;
}

/**
 * Builds the body that asks another replica for the rest of an answer.
 * @param body - Body of the first attempt.
 * @param progress - What the caller has.
 */
export function buildResumedBody(body: Buffer, progress: StreamProgress): Buffer {
    if (progress.events === 0) {
        return body;
    }
    const resumed = JSON.parse(body.toString("utf8")) as ResumableBody & Record<string, unknown>;
    if (resumed.max_tokens !== undefined) {
        resumed.max_tokens = Math.max(1, resumed.max_tokens - progress.events);
    }
    if (resumed.messages !== undefined) {
        resumed.messages.push({ role: "assistant", content: progress.text });
        resumed.continue_final_message = true;
        resumed.add_generation_prompt = false;
    } else {
        resumed.prompt = `${resumed.prompt ?? ""}${progress.text}`;
    }
    return Buffer.from(JSON.stringify(resumed), "utf8");
}

/**
 * Gives the events of a resumed answer the identifier of the first attempt.
 * @param events - Whole events of the resumed answer.
 * @param prefix - Start of the events of the first attempt.
 */
export function replaceIdentifiers(events: Buffer, prefix: string): Buffer {
    if (prefix === "") {
        return events;
    }
    const replaced = events
        .toString("utf8")
        .split(EVENT_SEPARATOR)
        .map(event => event.replace(ID_PREFIX, () => prefix));
    return Buffer.from(replaced.join(EVENT_SEPARATOR), "utf8");
}

function readEventText(event: string): string | undefined {
    if (!event.startsWith(`${DATA}{`)) {
        return undefined;
    }
    const choice = (JSON.parse(event.slice(DATA.length)) as StreamEvent).choices?.[0];
    return choice?.delta?.content ?? choice?.text;
}
