import { z } from "zod";

/** Schema of a claim as the platform keeps it. */
export const claimSchema = z.object({
    /** Digest of the request: method, path and body. */
    body: z.string(),
    /** Attempt that holds the claim. */
    attempt: z.string(),
    /** Agent of the attempt. */
    host: z.string(),
    address: z.string(),
    port: z.number().int(),
    /** Life of the agent's process. */
    incarnation: z.string(),
    /** Wall-clock time of the claim, in milliseconds. */
    at: z.number(),
});

/** Right to run a non-idempotent request: at most one attempt holds it. */
export type Claim = z.infer<typeof claimSchema>;

/** Key of a claim. */
export interface ClaimKey {
    /** Digest of team and idempotency key. */
    digest: string;
    /** Key as the caller sent it, which may carry its time. */
    idempotencyKey: string;
}

/** A claim with the mark by which it can be moved. */
export interface HeldClaim {
    claim: Claim;
    /** Changes with each move of the claim. */
    mark: string;
}

/** Answer to an attempt to claim. */
export interface ClaimAnswer {
    /** The caller's own attempt holds the claim. */
    isOurs: boolean;
    held: HeldClaim;
}

/** Keeps the claims of non-idempotent requests. */
export abstract class ClaimStore {
    /**
     * Claims a key for an attempt unless another one holds it.
     * Rejects with `PlatformUnavailable` or `PlatformUncertain` when the platform fails.
     * @param key - Team and idempotency key.
     * @param claim - Claim to make.
     */
    abstract openClaim(key: ClaimKey, claim: Claim): Promise<ClaimAnswer>;

    /**
     * Moves a claim from an attempt that can't run any more to a new one.
     * @param key - Team and idempotency key.
     * @param held - Claim to replace.
     * @param claim - New claim.
     */
    abstract moveClaim(key: ClaimKey, held: HeldClaim, claim: Claim): Promise<ClaimAnswer>;
}
