import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { type WorkRank, mapRanks } from "../../src/config/WorkRank.js";
import {
    type Candidate,
    type EndpointSelector,
    type RejectedWork,
    type RetryBudget,
    type WorkItem,
    type WorkQueue,
    createRetryBudget,
} from "../../src/scheduling/index.js";
import { buildList } from "../../src/utils/list.js";
import { type EventQueue, createEventQueue } from "./EventQueue.js";
import { type Random, createRandom } from "./Random.js";

/** Decisions under test: the code that ships, or a baseline. */
export interface Policy {
    name: string;
    createQueue: (concurrency: number) => WorkQueue;
    createChoice: (random: () => number) => EndpointSelector;
}

/** A request of a simulated caller. */
export interface SimulatedRequest {
    at: number;
    team: string;
    weight: number;
    rank: WorkRank;
    /** Tokens to generate. */
    tokens: number;
    /** Tokens that the request announces. */
    announced: number;
    prefillMs: number;
    prefixHash: number | undefined;
    /** The caller comes again as `Retry-After` says; else at once, again and again. */
    isPatient: boolean;
}

/** Sizes of a simulated system. */
export interface SimulationOptions {
    seed: number;
    policy: Policy;
    endpoints: number;
    concurrency: number;
    routers: number;
    /** Time of a token, in milliseconds. */
    tokenMs: number;
    targets: Record<WorkRank, number>;
    worth: Record<WorkRank, number>;
    requests: readonly SimulatedRequest[];
    durationMs: number;
    /** Requests that arrive before this time are not counted, in milliseconds. */
    warmUpMs: number;
    /** Requests that arrive this close to the end are not counted, in milliseconds. */
    coolDownMs: number;
    /** Factor on the time of a token, by endpoint. */
    slowness?: (endpoint: number, now: number) => number;
    /** Share of requests that reach each router. */
    routerWeights?: readonly number[];
    /** Attempts after a rejection, for one arrival at a router. */
    maxAttempts?: number;
    /** Callers that are not patient try this often. */
    impatientTries?: number;
}

/** Outcomes of a group of requests. */
export interface Tally {
    offered: number;
    onTime: number;
    late: number;
    refused: number;
    /** Slot time spent on answers on time, in milliseconds. */
    goodMs: number;
}

/** Result of a simulation. */
export interface SimulationResult {
    policy: string;
    ranks: Record<WorkRank, Tally>;
    teams: Map<string, Tally>;
    firstToken: Record<WorkRank, Histogram>;
    /** Slot time spent on answers on time that began in the measured period, in milliseconds. */
    goodMs: Record<WorkRank, number>;
    /** Worth of the answers on time. */
    worth: number;
    /** Slot time that the endpoints had, in milliseconds. */
    capacityMs: number;
    attempts: number;
    arrivals: number;
}

interface Endpoint {
    host: string;
    queue: WorkQueue;
    running: number;
    waitingById: Map<string, Attempt>;
}

interface Attempt {
    request: SimulatedRequest;
    router: Router;
    tried: Set<string>;
    deadline: number;
    returns: number;
    firstAt: number;
}

interface Router {
    choice: EndpointSelector;
    budget: RetryBudget;
    /** Load as this router last heard of it. */
    loads: Record<WorkRank, number>[];
    inFlight: number[];
}

const HOP_MS = 1;
const HEARTBEAT_MS = 1_000;
const HOUSEKEEPING_MS = 100;
const RETRY_SHARE = 0.08;
const MAX_SAVED_RETRIES = 20;
const IMPATIENT_PAUSE_MS = 100;
const MAX_RETURNS = 3;
const SIGNIFICANT_DIGITS = 3;

/**
 * Simulates routers, agents and endpoints around the decision code.
 * @param options - Sizes, requests and policy.
 */
export function runSimulation(options: SimulationOptions): SimulationResult {
    const random: Random = createRandom(options.seed);
    const events: EventQueue = createEventQueue();
    const result = createResult(options);
    const endpoints = buildList(options.endpoints, createEndpoint);
    const routers = buildList(options.routers, createRouter);
    let ids = 0;
    options.requests.forEach(request => events.schedule(request.at, () => startRequest(request)));
    repeat(HEARTBEAT_MS, spreadLoads);
    repeat(HOUSEKEEPING_MS, () => endpoints.forEach(rejectLate));
    events.runUntil(options.durationMs);
    return result;

    function createEndpoint(place: number): Endpoint {
        const queue = options.policy.createQueue(options.concurrency);
        return { host: `endpoint-${place}`, queue, running: 0, waitingById: new Map() };
    }

    function createRouter(): Router {
        return {
            choice: options.policy.createChoice(() => random.draw()),
            budget: createRetryBudget({ share: RETRY_SHARE, maxTokens: MAX_SAVED_RETRIES }),
            loads: endpoints.map(() => mapRanks(() => 0)),
            inFlight: endpoints.map(() => 0),
        };
    }

    function repeat(intervalMs: number, run: () => void): void {
        events.schedule(events.getNow() + intervalMs, () => {
            run();
            repeat(intervalMs, run);
        });
    }

    function spreadLoads(): void {
        const loads = endpoints.map(readLoads);
        routers.forEach(router => {
            router.loads = [...loads];
        });
    }

    function startRequest(request: SimulatedRequest): void {
        if (isCounted(request)) {
            getTallies(request).forEach(tally => tally.offered++);
        }
        sendToRouter(request, 0, events.getNow());
    }

    function sendToRouter(request: SimulatedRequest, returns: number, firstAt: number): void {
        const weights = options.routerWeights ?? routers.map(() => 1);
        const router = routers[random.drawIndex(weights)] as Router;
        const deadline = events.getNow() + options.targets[request.rank];
        result.arrivals++;
        router.budget.recordFirstAttempt();
        dispatch({ request, router, tried: new Set(), deadline, returns, firstAt });
    }

    function dispatch(attempt: Attempt): void {
        const { router, request } = attempt;
        const candidates = endpoints.map((endpoint, place) => createCandidate(endpoint, place, attempt));
        const structure = { prefixHash: request.prefixHash, zone: "zone", triedHosts: attempt.tried };
        const chosen = router.choice.chooseEndpoint(candidates, structure);
        if (chosen === undefined) {
            refuse(attempt, 1_000);
            return;
        }
        attempt.tried.add(chosen.host);
        result.attempts++;
        router.inFlight[chosen.place] = (router.inFlight[chosen.place] ?? 0) + 1;
        events.schedule(events.getNow() + HOP_MS, () => offer(endpoints[chosen.place] as Endpoint, attempt));
    }

    function offer(endpoint: Endpoint, attempt: Attempt): void {
        ids++;
        const { request } = attempt;
        const item: WorkItem = {
            id: String(ids),
            rank: request.rank,
            team: request.team,
            weight: request.weight,
            cost: request.announced,
            deadline: attempt.deadline,
        };
        endpoint.waitingById.set(item.id, attempt);
        rejectAll(endpoint, endpoint.queue.offerWork(item, events.getNow()).rejected);
        startNext(endpoint);
    }

    function startNext(endpoint: Endpoint): void {
        while (endpoint.running < options.concurrency) {
            const answer = endpoint.queue.takeWork(events.getNow());
            rejectAll(endpoint, answer.rejected);
            const attempt = answer.item && endpoint.waitingById.get(answer.item.id);
            if (answer.item === undefined || attempt === undefined) {
                return;
            }
            run(endpoint, answer.item, attempt);
        }
    }

    function run(endpoint: Endpoint, item: WorkItem, attempt: Attempt): void {
        const { request } = attempt;
        const now = events.getNow();
        const slowness = options.slowness?.(endpoints.indexOf(endpoint), now) ?? 1;
        const firstByteMs = request.prefillMs * slowness + options.tokenMs * slowness;
        const durationMs = request.prefillMs * slowness + request.tokens * options.tokenMs * slowness;
        endpoint.running++;
        endpoint.waitingById.delete(item.id);
        events.schedule(now + firstByteMs, () => recordFirstByte(attempt, durationMs));
        events.schedule(now + durationMs, () => {
            endpoint.running--;
            endpoint.queue.completeWork({ item, cost: request.tokens, durationMs, firstByteMs });
            updateLoad(endpoint, attempt.router);
            startNext(endpoint);
        });
    }

    /** Each answer carries the load of its endpoint. */
    function updateLoad(endpoint: Endpoint, router: Router): void {
        const place = endpoints.indexOf(endpoint);
        router.loads[place] = readLoads(endpoint);
        router.inFlight[place] = Math.max(0, (router.inFlight[place] ?? 0) - 1);
    }

    function recordFirstByte(attempt: Attempt, durationMs: number): void {
        const { request } = attempt;
        const isOnTime = events.getNow() <= attempt.deadline;
        if (isOnTime && isMeasured(events.getNow())) {
            result.goodMs[request.rank] += durationMs;
        }
        if (!isCounted(request)) {
            return;
        }
        const waitedMs = events.getNow() - (attempt.deadline - options.targets[request.rank]);
        result.firstToken[request.rank].recordValue(Math.max(1, Math.round(waitedMs)));
        for (const tally of getTallies(request)) {
            tally[isOnTime ? "onTime" : "late"]++;
            tally.goodMs += isOnTime ? durationMs : 0;
        }
        result.worth += isOnTime ? options.worth[request.rank] : 0;
    }

    function rejectLate(endpoint: Endpoint): void {
        rejectAll(endpoint, endpoint.queue.rejectLateWork(events.getNow()));
    }

    function rejectAll(endpoint: Endpoint, rejected: readonly RejectedWork[]): void {
        for (const { item, retryAfterMs } of rejected) {
            const attempt = endpoint.waitingById.get(item.id);
            endpoint.waitingById.delete(item.id);
            if (attempt !== undefined) {
                updateLoad(endpoint, attempt.router);
                retry(attempt, retryAfterMs);
            }
        }
    }

    function retry(attempt: Attempt, retryAfterMs: number): void {
        const isInTime = events.getNow() < attempt.deadline;
        const isAllowed = attempt.tried.size < (options.maxAttempts ?? 2) && attempt.router.budget.takeRetry();
        if (isInTime && isAllowed) {
            dispatch(attempt);
        } else {
            refuse(attempt, retryAfterMs);
        }
    }

    function refuse(attempt: Attempt, retryAfterMs: number): void {
        const { request, returns } = attempt;
        const maxReturns = request.isPatient ? MAX_RETURNS : (options.impatientTries ?? 0);
        if (returns >= maxReturns) {
            if (isCounted(request)) {
                getTallies(request).forEach(tally => tally.refused++);
            }
            return;
        }
        const pauseMs = request.isPatient ? retryAfterMs : IMPATIENT_PAUSE_MS;
        events.schedule(events.getNow() + pauseMs, () => sendToRouter(request, returns + 1, attempt.firstAt));
    }

    function createCandidate(endpoint: Endpoint, place: number, attempt: Attempt): Candidate & { place: number } {
        const { router, request } = attempt;
        return {
            place,
            host: endpoint.host,
            zone: "zone",
            load: Math.max(router.loads[place]?.[request.rank] ?? 0, router.inFlight[place] ?? 0),
            concurrency: options.concurrency,
            isAvoided: false,
            rampUpFactor: 1,
        };
    }

    function isCounted(request: SimulatedRequest): boolean {
        return isMeasured(request.at);
    }

    function isMeasured(at: number): boolean {
        return at >= options.warmUpMs && at < options.durationMs - options.coolDownMs;
    }

    function getTallies(request: SimulatedRequest): Tally[] {
        const team = result.teams.get(request.team) ?? createTally();
        result.teams.set(request.team, team);
        return [result.ranks[request.rank], team];
    }
}

function createResult(options: SimulationOptions): SimulationResult {
    const measuredMs = options.durationMs - options.warmUpMs - options.coolDownMs;
    return {
        policy: options.policy.name,
        ranks: mapRanks(createTally),
        teams: new Map(),
        firstToken: mapRanks(() => buildHistogram({ numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })),
        goodMs: mapRanks(() => 0),
        worth: 0,
        capacityMs: options.endpoints * options.concurrency * measuredMs,
        attempts: 0,
        arrivals: 0,
    };
}

function createTally(): Tally {
    return { offered: 0, onTime: 0, late: 0, refused: 0, goodMs: 0 };
}

function readLoads(endpoint: Endpoint): Record<WorkRank, number> {
    return mapRanks(rank => endpoint.queue.countAhead(rank));
}
