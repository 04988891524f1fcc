/** Verdict of a check on a part of an answer. */
export interface CheckedPart {
    /** Part that may be passed on. */
    passed: Buffer;
    /** Reason to end the answer as broken. */
    fault: string | undefined;
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
    abstract checkEnd(): string | undefined;
}

/**
 * Creates the check of an answer whose length HTTP announces or whose chunks HTTP ends.
 */
export function createFramedCheck(): AnswerCheck {
    return new (class FramedCheck extends AnswerCheck {
        override checkChunk(chunk: Buffer): CheckedPart {
            return { passed: chunk, fault: undefined };
        }

        override checkEnd(): string | undefined {
            return undefined;
        }
    })();
}

/** Options of the check of an event stream. */
export interface EventStreamCheckOptions {
    /** Passes the usage event on to the caller. */
    isUsageWanted: boolean;
}

const EVENT_END = Buffer.from("\n\n");
const DONE = Buffer.from("data: [DONE]");
const USAGE_MARK = Buffer.from('"choices":[]');
const ID_PATTERN = /^data: \{"id":"[^"]*"/;
const ID_SCAN_BYTES = 256;
const COLON = 58;
const MAX_EVENT_BYTES = 1024 * 1024;

/**
 * Creates the check of an event stream: one identifier in all events, an end marker,
 * and no more events than the engine says it generated tokens.
 * @param options - Wishes of the caller.
 */
export function createEventStreamCheck(options: EventStreamCheckOptions): AnswerCheck {
    let carry: Buffer | undefined;
    let prefix: Buffer | undefined;
    let isDone = false;
    let events = 0;
    let tokens: number | undefined;

    return new (class EventStreamCheck extends AnswerCheck {
        override checkChunk(chunk: Buffer): CheckedPart {
            const bytes = carry === undefined ? chunk : Buffer.concat([carry, chunk]);
            const parts: Buffer[] = [];
            let start = 0;
            let passedFrom = 0;
            for (;;) {
                const end = bytes.indexOf(EVENT_END, start);
                if (end === -1) {
                    break;
                }
                const next = end + EVENT_END.length;
                const fault = checkEvent(bytes, start, end);
                if (fault !== undefined) {
                    parts.push(bytes.subarray(passedFrom, start));
                    return { passed: Buffer.concat(parts), fault };
                }
                if (isHiddenUsage(bytes, start, end)) {
                    parts.push(bytes.subarray(passedFrom, start));
                    passedFrom = next;
                }
                start = next;
            }
            carry = start < bytes.length ? bytes.subarray(start) : undefined;
            if ((carry?.length ?? 0) > MAX_EVENT_BYTES) {
                return { passed: Buffer.alloc(0), fault: "an event is too long" };
            }
            parts.push(bytes.subarray(passedFrom, start));
            return { passed: parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts), fault: undefined };
        }

        override checkEnd(): string | undefined {
            if (!isDone || carry !== undefined) {
                return "the end marker is missing";
            }
            if (tokens !== undefined && events > tokens) {
                return `${events} events came for ${tokens} tokens`;
            }
            return undefined;
        }
    })();

    function checkEvent(bytes: Buffer, start: number, end: number): string | undefined {
        if (bytes[start] === COLON) {
            return undefined;
        }
        if (isDone) {
            return "an event came after the end marker";
        }
        if (hasBytesAt(bytes, DONE, start)) {
            isDone = true;
            return undefined;
        }
        if (prefix === undefined) {
            prefix = readPrefix(bytes, start, end);
        } else if (prefix.length > 0 && !hasBytesAt(bytes, prefix, start)) {
            return "an event of another answer came";
        }
        readUsage(bytes, start, end);
        return undefined;
    }

    function readUsage(bytes: Buffer, start: number, end: number): void {
        if (!isUsage(bytes, start, end)) {
            events++;
            return;
        }
        const event = JSON.parse(bytes.toString("utf8", start + "data: ".length, end)) as UsageEvent;
        tokens = event.usage?.completion_tokens;
    }

    function isHiddenUsage(bytes: Buffer, start: number, end: number): boolean {
        return !options.isUsageWanted && isUsage(bytes, start, end);
    }
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
