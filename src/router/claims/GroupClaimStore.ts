import { ErrorCode, createError, hasErrorCode } from "../../errors/index.js";
import { type KeyValueService, createRollingLease } from "../../platform/index.js";
import { readMonotonicMs, waitFor } from "../../utils/time.js";
import { type Claim, type ClaimAnswer, type ClaimKey, ClaimStore, type HeldClaim } from "./Claim.js";
import { type ClaimDocument, decodeClaims, encodeClaims, computeShortKey } from "./ClaimDocument.js";
import { RETENTION_MS, findClaimPlace } from "./claimPlace.js";

/** Options of the store. */
export interface GroupClaimStoreOptions {
    service: KeyValueService;
    /** Number of entries among which the keys are spread. */
    partitions: number;
    /** Least time between two writes of an entry, in milliseconds; claims wait for each other meanwhile. */
    intervalMs: number;
}

interface PendingClaim {
    key: string;
    claim: Claim;
    /** Attempt that the claim is to replace; undefined for a new claim. */
    replaced: string | undefined;
    resolve: (answer: ClaimAnswer) => void;
    reject: (error: unknown) => void;
}

interface Place {
    name: string;
    isTimed: boolean;
    pending: PendingClaim[];
    isFlushing: boolean;
    document: ClaimDocument;
    revision: number | undefined;
    /** Monotonic time of the last write, in milliseconds. */
    writtenAt: number;
    usedAt: number;
}

const MAX_TRIES = 8;
const RETRY_PAUSE_MS = 50;
const MAX_DOCUMENT_BYTES = 900_000;
/** The platform deletes the claims of a window long after the retention. */
const TIMED_TTL_MS = 2 * RETENTION_MS;
const MAX_PLACES = 256;

/**
 * Creates a store that commits many claims with one compare-and-swap:
 * while a write is on its way, the claims that arrive wait for the next one.
 * @param options - Platform and bounds.
 */
export function createGroupClaimStore(options: GroupClaimStoreOptions): ClaimStore {
    const { service } = options;
    const places = new Map<string, Place>();
    const lease = createRollingLease(service, TIMED_TTL_MS);

    return new (class GroupClaimStore extends ClaimStore {
        override openClaim(key: ClaimKey, claim: Claim): Promise<ClaimAnswer> {
            return addClaim(key, claim, undefined);
        }

        override moveClaim(key: ClaimKey, held: HeldClaim, claim: Claim): Promise<ClaimAnswer> {
            return addClaim(key, claim, held.claim.attempt);
        }
    })();

    function addClaim(key: ClaimKey, claim: Claim, replaced: string | undefined): Promise<ClaimAnswer> {
        const { name, isTimed } = findClaimPlace(key.idempotencyKey, key.digest, options.partitions);
        return new Promise((resolve, reject) => {
            const place = getPlace(name, isTimed);
            place.pending.push({ key: computeShortKey(key.digest), claim, replaced, resolve, reject });
            if (!place.isFlushing) {
                void flushPlace(place);
            }
        });
    }

    async function flushPlace(place: Place): Promise<void> {
        place.isFlushing = true;
        while (place.pending.length > 0) {
            await waitFor(Math.max(0, place.writtenAt + options.intervalMs - readMonotonicMs()));
            place.writtenAt = readMonotonicMs();
            const batch = place.pending.splice(0);
            await writeBatch(place, batch).catch(error => batch.forEach(pending => pending.reject(error)));
        }
        place.isFlushing = false;
        place.usedAt = Date.now();
        forgetPlaces();
    }

    async function writeBatch(place: Place, batch: PendingClaim[]): Promise<void> {
        let lost: unknown;
        for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
            try {
                if (await swapBatch(place, batch)) {
                    return;
                }
            } catch (error) {
                lost = error;
                place.revision = undefined;
                if (hasErrorCode(error, ErrorCode.PlatformUnavailable) || hasErrorCode(error, ErrorCode.TooLarge)) {
                    throw error;
                }
                await waitFor(RETRY_PAUSE_MS);
            }
        }
        throw lost ?? createError({ code: ErrorCode.PlatformUnavailable, expected: "a commit", got: "conflicts only" });
    }

    /**
     * Applies a batch to the document and swaps it.
     * A write whose answer was lost is settled by the next read: the claim is ours if it names our attempt.
     */
    async function swapBatch(place: Place, batch: PendingClaim[]): Promise<boolean> {
        if (place.revision === undefined) {
            await readPlace(place);
        }
        const next: ClaimDocument = new Map(place.document);
        const isChanged = batch.map(pending => applyClaim(next, pending)).includes(true);
        if (!isChanged) {
            answerAll(place.document, batch);
            return true;
        }
        forgetExpired(next);
        const value = encodeClaims(next);
        if (Buffer.byteLength(value) > MAX_DOCUMENT_BYTES) {
            const got = `${Buffer.byteLength(value)} bytes in ${place.name}`;
            throw createError({ code: ErrorCode.TooLarge, expected: `at most ${MAX_DOCUMENT_BYTES} bytes`, got });
        }
        const expectedRevision = place.revision ?? 0;
        const leaseId = place.isTimed ? await lease.getLease() : undefined;
        const answer = await service.swapEntry({ key: place.name, expectedRevision, value, leaseId });
        place.revision = answer.current?.revision ?? 0;
        place.document = answer.applied ? next : decodeEntry(answer.current?.value);
        if (answer.applied) {
            answerAll(next, batch);
        }
        return answer.applied;
    }

    async function readPlace(place: Place): Promise<void> {
        const entry = await service.getEntry(place.name);
        place.document = decodeEntry(entry?.value);
        place.revision = entry?.revision ?? 0;
    }

    function getPlace(name: string, isTimed: boolean): Place {
        const known = places.get(name);
        if (known !== undefined) {
            return known;
        }
        const place: Place = {
            name,
            isTimed,
            pending: [],
            isFlushing: false,
            document: new Map(),
            revision: undefined,
            writtenAt: Number.NEGATIVE_INFINITY,
            usedAt: Date.now(),
        };
        places.set(name, place);
        return place;
    }

    function forgetPlaces(): void {
        if (places.size <= MAX_PLACES) {
            return;
        }
        const idle = [...places.values()].filter(place => !place.isFlushing && place.pending.length === 0);
        idle.sort((left, right) => left.usedAt - right.usedAt);
        idle.slice(0, places.size - MAX_PLACES).forEach(place => places.delete(place.name));
    }
}

/** Returns true if the document was changed. */
function applyClaim(document: ClaimDocument, pending: PendingClaim): boolean {
    const standing = document.get(pending.key);
    const isFree = standing === undefined ? pending.replaced === undefined : standing.attempt === pending.replaced;
    if (isFree) {
        document.set(pending.key, pending.claim);
    }
    return isFree;
}

function answerAll(document: ClaimDocument, batch: PendingClaim[]): void {
    for (const pending of batch) {
        const standing = document.get(pending.key);
        if (standing === undefined) {
            const code = ErrorCode.PlatformUncertain;
            pending.reject(createError({ code, expected: "a claim that stands", got: "none" }));
            continue;
        }
        const isOurs = standing.attempt === pending.claim.attempt;
        pending.resolve({ isOurs, held: { claim: standing, mark: standing.attempt } });
    }
}

/** Counts the age from the median time of the claims, so that one host with a wrong clock deletes nothing. */
function forgetExpired(document: ClaimDocument): void {
    const times = [...document.values()].map(claim => claim.at).sort((left, right) => left - right);
    const median = times[Math.floor(times.length / 2)] ?? 0;
    for (const [key, claim] of document) {
        if (claim.at < median - RETENTION_MS) {
            document.delete(key);
        }
    }
}

function decodeEntry(value: string | undefined): ClaimDocument {
    return value === undefined ? new Map() : decodeClaims(value);
}
