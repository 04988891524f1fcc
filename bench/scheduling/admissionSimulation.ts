import {
    type AdmissionLevels,
    type RequestValuer,
    computeReturnDelay,
    computeSlotChance,
    isBehindTarget,
    createAdmissionLevels,
} from "../../src/scheduling/index.js";
import { computeHashFraction } from "../../src/utils/digest.js";
import { buildList } from "../../src/utils/list.js";
import { createEventQueue } from "./EventQueue.js";
import { createRandom } from "./Random.js";
import { AboveLevel, type AdmissionPolicy, type WaitingValue } from "./admissionPolicies.js";
import { KINDS, type PlayedRequest, TOKEN_MS, computeReadMs, computeSlotMs } from "./admissionWorkload.js";

/** Fleet and policy of a play. */
export interface AdmissionPlay {
    seed: number;
    requests: readonly PlayedRequest[];
    routers: number;
    engines: number;
    /** Requests that an engine processes at the same time. */
    slots: number;
    policy: AdmissionPolicy;
    /** Monotonic time from which routers hear nothing of each other, in milliseconds; Infinity for never. */
    silentFrom?: number;
}

/** How the play ended for a caller. */
export enum CallerEnd {
    InTime = "in time",
    Late = "late",
    Refused = "refused",
}

/** A request of the play and how it ended. */
export interface PlayedEnd {
    request: PlayedRequest;
    end: CallerEnd;
    /** It came back after a refusal. */
    hasReturned: boolean;
}

/** What a play saw besides the ends. */
export interface AdmissionPlayResult {
    ends: PlayedEnd[];
    /** Times at which requests of a kind were sent, with the kind and whether they had returned, in order. */
    refusedWhileIdle: number;
    highestLevel: number;
    engineWaitMs: number;
    sent: number;
}

interface Router {
    queue: Waiting[];
    own: number[];
    reported: number[];
    levels: AdmissionLevels;
    valuer: RequestValuer;
    isPolling: boolean;
    admissions: number;
    preference: number[];
}

interface Waiting {
    call: Call;
    value: WaitingValue;
    isDone: boolean;
}

interface Call {
    request: PlayedRequest;
    isReturned: boolean;
    firstAt: number | undefined;
    isSettled: boolean;
    engine: number | undefined;
    sentAt: number;
    router: Router;
}

interface Engine {
    running: Set<Call>;
    waiting: Call[];
}

const DEADLINE_MS = 8_000;
/** A caller leaves after a gap of this, or four times its target. */
const CALLER_GAP_MS = 2_000;
const GAP_TARGETS = 4;
const POLL_MS = 25;
const GOSSIP_MS = 150;
const PREFERENCE_WEIGHT = 0.4;
/** Load that an engine without a free slot counts as, so that it is chosen last. */
const FULL_WEIGHT = 10;
/** Time for which requests of every kind wait: the longest target less the time to the first event. */
const LATE_WAIT_MS = 740;
const MIN_DELAY_MS = 250;
const DELAY_SHARE = 0.3;
/** Time that an answer's first event needs besides reading the prompt, in milliseconds. */
const FIRST_EVENT_MS = 60;

/**
 * Plays requests against routers that share engines. Routers know each other's load and levels with the delay of the gossip.
 * @param play - Requests, fleet and policy.
 */
export function playAdmission(play: AdmissionPlay): AdmissionPlayResult {
    const { policy } = play;
    const random = createRandom(play.seed + 1);
    const queue = createEventQueue();
    const engines: Engine[] = buildList(play.engines, () => ({ running: new Set<Call>(), waiting: [] }));
    let totals = engines.map(() => 0);
    const routers = buildList(play.routers, createRouter);
    const result: AdmissionPlayResult = { ends: [], refusedWhileIdle: 0, highestLevel: 0, engineWaitMs: 0, sent: 0 };
    play.requests.forEach(request =>
        queue.schedule(request.arrivesAt, () => handleArrival(request, false, request.arrivesAt + DEADLINE_MS)),
    );
    queue.schedule(0, spreadNews);
    queue.runUntil((play.requests.at(-1)?.arrivesAt ?? 0) + DEADLINE_MS);
    return result;

    function createRouter(index: number): Router {
        return {
            queue: [],
            own: engines.map(() => 0),
            reported: engines.map(() => 0),
            levels: createAdmissionLevels(),
            valuer: policy.createValuer(() => random.draw()),
            isPolling: false,
            admissions: 0,
            preference: engines.map((unused, engine) => computeHashFraction(`${index}/${engine}`)),
        };
    }

    function spreadNews(): void {
        const now = queue.getNow();
        queue.schedule(now + GOSSIP_MS, spreadNews);
        if (now >= (play.silentFrom ?? Number.POSITIVE_INFINITY)) {
            totals = engines.map(() => 0);
            routers.forEach(router => (router.reported = engines.map(() => 0)));
            return;
        }
        totals = engines.map((unused, engine) => routers.reduce((sum, router) => sum + (router.own[engine] ?? 0), 0));
        routers.forEach(router => (router.reported = [...router.own]));
        if (policy.isShared) {
            const reports = routers.map(router => router.levels.listReports(false, now));
            routers.forEach((router, own) =>
                reports.forEach((report, other) => {
                    if (other !== own) {
                        router.levels.setReports(`${other}`, false, report, now);
                    }
                }),
            );
        }
    }

    function getLoad(router: Router, engine: number): number {
        return (totals[engine] ?? 0) - (router.reported[engine] ?? 0) + (router.own[engine] ?? 0);
    }

    function handleArrival(request: PlayedRequest, isReturned: boolean, deadlineAt: number): void {
        const now = queue.getNow();
        const router = routers[Math.floor(random.draw() * routers.length)] as Router;
        const call: Call = {
            request,
            isReturned,
            firstAt: undefined,
            isSettled: false,
            engine: undefined,
            sentAt: 0,
            router,
        };
        const { targetMs } = KINDS[request.kind] as (typeof KINDS)[number];
        const workMs = computeSlotMs(request.promptTokens, request.announcedTokens);
        const value: WaitingValue = {
            ...router.valuer.computeValue({ urgency: request.kind, workMs, isReturned }),
            urgency: request.kind,
            isReturned,
            workMs,
            queuedAt: now,
            startBy: now + targetMs - FIRST_EVENT_MS - computeReadMs(request.promptTokens),
            draw: random.draw(),
        };
        queue.schedule(now + Math.max(CALLER_GAP_MS, GAP_TARGETS * targetMs), () => abandonCall(call));
        queue.schedule(deadlineAt, () => settleCall(call, CallerEnd.Refused));
        const level = updateLevel(router);
        const hasRoom = router.queue.length === 0 && random.draw() < computeChance(router);
        if (!policy.isHolding || hasRoom) {
            sendCall(call);
            return;
        }
        const waiting: Waiting = { call, value, isDone: false };
        if (policy.aboveLevel === AboveLevel.Refused && isAbove(level, value)) {
            refuseCall(waiting, deadlineAt);
            return;
        }
        router.queue.push(waiting);
        const lastStart = policy.waitsForLate ? now + LATE_WAIT_MS : value.startBy;
        queue.schedule(Math.max(now, lastStart), () => refuseCall(waiting, deadlineAt));
        startPolling(router);
    }

    function updateLevel(router: Router): number {
        const state = { waiting: countTimely(router), maxWaitMs: 400 };
        const level = router.levels.updateLevel("llm", state, queue.getNow());
        result.highestLevel = Math.max(result.highestLevel, level);
        return level;
    }

    function isAbove(level: number, value: WaitingValue): boolean {
        return policy.aboveLevel !== AboveLevel.Ignored && policy.getPosition(value) > 1 - level;
    }

    /** Counts the waiting requests that can still be in time. */
    function countTimely(router: Router): number {
        return router.queue.filter(({ value }) => !isBehindTarget(value, queue.getNow())).length;
    }

    function startPolling(router: Router): void {
        if (!router.isPolling) {
            router.isPolling = true;
            queue.schedule(queue.getNow() + POLL_MS, () => pollQueue(router));
        }
    }

    function pollQueue(router: Router): void {
        updateLevel(router);
        const chance = computeChance(router);
        let turns = router.queue.filter(() => random.draw() < chance).length;
        for (; turns > 0; turns--) {
            admitNext(router);
        }
        router.isPolling = false;
        if (router.queue.length > 0) {
            startPolling(router);
        }
    }

    function admitNext(router: Router, index?: number): void {
        if (router.queue.length === 0 || countFreeSlots(router) === 0) {
            return;
        }
        router.admissions++;
        const isOldestNext = policy.admissionsPerOldest > 0 && router.admissions % policy.admissionsPerOldest === 0;
        const oldest = router.queue[0] as Waiting;
        const chosen = isOldestNext
            ? oldest.value
            : policy.chooseNext(
                  router.queue.map(({ value }) => value),
                  queue.getNow(),
              );
        const next = router.queue.find(({ value }) => value === chosen) ?? oldest;
        removeWaiting(next);
        sendCall(next.call, index);
    }

    function removeWaiting(waiting: Waiting): void {
        waiting.isDone = true;
        const { router } = waiting.call;
        router.queue = router.queue.filter(other => other !== waiting);
    }

    /** Computes the chance with which one attempt may use a free slot. */
    function computeChance(router: Router): number {
        const free = countFreeSlots(router);
        if (!policy.drawsSlots) {
            return Math.min(1, free);
        }
        const demand = router.levels.sumDemand("llm", queue.getNow());
        return computeSlotChance({ free, ...demand, spreadMs: GOSSIP_MS, pollMs: POLL_MS });
    }

    function countFreeSlots(router: Router): number {
        return engines.reduce((sum, unused, engine) => sum + Math.max(0, play.slots - getLoad(router, engine)), 0);
    }

    function refuseCall(waiting: Waiting, deadlineAt: number): void {
        if (waiting.isDone || waiting.call.isSettled) {
            return;
        }
        removeWaiting(waiting);
        const { call } = waiting;
        const now = queue.getNow();
        const used = engines.reduce((sum, { running }) => sum + running.size, 0);
        if (used < (engines.length * play.slots) / 2) {
            result.refusedWhileIdle++;
        }
        if (call.isReturned) {
            settleCall(call, CallerEnd.Refused);
            return;
        }
        call.isSettled = true;
        const delayMs = policy.spreadsReturns
            ? (computeReturnDelay(deadlineAt - now, random.draw()) ?? Number.POSITIVE_INFINITY)
            : Math.max(MIN_DELAY_MS, (deadlineAt - now) * DELAY_SHARE);
        queue.schedule(now + delayMs, () => handleArrival(call.request, true, deadlineAt));
    }

    function sendCall(call: Call, freed?: number): void {
        const { router } = call;
        const best = freed ?? chooseEngine(router);
        call.engine = best;
        call.sentAt = queue.getNow();
        router.own[best] = (router.own[best] ?? 0) + 1;
        router.levels.recordAdmission("llm", queue.getNow());
        (engines[best] as Engine).waiting.push(call);
        startNext(best);
    }

    function chooseEngine(router: Router): number {
        let best = 0;
        let bestScore = Number.POSITIVE_INFINITY;
        for (const engine of engines.keys()) {
            const load = getLoad(router, engine);
            const full = policy.drawsSlots && load >= play.slots ? FULL_WEIGHT : 0;
            const score = full + (load + 1) / play.slots + PREFERENCE_WEIGHT * (router.preference[engine] ?? 0);
            if (score < bestScore) {
                best = engine;
                bestScore = score;
            }
        }
        return best;
    }

    function startNext(index: number): void {
        const engine = engines[index] as Engine;
        while (engine.running.size < play.slots) {
            const call = engine.waiting.shift();
            if (call === undefined) {
                return;
            }
            engine.running.add(call);
            const startedAt = queue.getNow();
            result.engineWaitMs += startedAt - call.sentAt;
            result.sent++;
            const { promptTokens, answerTokens } = call.request;
            const firstAt = startedAt + computeReadMs(promptTokens) + FIRST_EVENT_MS;
            queue.schedule(firstAt, () => (call.firstAt = call.isSettled ? undefined : firstAt));
            const endsAt = firstAt + (answerTokens - 1) * TOKEN_MS;
            queue.schedule(endsAt, () => completeCall(call));
        }
    }

    function completeCall(call: Call): void {
        const { request, firstAt } = call;
        const isInTime = firstAt !== undefined && firstAt - request.arrivesAt <= (KINDS[request.kind]?.targetMs ?? 0);
        settleCall(call, isInTime ? CallerEnd.InTime : CallerEnd.Late);
    }

    function abandonCall(call: Call): void {
        if (call.firstAt === undefined) {
            settleCall(call, CallerEnd.Refused);
        }
    }

    function settleCall(call: Call, end: CallerEnd): void {
        if (call.isSettled) {
            return;
        }
        call.isSettled = true;
        const { router, engine: index } = call;
        router.queue.filter(waiting => waiting.call === call).forEach(removeWaiting);
        result.ends.push({ request: call.request, end, hasReturned: call.isReturned });
        if (index === undefined) {
            return;
        }
        router.own[index] = (router.own[index] ?? 0) - 1;
        const engine = engines[index] as Engine;
        engine.running.delete(call);
        engine.waiting = engine.waiting.filter(other => other !== call);
        startNext(index);
        if (!policy.drawsSlots || getLoad(router, index) < play.slots) {
            admitNext(router, policy.drawsSlots ? index : undefined);
        }
    }
}
