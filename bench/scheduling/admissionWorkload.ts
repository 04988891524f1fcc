import { type Random, createRandom } from "./Random.js";

/** A caller's request in the play. */
export interface PlayedRequest {
    arrivesAt: number;
    kind: number;
    team: number;
    promptTokens: number;
    /** Tokens of the answer, and the maximum that the caller announces. */
    answerTokens: number;
    announcedTokens: number;
    /** Share of the requests of its kind with less announced work, from 0 to 1. */
    sizeQuantile: number;
}

/** A kind of request; the first one is the most urgent. */
export interface RequestKind {
    name: string;
    targetMs: number;
    /** Worth of an answer in time, and share of it if late. */
    worth: number;
    lateShare: number;
}

/** Offered load of a play. */
export interface AdmissionLoad {
    seed: number;
    /** Mean share of the capacity that is asked for outside bursts. */
    load: number;
    /** Factor on the rate of one kind in a burst. */
    burstFactor: number;
    durationMs: number;
    teams: number;
}

/** Kinds of streams: the least urgent one has twice the target. */
export const KINDS: readonly RequestKind[] = [
    { name: "urgent", targetMs: 400, worth: 3, lateShare: 0.3 },
    { name: "standard", targetMs: 400, worth: 1.6, lateShare: 0.41 },
    { name: "low", targetMs: 800, worth: 0.8, lateShare: 0.3 },
];
export const BURST_MS = 5_000;
export const BURST_PERIOD_MS = 15_000;
/** Prompt tokens that an engine reads in a millisecond, for one request. */
const READ_TOKENS_PER_MS = 8;
/** Time for one token of the answer with full batches, in milliseconds. */
export const TOKEN_MS = 24;
const MEAN_PROMPT = 600;
const MEAN_ANSWER = 50;
/** Standard deviation of the logarithm of the sizes: the largest tenth has about 20 times the work of the smallest. */
const SIZE_SPREAD = 0.9;

/**
 * Computes the time that a request takes a slot.
 * @param promptTokens - Tokens to read.
 * @param answerTokens - Tokens to write.
 */
export function computeSlotMs(promptTokens: number, answerTokens: number): number {
    return computeReadMs(promptTokens) + answerTokens * TOKEN_MS;
}

/**
 * Computes the time to read a prompt, in milliseconds.
 * @param promptTokens - Tokens to read.
 */
export function computeReadMs(promptTokens: number): number {
    return promptTokens / READ_TOKENS_PER_MS;
}

/**
 * Draws the requests of a play.
 * @param load - Offered load.
 * @param slots - Slots of all engines.
 */
export function drawPlayedRequests(load: AdmissionLoad, slots: number): PlayedRequest[] {
    const random = createRandom(load.seed);
    const meanMs = computeSlotMs(MEAN_PROMPT, MEAN_ANSWER);
    const kindRate = (load.load * slots) / meanMs / KINDS.length;
    const requests = KINDS.flatMap((unused, kind) => drawKind(load, kind, kindRate, random));
    for (const kind of KINDS.keys()) {
        const bySize = requests.filter(request => request.kind === kind).sort((l, r) => getSize(l) - getSize(r));
        bySize.forEach((request, place) => (request.sizeQuantile = place / bySize.length));
    }
    return requests.sort((left, right) => left.arrivesAt - right.arrivesAt);
}

function getSize({ promptTokens, announcedTokens }: PlayedRequest): number {
    return computeSlotMs(promptTokens, announcedTokens);
}

function drawKind(load: AdmissionLoad, kind: number, rate: number, random: Random): PlayedRequest[] {
    const requests: PlayedRequest[] = [];
    let arrivesAt = 0;
    for (;;) {
        const burstKind = Math.floor(arrivesAt / BURST_PERIOD_MS) % KINDS.length;
        const isInBurst = arrivesAt % BURST_PERIOD_MS > BURST_PERIOD_MS - BURST_MS && burstKind === kind;
        arrivesAt += random.drawExponential(1 / (rate * (isInBurst ? load.burstFactor : 1)));
        if (arrivesAt >= load.durationMs) {
            return requests;
        }
        const answerTokens = Math.ceil(drawSize(MEAN_ANSWER, random));
        requests.push({
            arrivesAt,
            kind,
            team: Math.floor(random.draw() * load.teams),
            promptTokens: Math.ceil(drawSize(MEAN_PROMPT, random)),
            answerTokens,
            announcedTokens: Math.ceil(answerTokens * (1 + random.draw())),
            sizeQuantile: 0,
        });
    }
}

/** Draws from a log-normal distribution. */
function drawSize(mean: number, random: Random): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random.draw())) * Math.cos(2 * Math.PI * random.draw());
    return mean * Math.exp(SIZE_SPREAD * normal - SIZE_SPREAD ** 2 / 2);
}
