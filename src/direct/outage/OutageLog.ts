import type { OutageAction, OutageChange } from "../../scheduling/index.js";
import { EventId, type Logger } from "../../telemetry/index.js";

/** Logs outages, and counts what became of the requests during each. */
export interface OutageLog {
    logChange(change: OutageChange): void;
    /** Counts a request that is decided about on its arrival. */
    countDecision(service: string, action: OutageAction | undefined, isFull: boolean): void;
    /** Counts the end of a wait; the action is undefined if the caller left. */
    countEnd(service: string, action: OutageAction | undefined): void;
    /** Logs what became of the requests, once none waits any more after an outage. */
    logReturn(service: string): void;
}

interface OutageTally {
    probes: number;
    sentAfterWait: number;
    refusedWithDelay: number;
    refusedForGood: number;
    left: number;
    hasEnded: boolean;
    wasFull: boolean;
}

/**
 * Creates a log.
 * @param logger - Log of the process.
 * @param hearsOthers - Tells whether another router was heard from lately.
 * @param countWaiting - Counts the waiting requests of a service.
 */
export function createOutageLog(
    logger: Logger,
    hearsOthers: () => boolean,
    countWaiting: (service: string) => number,
): OutageLog {
    const tallies = new Map<string, OutageTally>();
    return { logChange, countDecision, countEnd, logReturn };

    function logChange({ service, source, isOut, lastedMs, isSuspected, hasLapsed }: OutageChange): void {
        const waiting = countWaiting(service);
        const facts = { service, source, lastedMs: Math.round(lastedMs), waiting, isSuspected };
        if (!isOut) {
            logger.logEvent(hasLapsed ? EventId.OutageLapsed : EventId.OutageEnded, facts);
            getTally(service).hasEnded = true;
            return;
        }
        tallies.delete(service);
        logger.logEvent(EventId.OutageBegan, facts);
        if (!hearsOthers()) {
            logger.logEvent(EventId.OutageNewsMissing, { service });
        }
    }

    function countDecision(service: string, action: OutageAction | undefined, isFull: boolean): void {
        const tally = tallies.get(service);
        if (tally === undefined && action?.isSent === true && !action.isProbe) {
            return;
        }
        countAction(getTally(service), action);
        if (isFull && !getTally(service).wasFull) {
            getTally(service).wasFull = true;
            logger.logEvent(EventId.OutageQueueFull, { service, waiting: countWaiting(service) });
        }
    }

    function countEnd(service: string, action: OutageAction | undefined): void {
        const tally = getTally(service);
        countAction(tally, action);
        tally.left += action === undefined ? 1 : 0;
        tally.sentAfterWait += action?.isSent === true && !action.isProbe ? 1 : 0;
    }

    function countAction(tally: OutageTally, action: OutageAction | undefined): void {
        if (action?.isSent === true) {
            tally.probes += action.isProbe ? 1 : 0;
        } else if (action !== undefined) {
            tally.refusedWithDelay += action.delayMs === undefined ? 0 : 1;
            tally.refusedForGood += action.delayMs === undefined ? 1 : 0;
        }
    }

    function logReturn(service: string): void {
        const tally = tallies.get(service);
        if (tally?.hasEnded !== true || countWaiting(service) > 0) {
            return;
        }
        tallies.delete(service);
        const { probes, sentAfterWait, refusedWithDelay, refusedForGood, left } = tally;
        const facts = { probes, sentAfterWait, refusedWithDelay, refusedForGood, left };
        logger.logEvent(EventId.OutageRequestsReturned, { service, ...facts });
    }

    function getTally(service: string): OutageTally {
        let tally = tallies.get(service);
        if (tally === undefined) {
            tally = {
                probes: 0,
                sentAfterWait: 0,
                refusedWithDelay: 0,
                refusedForGood: 0,
                left: 0,
                hasEnded: false,
                wasFull: false,
            };
            tallies.set(service, tally);
        }
        return tally;
    }
}
