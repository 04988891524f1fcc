import { type KeyValueEntry, type KeyValueService, createRollingLease } from "../platform/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import { type Loop, startLoop } from "../utils/time.js";
import type { Account } from "./Account.js";
import { type Summary, mergeSummaries, summarySchema } from "./Summary.js";

/** Options of the writer. */
export interface SummaryWriterOptions {
    service: KeyValueService;
    account: Account;
    logger: Logger;
    /** Draws a number from 0 to 1, which spreads the writers of a zone over the minute. */
    random: () => number;
}

const PREFIX = "account/";
const TICK_MS = 5_000;
const SPREAD_MS = 20_000;
/** Time that a summary is kept, in milliseconds. */
const RETENTION_MS = 6 * 3_600_000;
const MAX_TRIES = 8;
const MAX_WAITING = 120;

/**
 * Starts to merge the finished minutes of a router into the summary of its zone.
 * @param options - Account and platform.
 */
export function startSummaryWriter(options: SummaryWriterOptions): Loop {
    const { service, account, logger } = options;
    const delayMs = options.random() * SPREAD_MS;
    const waiting: Summary[] = [];
    const lease = createRollingLease(service, RETENTION_MS);
    return startLoop(TICK_MS, writeFinished, () => undefined);

    async function writeFinished(): Promise<void> {
        waiting.push(...account.takeFinished(Date.now() - delayMs));
        waiting.splice(0, Math.max(0, waiting.length - MAX_WAITING));
        while (waiting[0] !== undefined) {
            await writeSummary(waiting[0]);
            waiting.shift();
        }
    }

    /** A repeated write after a lost answer does not count a router twice, since the summary names its hosts. */
    async function writeSummary(summary: Summary): Promise<void> {
        const key = `${PREFIX}${summary.minute}/${summary.zone}`;
        const leaseId = await lease.getLease();
        for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
            const entry = await service.getEntry(key);
            const known = entry && readSummary(entry);
            if (known?.hosts.some(host => summary.hosts.includes(host))) {
                return;
            }
            const value = JSON.stringify(known === undefined ? summary : mergeSummaries(known, summary));
            const answer = await service.swapEntry({
                key,
                expectedRevision: entry?.revision ?? 0,
                value,
                leaseId,
            });
            if (answer.applied) {
                logger.logEvent(EventId.SummaryWritten, { minute: summary.minute });
                return;
            }
        }
    }
}

/**
 * Reads the summaries of a period.
 * @param service - Key-value service.
 * @param from - Wall-clock time of the start, in milliseconds.
 * @param to - Wall-clock time of the end, in milliseconds.
 */
export async function readSummaries(service: KeyValueService, from: number, to: number): Promise<Summary[]> {
    const entries = await service.listEntries(PREFIX);
    return entries.map(readSummary).filter(summary => summary.minute >= from && summary.minute <= to);
}

function readSummary(entry: KeyValueEntry): Summary {
    return summarySchema.parse(JSON.parse(entry.value));
}
