import { readAttemptTime } from "../protocol/index.js";
import { type KeptAnswer, createKeptAnswer } from "./KeptAnswer.js";

/** What an agent knows of an attempt. */
export enum AttemptState {
    NeverSeen = "never-seen",
    Queued = "queued",
    Running = "running",
    Done = "done",
    /** The attempt was not run, and will be refused. */
    Tombstoned = "tombstoned",
    /** The attempt is so old that it may have been forgotten. */
    Forgotten = "forgotten",
}

/** Facts with which an attempt is opened. */
export interface AttemptStructure {
    id: string;
    isIdempotent: boolean;
    /** Team and idempotency key, as a digest; empty for idempotent work. */
    keyDigest: string;
}

/** An attempt of the ledger. */
export interface AttemptRecord extends AttemptStructure {
    state: AttemptState;
    answer: KeptAnswer;
    /** The endpoint died under the attempt. */
    isEndpointDead: boolean;
    /** Time in the queue, in milliseconds. */
    queueMs: number;
    /** Monotonic time of the end, in milliseconds. */
    endedAt: number | undefined;
}

/** Bounds of the ledger. */
export interface AttemptLedgerOptions {
    /** Time that finished non-idempotent attempts and their answers are kept, in milliseconds. */
    retentionMs: number;
    /** Time that finished idempotent attempts are kept for readers that come again, in milliseconds. */
    idempotentRetentionMs: number;
    /** Answers kept in all, in bytes; the oldest go first. */
    maxAnswerBytes: number;
    /** Non-idempotent attempts kept in all. */
    maxRecords: number;
}

/** The agent's memory of attempts. */
export interface AttemptLedger {
    /** Opens an attempt; undefined if its identifier, or its key, is taken or barred, or the ledger is full. */
    openAttempt(structure: AttemptStructure, now: number): AttemptRecord | undefined;
    getAttempt(id: string): AttemptRecord | undefined;
    /** Tells the state, and makes sure that an attempt never seen will not run. */
    settleState(id: string, now: number): AttemptState;
    tombstoneAttempt(id: string, now: number): void;
    finishAttempt(id: string, now: number): void;
    /**
     * Bars a key for a time unless an attempt holds it.
     * @returns False if an attempt with the key was or is run.
     */
    barKey(keyDigest: string, now: number, barMs: number): boolean;
    /** Lists the finished non-idempotent attempts, for a planned stop. */
    listFinished(): AttemptRecord[];
    countOpen(): number;
    /** Creation time up to which attempts may have been forgotten, in milliseconds. */
    getForgottenUpTo(): number;
    /** Forgets what is older than the retention. */
    forgetExpired(now: number): void;
}

/**
 * Creates the ledger.
 * @param options - Bounds.
 */
export function createAttemptLedger(options: AttemptLedgerOptions): AttemptLedger {
    const records = new Map<string, AttemptRecord>();
    const byKey = new Map<string, string>();
    const barred = new Map<string, number>();
    let answerBytes = 0;
    let durableRecords = 0;
    let forgottenUpTo = -1;

    return {
        openAttempt,
        getAttempt: id => records.get(id),
        settleState,
        tombstoneAttempt,
        finishAttempt,
        barKey,
        listFinished,
        countOpen,
        forgetExpired,
        getForgottenUpTo: () => forgottenUpTo,
    };

    function openAttempt(structure: AttemptStructure, now: number): AttemptRecord | undefined {
        if (!structure.isIdempotent && isForgettable(structure.id)) {
            return undefined;
        }
        const isTaken = records.has(structure.id) || isKeyTaken(structure, now);
        const isFull = !structure.isIdempotent && durableRecords >= options.maxRecords;
        if (isTaken || isFull) {
            return undefined;
        }
        return addRecord(structure, AttemptState.Queued, undefined);
    }

    function isKeyTaken(structure: AttemptStructure, now: number): boolean {
        if (structure.keyDigest === "") {
            return false;
        }
        return byKey.has(structure.keyDigest) || (barred.get(structure.keyDigest) ?? 0) > now;
    }

    function settleState(id: string, now: number): AttemptState {
        const record = records.get(id);
        if (record !== undefined) {
            return record.state;
        }
        if (isForgettable(id)) {
            return AttemptState.Forgotten;
        }
        addRecord({ id, isIdempotent: false, keyDigest: "" }, AttemptState.Tombstoned, now);
        return AttemptState.NeverSeen;
    }

    /** Of an attempt this old nothing can be said any more. */
    function isForgettable(id: string): boolean {
        return readAttemptTime(id) <= forgottenUpTo;
    }

    function tombstoneAttempt(id: string, now: number): void {
        const record = records.get(id);
        if (record === undefined) {
            settleState(id, now);
            return;
        }
        record.state = AttemptState.Tombstoned;
        record.endedAt = now;
        byKey.delete(record.keyDigest);
    }

    function finishAttempt(id: string, now: number): void {
        const record = records.get(id);
        if (record === undefined) {
            return;
        }
        record.state = AttemptState.Done;
        record.endedAt = now;
        answerBytes += record.answer.getLength();
        dropOldestAnswers();
    }

    function barKey(keyDigest: string, now: number, barMs: number): boolean {
        if (byKey.has(keyDigest)) {
            return false;
        }
        barred.set(keyDigest, now + barMs);
        return true;
    }

    function listFinished(): AttemptRecord[] {
        return [...records.values()].filter(record => !record.isIdempotent && record.state === AttemptState.Done);
    }

    function countOpen(): number {
        let open = 0;
        for (const record of records.values()) {
            const isOpen = record.state === AttemptState.Queued || record.state === AttemptState.Running;
            open += isOpen ? 1 : 0;
        }
        return open;
    }

    function addRecord(structure: AttemptStructure, state: AttemptState, endedAt: number | undefined): AttemptRecord {
        const record: AttemptRecord = {
            ...structure,
            state,
            answer: createKeptAnswer(),
            isEndpointDead: false,
            queueMs: 0,
            endedAt,
        };
        records.set(structure.id, record);
        durableRecords += structure.isIdempotent ? 0 : 1;
        if (structure.keyDigest !== "") {
            byKey.set(structure.keyDigest, structure.id);
        }
        return record;
    }

    function forgetExpired(now: number): void {
        for (const [id, record] of records) {
            const retention = record.isIdempotent ? options.idempotentRetentionMs : options.retentionMs;
            if (record.endedAt !== undefined && record.endedAt + retention < now) {
                forgetRecord(id, record);
            }
        }
        for (const [key, until] of barred) {
            if (until <= now) {
                barred.delete(key);
            }
        }
    }

    function forgetRecord(id: string, record: AttemptRecord): void {
        records.delete(id);
        if (!record.isIdempotent) {
            durableRecords--;
            forgottenUpTo = Math.max(forgottenUpTo, readAttemptTime(id));
        }
        if (byKey.get(record.keyDigest) === id) {
            byKey.delete(record.keyDigest);
        }
        if (record.answer.hasChunks()) {
            answerBytes -= record.answer.getLength();
        }
    }

    /** Answers go before the records: that an attempt ran stays known without its answer. */
    function dropOldestAnswers(): void {
        for (const record of records.values()) {
            if (answerBytes <= options.maxAnswerBytes) {
                return;
            }
            if (record.state === AttemptState.Done && record.answer.hasChunks()) {
                answerBytes -= record.answer.getLength();
                record.answer.dropChunks();
            }
        }
    }
}
