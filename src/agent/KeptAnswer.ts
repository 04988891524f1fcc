import { type ByteLog, createByteLog } from "../utils/ByteLog.js";

/** How far an answer has come. */
export enum AnswerEnd {
    Open = "open",
    /** The endpoint ended the answer with its end marker or its announced length. */
    Whole = "whole",
    /** The endpoint stopped in the middle. */
    Broken = "broken",
    /** Tokens of the answer are missing or repeated. */
    Inconsistent = "inconsistent",
    /** The endpoint never had the request. */
    NeverStarted = "never-started",
}

/** Status and headers of an answer. */
export interface AnswerHead {
    status: number;
    headers: Record<string, string | string[]>;
}

/** Receives an answer from some offset on. */
export interface AnswerReader {
    onHead(head: AnswerHead): void;
    /** @returns False if the reader asks for a pause. */
    onChunk(chunk: Buffer): boolean;
    onEnd(end: AnswerEnd, length: number): void;
}

/** An answer kept in memory, which any number of readers follow from any offset. */
export interface KeptAnswer {
    setHead(head: AnswerHead): void;
    addChunk(chunk: Buffer): void;
    finish(end: AnswerEnd): void;
    /** Adds a reader; the chunks from the offset on are sent to it at once. */
    addReader(reader: AnswerReader, offset: number): () => void;
    /** Frees the chunks; later readers get a broken answer. */
    dropChunks(): void;
    countReaders(): number;
    getHead(): AnswerHead | undefined;
    getLength(): number;
    getEnd(): AnswerEnd;
    hasChunks(): boolean;
    getBody(): Buffer;
}

/** Creates an empty answer. */
export function createKeptAnswer(): KeptAnswer {
    const readers = new Set<AnswerReader>();
    let bytes: ByteLog | undefined = createByteLog();
    let head: AnswerHead | undefined;
    let length = 0;
    let end = AnswerEnd.Open;

    return {
        setHead,
        addChunk,
        finish,
        addReader,
        dropChunks() {
            bytes = undefined;
        },
        countReaders: () => readers.size,
        getHead: () => head,
        getLength: () => length,
        getEnd: () => end,
        hasChunks: () => bytes !== undefined,
        getBody: () => bytes?.readFrom(0) ?? Buffer.alloc(0),
    };

    function setHead(next: AnswerHead): void {
        head = next;
        readers.forEach(reader => reader.onHead(next));
    }

    function addChunk(chunk: Buffer): void {
        bytes?.append(chunk);
        length += chunk.length;
        readers.forEach(reader => reader.onChunk(chunk));
    }

    function finish(next: AnswerEnd): void {
        if (end !== AnswerEnd.Open) {
            return;
        }
        end = next;
        readers.forEach(reader => reader.onEnd(next, length));
        readers.clear();
    }

    function addReader(reader: AnswerReader, offset: number): () => void {
        if (head !== undefined) {
            reader.onHead(head);
        }
        if (bytes === undefined) {
            reader.onEnd(AnswerEnd.Broken, length);
            return () => undefined;
        }
        if (offset < bytes.getLength()) {
            reader.onChunk(bytes.readFrom(offset));
        }
        if (end !== AnswerEnd.Open) {
            reader.onEnd(end, length);
            return () => undefined;
        }
        readers.add(reader);
        return () => readers.delete(reader);
    }
}
