/** Whole events of a stream, ready to be passed on. */
export interface SplitEvents {
    /** Bytes of the whole events, in order. */
    bytes: Buffer;
    count: number;
    /** Identifier of the last whole event; undefined if none had one. */
    lastId: string | undefined;
}

/** Cuts a stream of server-sent events at the ends of its events. */
export interface EventSplitter {
    /**
     * Takes bytes in and gives the events that have become whole.
     * @returns Undefined if there is no end to bytes without a new identifier, so that they are no stream of events.
     */
    takeChunk(chunk: Buffer): SplitEvents | undefined;
    /** Gets the bytes after the last whole event. */
    getRest(): Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /(?:^|\n)id:[ ]?([^\r\n]*)/g;
/** Most bytes from one event with a new identifier to the next, in bytes; many times a usual event. */
const MAX_EVENT_BYTES = 65_536;

/** Creates a splitter for one run of a stream. */
export function createEventSplitter(): EventSplitter {
    const scanner = createEventScanner();
    let rest: Buffer[] = [];
    let restBytes = 0;
    let lastId: string | undefined;
    let bytesSinceId = 0;
    return { takeChunk, getRest: () => Buffer.concat(rest) };

    function takeChunk(chunk: Buffer): SplitEvents | undefined {
        const { end, count } = scanner.findLastEnd(chunk);
        const bytes = end === 0 ? Buffer.alloc(0) : Buffer.concat([...rest, chunk.subarray(0, end)]);
        rest = end === 0 ? rest : [];
        rest.push(chunk.subarray(end));
        restBytes = (end === 0 ? restBytes : 0) + chunk.length - end;
        const id = findLastId(bytes);
        const isNew = id !== undefined && id !== lastId;
        bytesSinceId = isNew ? 0 : bytesSinceId + bytes.length;
        lastId = id ?? lastId;
        return bytesSinceId + restBytes > MAX_EVENT_BYTES ? undefined : { bytes, count, lastId: id };
    }
}

/** Finds the ends of events in a stream; an event ends with an empty line, whatever the line ends are. */
function createEventScanner(): { findLastEnd(chunk: Buffer): { end: number; count: number } } {
    let isLineEmpty = false;
    return {
        findLastEnd(chunk) {
            let end = 0;
            let count = 0;
            for (let index = 0; index < chunk.length; index++) {
                if (chunk[index] === CARRIAGE_RETURN) {
                    continue;
                }
                const isEnd = chunk[index] === LINE_FEED && isLineEmpty;
                if (isEnd) {
                    end = index + 1;
                    count++;
                }
                isLineEmpty = chunk[index] === LINE_FEED && !isEnd;
            }
            return { end, count };
        },
    };
}

function findLastId(bytes: Buffer): string | undefined {
    if (bytes.length === 0) {
        return undefined;
    }
    let last: string | undefined;
    for (const match of bytes.toString("latin1").matchAll(ID_LINE)) {
        last = match[1];
    }
    return last;
}
