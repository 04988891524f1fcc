import { WORK_RANKS, WorkRank } from "../../src/config/WorkRank.js";
import { buildList } from "../../src/utils/list.js";
import { type Random, createRandom } from "./Random.js";
import type { SimulatedRequest, SimulationOptions } from "./Simulation.js";

/** Arrivals of one kind of request. */
export interface Stream {
    rank: WorkRank;
    team: string;
    weight: number;
    /** Requests a second. */
    rate: number;
    isPatient: boolean;
}

/** Sizes of today: 16 replicas, 8 hosts. */
export const TODAY: Pick<
    SimulationOptions,
    "endpoints" | "concurrency" | "routers" | "tokenMs" | "targets" | "worth" | "durationMs" | "warmUpMs" | "coolDownMs"
> = {
    endpoints: 16,
    concurrency: 8,
    routers: 8,
    tokenMs: 20,
    targets: { [WorkRank.Urgent]: 1_900, [WorkRank.Standard]: 8_000, [WorkRank.Deferrable]: 30_000 },
    worth: { [WorkRank.Urgent]: 10, [WorkRank.Standard]: 3, [WorkRank.Deferrable]: 1 },
    durationMs: 140_000,
    warmUpMs: 20_000,
    coolDownMs: 60_000,
};

const MEAN_TOKENS = 48;
const LEAST_TOKENS = 8;
const MEAN_PREFILL_MS = 60;
/** Announced tokens differ from the real ones by up to this share. */
const ANNOUNCED_ERROR = 0.5;
const SHARES: Record<WorkRank, number> = {
    [WorkRank.Urgent]: 0.4,
    [WorkRank.Standard]: 0.3,
    [WorkRank.Deferrable]: 0.3,
};

/** Requests a second that the endpoints can serve. */
export function computeCapacityRate(): number {
    const serviceMs = MEAN_PREFILL_MS + (MEAN_TOKENS + LEAST_TOKENS) * TODAY.tokenMs;
    return (TODAY.endpoints * TODAY.concurrency * 1_000) / serviceMs;
}

/**
 * Builds streams of all ranks at a share of capacity, from ten teams.
 * @param load - Share of capacity.
 * @param factors - Factor on the rate of a rank.
 */
export function buildMix(load: number, factors: Partial<Record<WorkRank, number>> = {}): Stream[] {
    const rate = computeCapacityRate() * load;
    const teams = buildList(10, place => ({ team: `team-${place}`, share: place < 2 ? 0.2 : 0.075 }));
    return WORK_RANKS.flatMap(rank =>
        teams.map(({ team, share }) => ({
            rank,
            team,
            weight: share * 10,
            rate: rate * SHARES[rank] * share * (factors[rank] ?? 1),
            isPatient: true,
        })),
    );
}

/**
 * Draws the requests of some streams.
 * @param streams - Streams.
 * @param seed - Seed.
 * @param modulate - Factor on all rates, by time.
 */
export function drawRequests(
    streams: readonly Stream[],
    seed: number,
    modulate: (at: number) => number = () => 1,
): SimulatedRequest[] {
    const random = createRandom(seed);
    const requests = streams.flatMap(stream => drawStream(stream, random, modulate));
    return requests.sort((left, right) => left.at - right.at);
}

function drawStream(stream: Stream, random: Random, modulate: (at: number) => number): SimulatedRequest[] {
    const requests: SimulatedRequest[] = [];
    let at = 0;
    while (stream.rate > 0) {
        at += random.drawExponential(1_000 / (stream.rate * modulate(at)));
        if (at >= TODAY.durationMs) {
            break;
        }
        const tokens = LEAST_TOKENS + Math.round(random.drawExponential(MEAN_TOKENS));
        const error = 1 + ANNOUNCED_ERROR * (2 * random.draw() - 1);
        requests.push({
            at,
            team: stream.team,
            weight: stream.weight,
            rank: stream.rank,
            tokens,
            announced: Math.max(1, Math.round(tokens * error)),
            prefillMs: random.drawExponential(MEAN_PREFILL_MS),
            prefixHash: undefined,
            isPatient: stream.isPatient,
        });
    }
    return requests;
}
