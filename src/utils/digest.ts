import { createHash, randomBytes, timingSafeEqual } from "node:crypto";

/**
 * Computes the SHA-256 digest of the parts, in hexadecimal.
 * @param parts - Texts or buffers; a separator keeps their borders distinct.
 */
export function computeDigest(...parts: (string | Buffer)[]): string {
    const hash = createHash("sha256");
    for (const part of parts) {
        hash.update(part);
        hash.update("\u0000");
    }
    return hash.digest("hex");
}

/**
 * Computes the digest under which a credential is stored.
 * @param credential - Credential in clear.
 */
export function computeKeyDigest(credential: string): string {
    return createHash("sha256").update(credential).digest("hex");
}

/**
 * Compares two texts in a time that does not depend on where they differ.
 * @param left - First text.
 * @param right - Second text.
 */
export function isEqualInConstantTime(left: string, right: string): boolean {
    const leftHash = createHash("sha256").update(left).digest();
    const rightHash = createHash("sha256").update(right).digest();
    return timingSafeEqual(leftHash, rightHash);
}

/**
 * Creates a random identifier of 96 bits.
 * @param prefix - Text put before the random part.
 */
export function createId(prefix: string): string {
    return `${prefix}-${randomBytes(12).toString("hex")}`;
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Computes a fast 32-bit hash of a text (FNV-1a with a final mix).
 * @param text - Text to hash.
 */
export function computeHash32(text: string): number {
    let hash = FNV_OFFSET;
    for (let index = 0; index < text.length; index++) {
        hash ^= text.charCodeAt(index);
        hash = Math.imul(hash, FNV_PRIME);
    }
    return mixHash32(hash);
}

const HASH_RANGE = 2 ** 32;

/**
 * Computes a fast hash of a text as a fraction.
 * @param text - Text to hash.
 * @returns From 0 to below 1.
 */
export function computeHashFraction(text: string): number {
    return computeHash32(text) / HASH_RANGE;
}

/**
 * Compares two texts by their hashes: an order that has nothing to do with how the texts were assigned.
 * @param left - First text.
 * @param right - Second text.
 */
export function compareByHash(left: string, right: string): number {
    return computeHash32(left) - computeHash32(right) || left.localeCompare(right);
}

/**
 * Mixes the bits of a 32-bit hash so that close inputs end far apart.
 * @param hash - Hash to mix.
 */
export function mixHash32(hash: number): number {
    let mixed = hash ^ (hash >>> 16);
    mixed = Math.imul(mixed, 0x85ebca6b);
    mixed ^= mixed >>> 13;
    mixed = Math.imul(mixed, 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
