/** Complete events of a stream, ready to be forwarded. */
export interface CompleteEvents {
    /** Bytes of the complete events, in order. */
    bytes: Buffer;
    /** Number of complete events. */
    count: number;
    /** Last identifier among the complete events; undefined if none has one. */
    lastId: string | undefined;
}

/** Splits a stream of server-sent events at event boundaries. */
export interface EventSplitter {
    /**
     * Adds received bytes and returns the events that are complete.
     * @returns Undefined if more than the maximum number of bytes arrived without a new event identifier.
     */
    addChunk(chunk: Buffer): CompleteEvents | undefined;
    /** Gets the bytes received after the last complete event. */
    getRemainder(): Buffer;
    /** Returns whether an event has begun that is not complete; comments and empty lines belong to no event. */
    isInsideEvent(): boolean;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /(?:^|\n)id:[ ]?([^\r\n]*)/g;
/** Line of an event, in contrast to a comment or an empty line. */
const EVENT_LINE = /(?:^|\n)[^:\r\n]/;
/** Maximum size of the data between two new event identifiers, in bytes; far above the size of usual events. */
const MAX_BYTES_WITHOUT_NEW_ID = 65_536;

/** Creates a splitter for the stream of one endpoint. */
export function createEventSplitter(): EventSplitter {
    const scanner = createEventScanner();
    let pending: Buffer[] = [];
    let pendingBytes = 0;
    let lastId: string | undefined;
    let bytesSinceNewId = 0;
    const getRemainder = (): Buffer => Buffer.concat(pending);
    return { addChunk, getRemainder, isInsideEvent: () => EVENT_LINE.test(getRemainder().toString("latin1")) };

    function addChunk(chunk: Buffer): CompleteEvents | undefined {
        const { end, count } = scanner.findLastBoundary(chunk);
        const bytes = end === 0 ? Buffer.alloc(0) : Buffer.concat([...pending, chunk.subarray(0, end)]);
        pending = end === 0 ? pending : [];
        pending.push(chunk.subarray(end));
        pendingBytes = (end === 0 ? pendingBytes : 0) + chunk.length - end;
        const id = findLastId(bytes);
        const isNewId = id !== undefined && id !== lastId;
        bytesSinceNewId = isNewId ? 0 : bytesSinceNewId + bytes.length;
        lastId = id ?? lastId;
        return bytesSinceNewId + pendingBytes > MAX_BYTES_WITHOUT_NEW_ID ? undefined : { bytes, count, lastId: id };
    }
}

/** Creates a scanner that finds the empty lines that end events, with LF or CRLF line endings. */
function createEventScanner(): { findLastBoundary(chunk: Buffer): { end: number; count: number } } {
    let isLineEmpty = false;
    return {
        findLastBoundary(chunk) {
            let end = 0;
            let count = 0;
            for (let index = 0; index < chunk.length; index++) {
                if (chunk[index] === CARRIAGE_RETURN) {
                    continue;
                }
                const isBoundary = chunk[index] === LINE_FEED && isLineEmpty;
                if (isBoundary) {
                    end = index + 1;
                    count++;
                }
                isLineEmpty = chunk[index] === LINE_FEED && !isBoundary;
            }
            return { end, count };
        },
    };
}

/** Finds the last event identifier in complete events. */
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
