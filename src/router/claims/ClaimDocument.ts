import { z } from "zod";
import type { Claim } from "./Claim.js";

/** Claims that share one entry of the key-value service. */
export type ClaimDocument = Map<string, Claim>;

const rowSchema = z.tuple([
    z.string(),
    z.string(),
    z.string(),
    z.string(),
    z.string(),
    z.number(),
    z.string(),
    z.number(),
]);

const KEY_CHARS = 32;

/**
 * Shortens the digest of a key to the 128 bits that the documents use.
 * @param key - Digest of team and idempotency key.
 */
export function computeShortKey(key: string): string {
    return key.slice(0, KEY_CHARS);
}

/**
 * Encodes a document as rows without field names.
 * @param document - Claims by key.
 */
export function encodeClaims(document: ClaimDocument): string {
    const rows = [...document].map(([key, claim]) => [
        key,
        claim.body,
        claim.attempt,
        claim.host,
        claim.address,
        claim.port,
        claim.incarnation,
        claim.at,
    ]);
    return JSON.stringify(rows);
}

/**
 * Decodes a document.
 * @param text - Encoded rows.
 */
export function decodeClaims(text: string): ClaimDocument {
    const rows = z.array(rowSchema).parse(JSON.parse(text));
    return new Map(
        rows.map(([key, body, attempt, host, address, port, incarnation, at]) => [
            key,
            { body, attempt, host, address, port, incarnation, at },
        ]),
    );
}
