import { z } from "zod";
import { type KeyValueService, type RollingLease, createRollingLease, swapSurely } from "../platform/index.js";
import type { AttemptRecord } from "./AttemptLedger.js";
import { AnswerEnd, type AnswerHead } from "./KeptAnswer.js";

const rowSchema = z.object({
    id: z.string(),
    isWhole: z.boolean(),
    status: z.number().int(),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
    /** Body in base64; undefined if it was too large to hand over. */
    body: z.string().optional(),
});

const handoverSchema = z.object({
    /** Creation time up to which attempts may have been forgotten, in milliseconds. */
    forgottenUpTo: z.number(),
    rows: z.array(rowSchema),
});

type HandoverRow = z.infer<typeof rowSchema>;

/** What a stopped agent left of a non-idempotent attempt. */
export interface HandedAttempt {
    isWhole: boolean;
    head: AnswerHead;
    body: Buffer | undefined;
}

/** What a stopped agent left. */
export interface Handover {
    attempts: Map<string, HandedAttempt>;
    /** Creation time up to which attempts may have been forgotten, in milliseconds. */
    forgottenUpTo: number;
}

/** What a planned stop left behind, kept by the platform for the readers that come later. */
export interface HandoverStore {
    /** Writes the finished non-idempotent attempts of an agent that takes no new work. */
    writeHandover(
        host: string,
        incarnation: string,
        records: readonly AttemptRecord[],
        forgottenUpTo: number,
    ): Promise<void>;
    /**
     * Reads what an agent left.
     * @returns Undefined if the agent did not stop in order, so that nothing is known.
     */
    readHandover(host: string, incarnation: string): Promise<Handover | undefined>;
}

const TTL_MS = 24 * 3_600_000;
const MAX_BYTES = 900_000;

/**
 * Creates the store.
 * @param service - Key-value service.
 */
export function createHandoverStore(service: KeyValueService): HandoverStore {
    const lease: RollingLease = createRollingLease(service, TTL_MS);
    return { writeHandover, readHandover };

    async function writeHandover(
        host: string,
        incarnation: string,
        records: readonly AttemptRecord[],
        forgottenUpTo: number,
    ): Promise<void> {
        const value = encodeHandover(records, forgottenUpTo);
        const key = createKey(host, incarnation);
        const leaseId = await lease.getLease();
        await swapSurely(service, { key, expectedRevision: 0, value, leaseId }, entry => entry.value === value);
    }

    async function readHandover(host: string, incarnation: string): Promise<Handover | undefined> {
        const entry = await service.getEntry(createKey(host, incarnation));
        if (entry === undefined) {
            return undefined;
        }
        const { rows, forgottenUpTo } = handoverSchema.parse(JSON.parse(entry.value));
        return { attempts: new Map(rows.map(row => [row.id, decodeRow(row)])), forgottenUpTo };
    }
}

function createKey(host: string, incarnation: string): string {
    return `handovers/${host}/${incarnation}`;
}

/** Bodies are left out, the largest first, until the rest fits. */
function encodeHandover(records: readonly AttemptRecord[], forgottenUpTo: number): string {
    const rows = records.map(encodeRow);
    const bySize = [...rows].sort((left, right) => (right.body?.length ?? 0) - (left.body?.length ?? 0));
    let value = JSON.stringify({ forgottenUpTo, rows });
    for (const row of bySize) {
        if (Buffer.byteLength(value) <= MAX_BYTES) {
            break;
        }
        delete row.body;
        value = JSON.stringify({ forgottenUpTo, rows });
    }
    return value;
}

function encodeRow(record: AttemptRecord): HandoverRow {
    const { answer } = record;
    const head = answer.getHead();
    return {
        id: record.id,
        isWhole: answer.getEnd() === AnswerEnd.Whole,
        status: head?.status ?? 0,
        headers: head?.headers ?? {},
        body: answer.hasChunks() ? answer.getBody().toString("base64") : undefined,
    };
}

function decodeRow(row: HandoverRow): HandedAttempt {
    const body = row.body === undefined ? undefined : Buffer.from(row.body, "base64");
    return { isWhole: row.isWhole, head: { status: row.status, headers: row.headers }, body };
}
