import { randomBytes } from "node:crypto";

const RANDOM_BYTES = 10;
const HEX = 16;
const PATTERN = /^att-([0-9a-f]{1,12})-/;

/** Creates an identifier of an attempt, which carries the wall-clock time of its creation. */
export function createAttemptId(): string {
    return `att-${Date.now().toString(HEX)}-${randomBytes(RANDOM_BYTES).toString("hex")}`;
}

/**
 * Reads when an attempt was created.
 * @param id - Identifier of an attempt.
 * @returns Wall-clock time of the creator in milliseconds; 0 if the identifier carries none.
 */
export function readAttemptTime(id: string): number {
    const match = PATTERN.exec(id);
    return match ? Number.parseInt(match[1] ?? "0", HEX) : 0;
}
