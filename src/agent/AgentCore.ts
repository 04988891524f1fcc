import http from "node:http";
import { WorkRank, mapRanks } from "../config/index.js";
import { Cause, Outcome } from "../protocol/index.js";
import type { RejectedWork, WorkItem, WorkQueue } from "../scheduling/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import { createId } from "../utils/digest.js";
import { readMonotonicMs } from "../utils/time.js";
import { type AttemptLedger, type AttemptRecord, AttemptState } from "./AttemptLedger.js";
import {
    type EndpointRequest,
    type EndpointRun,
    type EndpointRunEnd,
    RunResult,
    startEndpointRun,
} from "./EndpointRun.js";

/** A request as the agent gets it from a router. */
export interface AttemptRequest {
    id: string;
    team: string;
    weight: number;
    rank: WorkRank;
    /** Time left until the first byte is due, in milliseconds. */
    budgetMs: number;
    isIdempotent: boolean;
    keyDigest: string;
    /** The attempt runs apart from all others. */
    isIsolated: boolean;
    cost: number;
    /** Incarnation of the agent that the router means. */
    incarnation: string;
    endpoint: EndpointRequest;
}

/** A refusal of the agent; the attempt was not run and will not be. */
export interface AgentRefusal {
    outcome: Outcome;
    cause: Cause;
    detail: string;
    retryAfterMs: number;
}

/** Follows an attempt that was accepted. */
export interface AttemptFollower {
    onAccepted(record: AttemptRecord): void;
    onRefused(refusal: AgentRefusal): void;
}

/** Facts that the agent reports of itself. */
export interface AgentLoad {
    queued: number;
    running: number;
    isDraining: boolean;
    /** Requests that run or go before a new request of each rank. */
    ahead: Record<WorkRank, number>;
    /** Predicted wait of a new urgent request, in milliseconds. */
    waitMs: number;
}

/** Options of the agent's core. */
export interface AgentCoreOptions {
    endpointUrl: string;
    concurrency: number;
    stallMs: number;
    ledger: AttemptLedger;
    queue: WorkQueue;
    /** Called when the endpoint died under an attempt. */
    onEndpointDead: () => void;
    logger: Logger;
}

/** Work of an agent: the last queue before the endpoint, the ledger, and the runs. */
export interface AgentCore {
    /** Identifies this life of the process. */
    readonly incarnation: string;
    acceptAttempt(request: AttemptRequest, follower: AttemptFollower): void;
    /** Cancels an idempotent attempt that nobody follows any more. */
    releaseAttempt(id: string): void;
    settleState(id: string): AttemptState;
    barKey(keyDigest: string, barMs: number): boolean;
    getAttempt(id: string): AttemptRecord | undefined;
    getLoad(): AgentLoad;
    startDraining(): void;
    /** Tells whether no attempt waits or runs. */
    isIdle(): boolean;
    listFinished(): AttemptRecord[];
    /** Creation time up to which attempts may have been forgotten, in milliseconds. */
    getForgottenUpTo(): number;
    stop(): void;
}

interface PendingAttempt {
    request: AttemptRequest;
    record: AttemptRecord;
    follower: AttemptFollower;
    item: WorkItem;
    acceptedAt: number;
    run: EndpointRun | undefined;
}

const HOUSEKEEPING_MS = 100;
const DRAIN_RETRY_MS = 1_000;
const LONGEST_BUDGET_MS = 3_600_000;

/**
 * Creates the core of an agent.
 * @param options - Endpoint, ledger and queue.
 */
export function createAgentCore(options: AgentCoreOptions): AgentCore {
    const { ledger, queue, logger } = options;
    const incarnation = createId("inc");
    const pending = new Map<string, PendingAttempt>();
    const reusing = new http.Agent({ keepAlive: true, maxSockets: options.concurrency * 2 });
    const single = new http.Agent({ keepAlive: false });
    const isolated: string[] = [];
    let isolatedRun: string | undefined;
    let isDraining = false;
    const housekeeping = setInterval(keepHouse, HOUSEKEEPING_MS);

    return {
        incarnation,
        acceptAttempt,
        releaseAttempt,
        settleState,
        barKey: (keyDigest, barMs) => ledger.barKey(keyDigest, readMonotonicMs(), barMs),
        getAttempt: id => ledger.getAttempt(id),
        getLoad,
        startDraining() {
            isDraining = true;
        },
        isIdle: () => pending.size === 0,
        listFinished: () => ledger.listFinished(),
        getForgottenUpTo: () => ledger.getForgottenUpTo(),
        stop() {
            clearInterval(housekeeping);
            reusing.destroy();
            single.destroy();
        },
    };

    function acceptAttempt(request: AttemptRequest, follower: AttemptFollower): void {
        const now = readMonotonicMs();
        const refusal = findRefusal(request);
        if (refusal !== undefined) {
            ledger.tombstoneAttempt(request.id, now);
            follower.onRefused(refusal);
            return;
        }
        const record = ledger.openAttempt(request, now);
        if (record === undefined) {
            follower.onRefused(createRefusal(Cause.AttemptBarred, "the attempt or its key is taken or barred", 0));
            return;
        }
        const item = createWorkItem(request, now);
        pending.set(request.id, { request, record, follower, item, acceptedAt: now, run: undefined });
        if (request.isIsolated) {
            isolated.push(request.id);
        } else {
            rejectAll(queue.offerWork(item, now).rejected);
        }
        startNext();
    }

    function findRefusal(request: AttemptRequest): AgentRefusal | undefined {
        if (ledger.getAttempt(request.id) !== undefined) {
            return undefined;
        }
        if (isDraining) {
            return createRefusal(Cause.EndpointDraining, "the endpoint is leaving", DRAIN_RETRY_MS);
        }
        if (request.incarnation !== "" && request.incarnation !== incarnation) {
            return createRefusal(Cause.EndpointLost, "the agent was replaced", 0);
        }
        return undefined;
    }

    /** An isolated attempt waits until nothing runs, and nothing starts beside it. */
    function startNext(): void {
        if (isolatedRun !== undefined) {
            return;
        }
        if (isolated.length > 0) {
            startIsolated();
            return;
        }
        while (queue.countRunning() < options.concurrency) {
            const answer = queue.takeWork(readMonotonicMs());
            rejectAll(answer.rejected);
            if (answer.item === undefined) {
                return;
            }
            const attempt = pending.get(answer.item.id);
            if (attempt === undefined) {
                queue.completeWork({ item: answer.item, cost: answer.item.cost, durationMs: 0, firstByteMs: 0 });
                continue;
            }
            startRun(attempt);
        }
    }

    function startIsolated(): void {
        const attempt = queue.countRunning() === 0 ? pending.get(isolated.shift() ?? "") : undefined;
        if (attempt !== undefined) {
            isolatedRun = attempt.request.id;
            startRun(attempt);
        }
    }

    function startRun(attempt: PendingAttempt): void {
        const startedAt = readMonotonicMs();
        let firstByteAt = startedAt;
        attempt.record.state = AttemptState.Running;
        attempt.record.queueMs = startedAt - attempt.acceptedAt;
        attempt.run = startEndpointRun({
            endpointUrl: options.endpointUrl,
            agent: attempt.request.isIdempotent ? reusing : single,
            request: attempt.request.endpoint,
            answer: attempt.record.answer,
            stallMs: options.stallMs,
            onFirstByte() {
                firstByteAt = readMonotonicMs();
            },
        });
        attempt.follower.onAccepted(attempt.record);
        void attempt.run.result.then(end => {
            const durationMs = readMonotonicMs() - startedAt;
            releaseSlot(attempt, end, durationMs, firstByteAt - startedAt);
            finishRun(attempt, end);
            startNext();
        });
    }

    function releaseSlot(attempt: PendingAttempt, end: EndpointRunEnd, durationMs: number, firstByteMs: number): void {
        if (isolatedRun === attempt.request.id) {
            isolatedRun = undefined;
            return;
        }
        const { item } = attempt;
        const cost = end.result === RunResult.Whole ? estimateRealCost(attempt) : item.cost;
        queue.completeWork({ item, cost, durationMs, firstByteMs });
    }

    function finishRun(attempt: PendingAttempt, end: EndpointRunEnd): void {
        pending.delete(attempt.request.id);
        if (end.result === RunResult.NeverSent) {
            ledger.tombstoneAttempt(attempt.request.id, readMonotonicMs());
        } else {
            ledger.finishAttempt(attempt.request.id, readMonotonicMs());
        }
        attempt.record.isEndpointDead = end.isEndpointDead === true;
        if (end.isEndpointDead === true) {
            options.onEndpointDead();
        }
        if (end.fault !== undefined) {
            logger.logEvent(EventId.EndpointFailed, { attempt: attempt.request.id, fault: end.fault });
        }
    }

    /** The cost of a stream is the number of its tokens, which is close to its events. */
    function estimateRealCost(attempt: PendingAttempt): number {
        const BYTES_PER_EVENT = 120;
        const bytes = attempt.record.answer.getLength();
        return Math.max(1, Math.min(attempt.item.cost * 4, bytes / BYTES_PER_EVENT));
    }

    function rejectAll(rejected: RejectedWork[]): void {
        for (const { item, cause, retryAfterMs } of rejected) {
            const attempt = pending.get(item.id);
            if (attempt !== undefined) {
                pending.delete(item.id);
                ledger.tombstoneAttempt(item.id, readMonotonicMs());
                attempt.follower.onRefused(createRefusal(cause, "the target can't be met any more", retryAfterMs));
            }
        }
    }

    function releaseAttempt(id: string): void {
        const attempt = pending.get(id);
        if (attempt === undefined || !attempt.request.isIdempotent || attempt.record.answer.countReaders() > 0) {
            return;
        }
        if (attempt.run !== undefined) {
            attempt.run.cancel();
            return;
        }
        const place = isolated.indexOf(id);
        if (place !== -1) {
            isolated.splice(place, 1);
        }
        if (place !== -1 || queue.removeWork(id)) {
            pending.delete(id);
            ledger.tombstoneAttempt(id, readMonotonicMs());
        }
    }

    function settleState(id: string): AttemptState {
        const state = ledger.settleState(id, readMonotonicMs());
        if (state === AttemptState.NeverSeen) {
            logger.logEvent(EventId.AgentTombstoned, { attempt: id });
        }
        return state;
    }

    function getLoad(): AgentLoad {
        const ahead = mapRanks(rank => queue.countAhead(rank) + isolated.length);
        const waitMs = queue.predictWait(WorkRank.Urgent);
        return {
            queued: queue.countWaiting() + isolated.length,
            running: queue.countRunning(),
            isDraining,
            ahead,
            waitMs,
        };
    }

    function keepHouse(): void {
        const now = readMonotonicMs();
        rejectAll(queue.rejectLateWork(now));
        ledger.forgetExpired(now);
    }
}

function createWorkItem(request: AttemptRequest, now: number): WorkItem {
    return {
        id: request.id,
        rank: request.rank,
        team: request.team,
        weight: request.weight,
        cost: request.cost,
        deadline: now + Math.min(request.budgetMs, LONGEST_BUDGET_MS),
    };
}

function createRefusal(cause: Cause, detail: string, retryAfterMs: number): AgentRefusal {
    return { outcome: Outcome.NotRun, cause, detail, retryAfterMs };
}
