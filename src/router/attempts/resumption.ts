/** What the caller has received of an event stream, as needed to resume the stream on another replica. */
export interface StreamProgress {
    /** Text received so far. */
    text: string;
    /** Number of events with text received so far. */
    eventCount: number;
    /** Leading part of the first attempt's events, up to and including the answer's id. */
    idPrefix: string;
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
const DATA_FIELD = "data: ";
const ID_PREFIX = /^data: \{"id":"[^"]*"/;

/**
 * Reads the progress of a stream from the events sent to the caller.
 * @param events - Complete events.
 */
export function readProgress(events: Buffer): StreamProgress {
    const progress: StreamProgress = { text: "", eventCount: 0, idPrefix: "" };
    for (const event of events.toString("utf8").split(EVENT_SEPARATOR)) {
        const text = readEventText(event);
        if (text !== undefined) {
            progress.text += text;
            progress.eventCount++;
            progress.idPrefix ||= ID_PREFIX.exec(event)?.[0] ?? "";
        }
    }
    return progress;
}

/**
 * Builds the request body that asks another replica for the rest of an answer.
 * @param body - Request body of the first attempt.
 * @param progress - What the caller has received.
 */
export function buildResumedBody(body: Buffer, progress: StreamProgress): Buffer {
    if (progress.eventCount === 0) {
        return body;
    }
    const resumed = JSON.parse(body.toString("utf8")) as ResumableBody & Record<string, unknown>;
    if (resumed.max_tokens !== undefined) {
        resumed.max_tokens = Math.max(1, resumed.max_tokens - progress.eventCount);
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
 * Replaces the id in the events of a resumed answer by the id of the first attempt.
 * @param events - Complete events of the resumed answer.
 * @param idPrefix - Leading part of the first attempt's events.
 */
export function replaceIdentifiers(events: Buffer, idPrefix: string): Buffer {
    if (idPrefix === "") {
        return events;
    }
    const replaced = events
        .toString("utf8")
        .split(EVENT_SEPARATOR)
        .map(event => event.replace(ID_PREFIX, () => idPrefix));
    return Buffer.from(replaced.join(EVENT_SEPARATOR), "utf8");
}

function readEventText(event: string): string | undefined {
    if (!event.startsWith(`${DATA_FIELD}{`)) {
        return undefined;
    }
    const choice = (JSON.parse(event.slice(DATA_FIELD.length)) as StreamEvent).choices?.[0];
    return choice?.delta?.content ?? choice?.text;
}
