import { computeHash32 } from "../../utils/digest.js";

/** Time that a key is remembered, in milliseconds. */
export const RETENTION_MS = 24 * 3_600_000;
/** Length of the windows of keys that carry their time, in milliseconds. */
export const WINDOW_MS = 60_000;
/** Entry of the key-value service that holds the claims of some keys. */
export interface ClaimPlace {
    name: string;
    /** The entry holds the keys of one window of time, and is not needed after the retention. */
    isTimed: boolean;
}

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const HEX = 16;

/**
 * Reads the time that a key carries (UUID version 7).
 * @param idempotencyKey - Key as the caller sent it.
 * @returns Wall-clock time in milliseconds; undefined if the key carries none.
 */
export function readKeyTime(idempotencyKey: string): number | undefined {
    const match = UUID_V7.exec(idempotencyKey);
    return match ? Number.parseInt(`${match[1]}${match[2]}`, HEX) : undefined;
}

/**
 * Tells whether a key is older than the retention, so that nothing is known of it any more.
 * @param idempotencyKey - Key as the caller sent it.
 * @param now - Wall-clock time in milliseconds.
 */
export function isKeyExpired(idempotencyKey: string, now: number): boolean {
    const time = readKeyTime(idempotencyKey);
    return time !== undefined && time < now - RETENTION_MS;
}

/**
 * Finds the entry that holds the claim of a key: by its time if it carries one, else by its hash.
 * The place depends on the key alone, since hosts whose clocks differ must find the same one.
 * @param idempotencyKey - Key as the caller sent it.
 * @param keyDigest - Digest of team and idempotency key.
 * @param partitions - Number of entries among which the keys are spread.
 */
export function findClaimPlace(idempotencyKey: string, keyDigest: string, partitions: number): ClaimPlace {
    const partition = computeHash32(keyDigest) % partitions;
    const time = readKeyTime(idempotencyKey);
    if (time === undefined) {
        return { name: `claims/opaque/${partition}`, isTimed: false };
    }
    return { name: `claims/timed/${Math.floor(time / WINDOW_MS)}/${partition}`, isTimed: true };
}
