import { match } from "ts-pattern";
import { runLimited } from "../../utils/runLimited.js";
import { readMonotonicMs, waitFor } from "../../utils/time.js";
import type { RankLink } from "./RankLink.js";
import {
    type ExpertMap,
    OrderAnswer,
    type OrderResult,
    type RankOrder,
    RankOrderKind,
    type RankReport,
} from "./RankReport.js";

/** How a change of the map ended. */
export enum ChangeEnd {
    /** All ranks use the new map from the same pass on. */
    Changed = "changed",
    /** Nothing was armed or held; the old map stays in use. */
    Abandoned = "abandoned",
    /** A rank may still be armed or held: the group must be settled before the next change. */
    Unsettled = "unsettled",
}

/** Result of a change. */
export interface ChangeResult {
    end: ChangeEnd;
    detail: string;
    /** Time until all ranks had copied their experts, and from then until the release, in milliseconds. */
    prepareMs?: number;
    switchMs?: number;
}

/** Result of a settlement. */
export interface SettleResult {
    isSettled: boolean;
    detail: string;
}

/** Options of the changes of one group's map. */
export interface MapChangerOptions {
    /** Links by rank. */
    links: readonly RankLink[];
    /** Time allowed for the copies, in milliseconds. */
    prepareMs: number;
    /** Time allowed for arming and releasing, while the group may wait, in milliseconds. */
    switchMs: number;
    /** Interval between two polls of a rank, in milliseconds. */
    pollMs: number;
    /** Number of passes between the newest known one and the one at which the map changes. */
    leadPasses: number;
    /** Number of ranks that are sent a map at the same time. */
    maxConcurrentMaps: number;
    /** Returns false once another coordinator may have taken over. */
    isLeader: () => boolean;
}

/**
 * Changes the map of a group whose engines check no fencing tokens and may execute an order seconds late.
 *
 * The new map is armed at all ranks while one rank holds the group at a barrier, and the hold is released only when
 * every rank has confirmed. Orders are idempotent, since each names its version and pass: a delayed duplicate finds the
 * pass begun or the state reached. A change that cannot be completed is rolled back under the hold, and each rank then
 * prepares a higher version, so that no delayed order can arm the old one. See docs/EXPERT-MAPS.md for the argument.
 */
export interface MapChanger {
    /**
     * Switches all ranks to a new map in the same pass, or leaves the old map in use.
     * @param map - New map.
     * @param version - Version higher than any that the ranks have seen.
     * @param reports - Latest reports of all ranks, all of the same epoch of an open group.
     */
    changeMap(map: ExpertMap, version: number, reports: readonly RankReport[]): Promise<ChangeResult>;
    /**
     * Rolls back what an earlier change left behind, so that no rank stays armed or held.
     * @param map - Map in use, which is prepared again so that no delayed order can arm another one.
     * @param version - Version higher than any that the ranks have seen.
     */
    settleGroup(map: ExpertMap, version: number): Promise<SettleResult>;
}

/** Maximum number of times that the lead is doubled because the pass to be held has already begun. */
const MAX_LEAD_DOUBLINGS = 1;

/**
 * Computes how many passes must follow a settlement before the next change: after these, no delayed order of an earlier
 * coordinator can name a future pass.
 * @param leadPasses - Lead of a change.
 */
export function computeCooldownPasses(leadPasses: number): number {
    return leadPasses * 2 ** MAX_LEAD_DOUBLINGS + 1;
}

/** Aborts a change or settlement. */
class ChangeAbortedError extends Error {}

/** Rank that holds the group; any rank can. */
const HOLDING_RANK = 0;

/** Creates the changer of a group. */
export function createMapChanger(options: MapChangerOptions): MapChanger {
    const { links } = options;
    return { changeMap, settleGroup };

    /** Reads the reports of all ranks; undefined unless all answer with the same epoch of an open group. */
    async function readReports(epoch?: number): Promise<RankReport[] | undefined> {
        const reports = await Promise.all(links.map(link => link.readReport().catch(() => undefined)));
        const known = reports.filter(report => report !== undefined);
        const expected = epoch ?? known[0]?.epoch;
        const isWhole =
            known.length === links.length &&
            known.every((report, rank) => report.isOpen && report.epoch === expected && report.rank === rank);
        return isWhole ? known : undefined;
    }

    async function changeMap(map: ExpertMap, version: number, reports: readonly RankReport[]): Promise<ChangeResult> {
        if (reports.some(isArmedOrHeld)) {
            return { end: ChangeEnd.Unsettled, detail: "a rank is still armed or held from an earlier change" };
        }
        const epoch = reports[0]?.epoch ?? 0;
        let isArming = false;
        try {
            const startedAt = readMonotonicMs();
            const prepareDeadline = startedAt + options.prepareMs;
            await sendOrderToAll({ kind: RankOrderKind.Prepare, version, map }, epoch, prepareDeadline);
            const prepared = await waitUntilPrepared(version, epoch, prepareDeadline);
            isArming = true;
            const preparedAt = readMonotonicMs();
            const switchDeadline = preparedAt + options.switchMs;
            const step = await holdGroup(prepared, epoch, switchDeadline);
            await sendOrderToAll({ kind: RankOrderKind.Arm, version, step }, epoch, switchDeadline);
            await sendUntilApplied(HOLDING_RANK, { kind: RankOrderKind.Release, step }, epoch, switchDeadline);
            return {
                end: ChangeEnd.Changed,
                detail: `from pass ${step}`,
                prepareMs: Math.round(preparedAt - startedAt),
                switchMs: Math.round(readMonotonicMs() - preparedAt),
            };
        } catch (error) {
            return { end: isArming ? ChangeEnd.Unsettled : ChangeEnd.Abandoned, detail: getAbortReason(error) };
        }
    }

    async function waitUntilPrepared(version: number, epoch: number, deadline: number): Promise<RankReport[]> {
        for (;;) {
            await waitFor(options.pollMs);
            const reports = await readReports(epoch);
            if (reports?.every(report => report.preparedVersion === version) === true) {
                return reports;
            }
            if (reports?.some(isArmedOrHeld) === true) {
                throw new ChangeAbortedError("another coordinator has armed or held the group");
            }
            if (readMonotonicMs() > deadline || !options.isLeader()) {
                throw new ChangeAbortedError("not all ranks copied their experts before the deadline");
            }
        }
    }

    /** Holds the group before an upcoming pass; tries a later pass if that one has already begun. */
    async function holdGroup(reports: readonly RankReport[], epoch: number, deadline: number): Promise<number> {
        let newest = Math.max(...reports.map(report => report.step));
        for (let leadDoublings = 0; ; leadDoublings++) {
            const step = newest + options.leadPasses * 2 ** leadDoublings;
            const report = await sendUntilApplied(
                HOLDING_RANK,
                { kind: RankOrderKind.Hold, step },
                epoch,
                deadline,
                leadDoublings,
            );
            if (report.heldStep === step) {
                return step;
            }
            newest = Math.max(newest, report.step);
        }
    }

    async function settleGroup(map: ExpertMap, version: number): Promise<SettleResult> {
        const reports = await readReports();
        if (reports === undefined) {
            return { isSettled: false, detail: "not all ranks answered with the same epoch of an open group" };
        }
        const epoch = reports[0]?.epoch ?? 0;
        // A group that may be held or about to switch gets the shorter deadline, since its requests may be waiting.
        const deadline = readMonotonicMs() + (reports.some(isArmedOrHeld) ? options.switchMs : options.prepareMs);
        try {
            if (isArmedConsistently(reports)) {
                // All ranks have confirmed the change, so its release may be in flight: it must not be rolled back.
                await releaseAll(reports, epoch, deadline);
                return { isSettled: false, detail: "a confirmed change is about to take effect" };
            }
            const isArmedWithoutHold = reports.some(isArmed) && !reports.some(isHeld);
            if (isArmedWithoutHold) {
                await holdGroup(reports, epoch, deadline);
            }
            await runLimited(links, options.maxConcurrentMaps, (link, rank) =>
                disarmRank(rank, map, version, epoch, deadline),
            );
            const held = await readReports(epoch);
            if (held === undefined || held.some(isArmed)) {
                return { isSettled: false, detail: "a rank is armed again or did not answer" };
            }
            await releaseAll(held, epoch, deadline);
            return { isSettled: true, detail: "" };
        } catch (error) {
            return { isSettled: false, detail: getAbortReason(error) };
        }
    }

    /** Disarms a rank, and makes it prepare a version that no delayed order names. */
    async function disarmRank(
        rank: number,
        map: ExpertMap,
        version: number,
        epoch: number,
        deadline: number,
    ): Promise<void> {
        for (;;) {
            const report = await links[rank]?.readReport().catch(() => undefined);
            if (report?.epoch === epoch && report.armed !== undefined) {
                await sendUntilApplied(
                    rank,
                    { kind: RankOrderKind.Disarm, version: report.armed.version },
                    epoch,
                    deadline,
                );
            } else if (report?.epoch === epoch && report.preparedVersion === version) {
                return;
            } else if (report?.epoch === epoch) {
                await sendUntilApplied(rank, { kind: RankOrderKind.Prepare, version, map }, epoch, deadline);
            }
            if (readMonotonicMs() > deadline || !options.isLeader()) {
                throw new ChangeAbortedError(`rank ${rank} could not be disarmed before the deadline`);
            }
        }
    }

    async function releaseAll(reports: readonly RankReport[], epoch: number, deadline: number): Promise<void> {
        for (const { rank, heldStep } of reports) {
            if (heldStep !== undefined) {
                await sendUntilApplied(rank, { kind: RankOrderKind.Release, step: heldStep }, epoch, deadline);
            }
        }
    }

    /** Waits for all orders, even when one fails, so that none is in flight when the change ends. */
    async function sendOrderToAll(order: RankOrder, epoch: number, deadline: number): Promise<void> {
        const limit = order.kind === RankOrderKind.Prepare ? options.maxConcurrentMaps : links.length;
        await runLimited(links, limit, (link, rank) => sendUntilApplied(rank, order, epoch, deadline));
    }

    /**
     * Sends an order, and retries while there is no answer, until the rank's own report shows its effect.
     * @param leadDoublings - Doublings of the lead so far: below the maximum, a hold that arrives after its pass has begun returns
     * the report instead of failing.
     */
    async function sendUntilApplied(
        rank: number,
        order: RankOrder,
        epoch: number,
        deadline: number,
        leadDoublings = MAX_LEAD_DOUBLINGS,
    ): Promise<RankReport> {
        const link = links[rank];
        if (link === undefined) {
            throw new ChangeAbortedError(`rank ${rank} is unknown`);
        }
        for (;;) {
            if (!options.isLeader()) {
                throw new ChangeAbortedError("another coordinator may have taken over");
            }
            const result = await link.sendOrder(order, { epoch });
            const { report } = result;
            if (report !== undefined && report.epoch !== epoch) {
                throw new ChangeAbortedError(`rank ${rank} has epoch ${report.epoch} instead of ${epoch}`);
            }
            if (report !== undefined && hasTakenEffect(order, report, result)) {
                return report;
            }
            if (report !== undefined && isHoldTooLate(order, report) && leadDoublings < MAX_LEAD_DOUBLINGS) {
                return report;
            }
            if (result.answer === OrderAnswer.Refused || readMonotonicMs() > deadline) {
                throw new ChangeAbortedError(
                    `rank ${rank} did not confirm the ${order.kind} order: ${describeResult(result)}`,
                );
            }
            await waitFor(options.pollMs);
        }
    }
}

function isArmed(report: RankReport): boolean {
    return report.armed !== undefined;
}

function isHeld(report: RankReport): boolean {
    return report.heldStep !== undefined;
}

function isArmedOrHeld(report: RankReport): boolean {
    return isArmed(report) || isHeld(report);
}

/** Returns whether each rank is armed for the same map and pass, or already uses that map. */
function isArmedConsistently(reports: readonly RankReport[]): boolean {
    const armed = reports.find(isArmed)?.armed;
    return (
        armed !== undefined &&
        reports.every(report =>
            report.armed === undefined
                ? report.mapVersion === armed.version
                : report.armed.version === armed.version && report.armed.step === armed.step,
        )
    );
}

/**
 * Tells whether a group is about to switch to a map that every rank has confirmed, at a pass that nothing holds.
 * @param reports - Reports of all ranks.
 */
export function isAboutToSwitch(reports: readonly RankReport[]): boolean {
    return isArmedConsistently(reports) && !reports.some(isHeld);
}

/** Returns whether an order has taken effect according to the rank's own report. */
function hasTakenEffect(order: RankOrder, report: RankReport, result: OrderResult): boolean {
    return match(order)
        .with(
            { kind: RankOrderKind.Prepare },
            ({ version }) => report.preparedVersion === version || result.answer === OrderAnswer.Accepted,
        )
        .with(
            { kind: RankOrderKind.Arm },
            ({ version, step }) => report.armed?.version === version && report.armed.step === step,
        )
        .with({ kind: RankOrderKind.Disarm }, ({ version }) => report.armed?.version !== version)
        .with({ kind: RankOrderKind.Hold }, ({ step }) => report.heldStep === step)
        .with({ kind: RankOrderKind.Release }, ({ step }) => report.heldStep !== step)
        .exhaustive();
}

/** Returns whether a hold arrived after its pass had begun. */
function isHoldTooLate(order: RankOrder, report: RankReport): boolean {
    return order.kind === RankOrderKind.Hold && report.step >= order.step;
}

function getAbortReason(error: unknown): string {
    if (error instanceof ChangeAbortedError) {
        return error.message;
    }
    throw error;
}

function describeResult(result: OrderResult): string {
    const { report } = result;
    const state =
        report &&
        `pass ${report.step}, prepared ${report.preparedVersion}, armed ${JSON.stringify(report.armed)}, held ${report.heldStep}`;
    return `${result.answer}, ${result.detail}, ${state ?? "no report"}`;
}
