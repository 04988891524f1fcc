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
    /** Takes bytes in and gives the events that have become whole. */
    takeChunk(chunk: Buffer): SplitEvents;
    /** Gets the bytes after the last whole event. */
    getRest(): Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /(?:^|\n)id:[ ]?([^\r\n]*)/g;
/** Largest event that is held back until it is whole, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;

/** Creates a splitter for one run of a stream. */
export function createEventSplitter(): EventSplitter {
    let rest: Buffer = Buffer.alloc(0);
    return { takeChunk, getRest: () => rest };

    function takeChunk(chunk: Buffer): SplitEvents {
        rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
        const { end, count } = findLastEventEnd(rest);
        const isTooLong = end === 0 && rest.length > MAX_EVENT_BYTES;
        const cut = isTooLong ? rest.length : end;
        const bytes = rest.subarray(0, cut);
        rest = rest.subarray(cut);
        return { bytes, count, lastId: findLastId(bytes) };
    }
}

/** An event ends with an empty line, whatever the line ends are. */
function findLastEventEnd(bytes: Buffer): { end: number; count: number } {
    let end = 0;
    let count = 0;
    let isLineEmpty = false;
    for (let index = 0; index < bytes.length; index++) {
        if (bytes[index] === CARRIAGE_RETURN) {
            continue;
        }
        if (bytes[index] !== LINE_FEED) {
            isLineEmpty = false;
            continue;
        }
        if (isLineEmpty) {
            end = index + 1;
            count++;
        }
        isLineEmpty = true;
    }
    return { end, count };
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
