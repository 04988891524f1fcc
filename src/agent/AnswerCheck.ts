import { EventField } from "../protocol/index.js";

/** Reason to end an answer as broken. */
export interface AnswerFault {
    detail: string;
    /** What was passed on before lacks or repeats tokens, so that no other endpoint can continue it. */
    isInconsistent: boolean;
}

/** Verdict of a check on a part of an answer. */
export interface CheckedPart {
    /** Part that may be passed on. */
    passed: Buffer;
    /** The answer has come further: bytes without an event, such as comments that keep a connection open, do not count. */
    hasProgressed: boolean;
    fault: AnswerFault | undefined;
}

/** Checks that an answer is whole, and belongs to one request only. */
export abstract class AnswerCheck {
    /**
     * Checks the next chunk of the answer.
     * @param chunk - Bytes as they came.
     */
    abstract checkChunk(chunk: Buffer): CheckedPart;

    /**
     * Checks the end of the answer.
     * @returns Reason why the answer is not whole, or undefined.
     */
    abstract checkEnd(): AnswerFault | undefined;
}

/**
 * Creates the check of an answer whose length HTTP announces or whose chunks HTTP ends.
 */
export function createFramedCheck(): AnswerCheck {
    return new (class FramedCheck extends AnswerCheck {
        override checkChunk(chunk: Buffer): CheckedPart {
            return { passed: chunk, hasProgressed: true, fault: undefined };
        }

        override checkEnd(): undefined {
            return undefined;
        }
    })();
}

/** Options of the check of an event stream. */
export interface EventStreamCheckOptions {
    /** Fields that are passed on to the caller. */
    wantedFields: ReadonlySet<EventField>;
}

const EVENT_END = Buffer.from("\n\n");
const DONE = Buffer.from("data: [DONE]");
const USAGE_MARK = Buffer.from('"choices":[]');
/** Quotes inside of JSON strings are escaped, so these bytes occur as the start of a field only. */
const TOKEN_IDS_MARK = Buffer.from('"token_ids":[');
const PROMPT_IDS_MARK = Buffer.from('"prompt_token_ids":[');
const ID_PATTERN = /^data: \{"id":"[^"]*"/;
const ID_SCAN_BYTES = 256;
const COLON = 58;
const COMMA = 44;
const CLOSING_BRACKET = 93;
const MAX_EVENT_BYTES = 1024 * 1024;

/**
 * Creates the check of an event stream: one identifier in all events, an end marker, and as many token ids as the engine
 * says it generated tokens. Streams of engines that send no token ids may at least not have more events than tokens;
 * that one of their events is missing can't be told, since an event may hold several tokens.
 * @param options - Wishes of the caller.
 */
export function createEventStreamCheck(options: EventStreamCheckOptions): AnswerCheck {
    let carry: Buffer | undefined;
    let prefix: Buffer | undefined;
    let isDone = false;
    let events = 0;
    let tokenIds = 0;
    let tokens: number | undefined;

    return new (class EventStreamCheck extends AnswerCheck {
        override checkChunk(chunk: Buffer): CheckedPart {
            const bytes = carry === undefined ? chunk : Buffer.concat([carry, chunk]);
            const parts: Buffer[] = [];
            let start = 0;
            let hasProgressed = false;
            for (;;) {
                const end = bytes.indexOf(EVENT_END, start);
                if (end === -1) {
                    break;
                }
                const fault = checkEvent(bytes, start, end);
                if (fault !== undefined) {
                    return { passed: Buffer.concat(parts), hasProgressed, fault };
                }
                const next = end + EVENT_END.length;
                hasProgressed ||= bytes[start] !== COLON;
                if (!isHiddenUsage(bytes, start, end)) {
                    addEvent(parts, bytes.subarray(start, next));
                }
                start = next;
            }
            carry = start < bytes.length ? bytes.subarray(start) : undefined;
            if ((carry?.length ?? 0) > MAX_EVENT_BYTES) {
                const fault = createFault("an event is too long");
                return { passed: Buffer.alloc(0), hasProgressed, fault };
            }
            const passed = parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts);
            return { passed, hasProgressed, fault: undefined };
        }

        override checkEnd(): AnswerFault | undefined {
            return isDone && carry === undefined ? undefined : createFault("the end marker is missing");
        }
    })();

    function checkEvent(bytes: Buffer, start: number, end: number): AnswerFault | undefined {
        if (bytes[start] === COLON) {
            return undefined;
        }
        if (isDone) {
            return createFault("an event came after the end marker");
        }
        if (hasBytesAt(bytes, DONE, start)) {
            isDone = true;
            return checkTokens();
        }
        if (prefix === undefined) {
            prefix = readPrefix(bytes, start, end);
        } else if (prefix.length > 0 && !hasBytesAt(bytes, prefix, start)) {
            // Where answers are crossed, events of this one may have gone elsewhere before.
            return { detail: "an event of another answer came", isInconsistent: true };
        }
        readUsage(bytes, start, end);
        return undefined;
    }

    /** Checks the number of tokens before the end marker is passed on, as callers may take the marker for success. */
    function checkTokens(): AnswerFault | undefined {
        const isConsistent = tokenIds > 0 ? tokenIds === tokens : events <= (tokens ?? events);
        const detail = `${events} events with ${tokenIds} token ids came for ${tokens} tokens`;
        return isConsistent ? undefined : { detail, isInconsistent: true };
    }

    function readUsage(bytes: Buffer, start: number, end: number): void {
        if (!isUsage(bytes, start, end)) {
            events++;
            tokenIds += countListItems(bytes.subarray(start, end), TOKEN_IDS_MARK);
            return;
        }
        const event = JSON.parse(bytes.toString("utf8", start + "data: ".length, end)) as UsageEvent;
        tokens = event.usage?.completion_tokens;
    }

    function isHiddenUsage(bytes: Buffer, start: number, end: number): boolean {
        return !options.wantedFields.has(EventField.Usage) && isUsage(bytes, start, end);
    }

    function addEvent(parts: Buffer[], event: Buffer): void {
        const last = parts.at(-1);
        if (!options.wantedFields.has(EventField.TokenIds) && event.includes(TOKEN_IDS_MARK)) {
            parts.push(removeList(removeList(event, TOKEN_IDS_MARK), PROMPT_IDS_MARK));
        } else if (last?.buffer === event.buffer && last.byteOffset + last.length === event.byteOffset) {
            // Adjacent events are passed on in one piece.
            parts[parts.length - 1] = Buffer.from(event.buffer, last.byteOffset, last.length + event.length);
        } else {
            parts.push(event);
        }
    }
}

function createFault(detail: string): AnswerFault {
    return { detail, isInconsistent: false };
}

/** Counts the numbers of a list that follows its mark in a JSON text. */
function countListItems(event: Buffer, mark: Buffer): number {
    const start = event.indexOf(mark) + mark.length;
    const end = event.indexOf(CLOSING_BRACKET, start);
    if (start < mark.length || end <= start) {
        return 0;
    }
    let items = 1;
    for (let at = start; at < end; at++) {
        items += event[at] === COMMA ? 1 : 0;
    }
    return items;
}

/** Removes a field that is a list of numbers, and one of the commas around it. */
function removeList(event: Buffer, mark: Buffer): Buffer {
    const start = event.indexOf(mark);
    const end = start === -1 ? -1 : event.indexOf(CLOSING_BRACKET, start);
    if (end === -1) {
        return event;
    }
    const isAfterComma = event[start - 1] === COMMA;
    const next = isAfterComma || event[end + 1] !== COMMA ? end + 1 : end + 2;
    return Buffer.concat([event.subarray(0, isAfterComma ? start - 1 : start), event.subarray(next)]);
}

interface UsageEvent {
    usage?: { completion_tokens?: number };
}

function isUsage(bytes: Buffer, start: number, end: number): boolean {
    const place = bytes.indexOf(USAGE_MARK, start);
    return place !== -1 && place < end;
}

function readPrefix(bytes: Buffer, start: number, end: number): Buffer {
    const head = bytes.toString("latin1", start, Math.min(end, start + ID_SCAN_BYTES));
    return Buffer.from(ID_PATTERN.exec(head)?.[0] ?? "", "latin1");
}

function hasBytesAt(bytes: Buffer, wanted: Buffer, start: number): boolean {
    const end = start + wanted.length;
    return end <= bytes.length && bytes.compare(wanted, 0, wanted.length, start, end) === 0;
}
