import { type KeyValueEntry, type KeyValueService, swapSurely } from "../../platform/index.js";
import { ErrorCode, createError } from "../../errors/index.js";
import { type Claim, type ClaimAnswer, type ClaimKey, ClaimStore, type HeldClaim, claimSchema } from "./Claim.js";

const PREFIX = "claims/single/";

/**
 * Creates a store with one key, and one compare-and-swap, for each claim.
 * @param service - Key-value service.
 */
export function createSingleClaimStore(service: KeyValueService): ClaimStore {
    return new (class SingleClaimStore extends ClaimStore {
        override openClaim(key: ClaimKey, claim: Claim): Promise<ClaimAnswer> {
            return writeClaim(key.digest, claim, 0);
        }

        override moveClaim(key: ClaimKey, held: HeldClaim, claim: Claim): Promise<ClaimAnswer> {
            return writeClaim(key.digest, claim, Number(held.mark));
        }
    })();

    async function writeClaim(key: string, claim: Claim, expectedRevision: number): Promise<ClaimAnswer> {
        const swap = { key: `${PREFIX}${key}`, expectedRevision, value: JSON.stringify(claim) };
        const answer = await swapSurely(service, swap, entry => readClaim(entry).attempt === claim.attempt);
        if (answer.current === undefined) {
            const code = ErrorCode.PlatformUncertain;
            throw createError({ code, expected: "a claim that stands", got: "none" });
        }
        return {
            isOurs: answer.applied,
            held: { claim: readClaim(answer.current), mark: String(answer.current.revision) },
        };
    }
}

function readClaim(entry: KeyValueEntry): Claim {
    return claimSchema.parse(JSON.parse(entry.value));
}
