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
    /** Nothing was armed or held; the old map stays. */
    Abandoned = "abandoned",
    /** Something may be armed or held: the group must be settled before the next change. */
    Unsettled = "unsettled",
}

/** Result of a change. */
export interface ChangeResult {
    end: ChangeEnd;
    detail: string;
    /** Time until all ranks had copied their experts, and from there until the release, in milliseconds. */
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
    /** Pause between two looks at a rank, in milliseconds. */
    pollMs: number;
    /** Passes between the newest known one and the one at which the map changes. */
    leadPasses: number;
    /** Gives false once another coordinator may have taken over. */
    isLeader: () => boolean;
}

/**
 * Changes the map of a group whose engines check no fencing numbers and may carry out an order seconds late.
 *
 * The new map is armed at all ranks while one rank holds the group, and the hold is released only when every rank has
 * confirmed. Each order can be given again, since it names its version and pass: a copy that comes late finds the
 * pass begun or the state reached. A change that can't be finished is taken back under the hold, and each rank then
 * prepares a higher version, so that no late order can arm the old one. See docs/EXPERT-MAPS.md for the argument.
 */
export interface MapChanger {
    /**
     * Brings a new map into force at all ranks, or leaves the old one.
     * @param map - New map.
     * @param version - Version higher than all that the ranks have had.
     * @param reports - What the ranks said in the last look, all in one open group.
     */
    changeMap(map: ExpertMap, version: number, reports: readonly RankReport[]): Promise<ChangeResult>;
    /**
     * Ends what an earlier change left behind: nothing stays armed or held.
     * @param map - Map in use, which is prepared again so that no late order can arm another one.
     * @param version - Version higher than all that the ranks have had.
     */
    settleGroup(map: ExpertMap, version: number): Promise<SettleResult>;
}

/** Ranks that are sent a map at the same time: if all were, the link of a large group's coordinator would fill. */
const MAX_PREPARING = 36;
/** Most times that the lead is doubled because the pass to be held had begun. */
const MAX_DOUBLED_LEADS = 1;

/**
 * Computes how many passes after a settlement a change may be made: by then no late order of an earlier coordinator
 * can name a pass that is still to come.
 * @param leadPasses - Lead of a change.
 */
export function computeQuietPasses(leadPasses: number): number {
    return leadPasses * 2 ** MAX_DOUBLED_LEADS + 1;
}

/** Ends a change or settlement. */
class ChangeStopped extends Error {}

/** Any rank can hold the group; the first is as good as another. */
const HOLDING_RANK = 0;

/** Creates the changer of a group. */
export function createMapChanger(options: MapChangerOptions): MapChanger {
    const { links } = options;
    return { changeMap, settleGroup };

    /** Reads all ranks; undefined unless they all answer in one open group. */
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
        if (reports.some(isBound)) {
            return { end: ChangeEnd.Unsettled, detail: "an earlier change left something armed or held" };
        }
        const epoch = reports[0]?.epoch ?? 0;
        let isArming = false;
        try {
            const startedAt = readMonotonicMs();
            const preparedBy = startedAt + options.prepareMs;
            await orderAll({ kind: RankOrderKind.Prepare, version, map }, epoch, preparedBy);
            const prepared = await waitUntilPrepared(version, epoch, preparedBy);
            isArming = true;
            const preparedAt = readMonotonicMs();
            const switchedBy = preparedAt + options.switchMs;
            const step = await holdGroup(prepared, epoch, switchedBy);
            await orderAll({ kind: RankOrderKind.Arm, version, step }, epoch, switchedBy);
            await orderRank(HOLDING_RANK, { kind: RankOrderKind.Release, step }, epoch, switchedBy);
            return {
                end: ChangeEnd.Changed,
                detail: `from pass ${step}`,
                prepareMs: Math.round(preparedAt - startedAt),
                switchMs: Math.round(readMonotonicMs() - preparedAt),
            };
        } catch (error) {
            return { end: isArming ? ChangeEnd.Unsettled : ChangeEnd.Abandoned, detail: getReason(error) };
        }
    }

    async function waitUntilPrepared(version: number, epoch: number, until: number): Promise<RankReport[]> {
        for (;;) {
            await waitFor(options.pollMs);
            const reports = await readReports(epoch);
            if (reports?.every(report => report.preparedVersion === version) === true) {
                return reports;
            }
            if (reports?.some(isBound) === true) {
                throw new ChangeStopped("another coordinator arms or holds the group");
            }
            if (readMonotonicMs() > until || !options.isLeader()) {
                throw new ChangeStopped("not all ranks have copied their experts in time");
            }
        }
    }

    /** Holds the group before a pass that is close; a later pass is tried if that one has begun. */
    async function holdGroup(reports: readonly RankReport[], epoch: number, until: number): Promise<number> {
        let newest = Math.max(...reports.map(report => report.step));
        for (let doubled = 0; ; doubled++) {
            const step = newest + options.leadPasses * 2 ** doubled;
            const report = await orderRank(HOLDING_RANK, { kind: RankOrderKind.Hold, step }, epoch, until, doubled);
            if (report.heldStep === step) {
                return step;
            }
            newest = Math.max(newest, report.step);
        }
    }

    async function settleGroup(map: ExpertMap, version: number): Promise<SettleResult> {
        const reports = await readReports();
        if (reports === undefined) {
            return { isSettled: false, detail: "not all ranks answer in one open group" };
        }
        const epoch = reports[0]?.epoch ?? 0;
        // Only a group that may be held or about to switch is in a hurry.
        const until = readMonotonicMs() + (reports.some(isBound) ? options.switchMs : options.prepareMs);
        try {
            if (isArmedAlike(reports)) {
                // The change was confirmed by all, so its release may be on its way: nothing may be taken back.
                await releaseAll(reports, epoch, until);
                return { isSettled: false, detail: "a confirmed change is about to take effect" };
            }
            const isLoose = reports.some(isArmed) && !reports.some(isHeld);
            if (isLoose) {
                await holdGroup(reports, epoch, until);
            }
            await runLimited(links, MAX_PREPARING, (link, rank) => freeRank(rank, map, version, epoch, until));
            const held = await readReports(epoch);
            if (held === undefined || held.some(isArmed)) {
                return { isSettled: false, detail: "a rank is armed again or silent" };
            }
            await releaseAll(held, epoch, until);
            return { isSettled: true, detail: "" };
        } catch (error) {
            return { isSettled: false, detail: getReason(error) };
        }
    }

    /** Takes back what is armed at a rank, and makes it prepare a version that no late order names. */
    async function freeRank(
        rank: number,
        map: ExpertMap,
        version: number,
        epoch: number,
        until: number,
    ): Promise<void> {
        for (;;) {
            const report = await links[rank]?.readReport().catch(() => undefined);
            if (report?.epoch === epoch && report.armed !== undefined) {
                await orderRank(rank, { kind: RankOrderKind.Disarm, version: report.armed.version }, epoch, until);
            } else if (report?.epoch === epoch && report.preparedVersion === version) {
                return;
            } else if (report?.epoch === epoch) {
                await orderRank(rank, { kind: RankOrderKind.Prepare, version, map }, epoch, until);
            }
            if (readMonotonicMs() > until || !options.isLeader()) {
                throw new ChangeStopped(`rank ${rank} could not be freed in time`);
            }
        }
    }

    async function releaseAll(reports: readonly RankReport[], epoch: number, until: number): Promise<void> {
        for (const { rank, heldStep } of reports) {
            if (heldStep !== undefined) {
                await orderRank(rank, { kind: RankOrderKind.Release, step: heldStep }, epoch, until);
            }
        }
    }

    /** Waits for all orders, also when one fails, so that none is under way when the change ends. */
    async function orderAll(order: RankOrder, epoch: number, until: number): Promise<void> {
        const limit = order.kind === RankOrderKind.Prepare ? MAX_PREPARING : links.length;
        await runLimited(links, limit, (link, rank) => orderRank(rank, order, epoch, until));
    }

    /**
     * Gives an order, again and again without an answer, until the rank's own report shows its effect.
     * @param missable - A hold may come after its pass has begun; the report then shows that instead.
     */
    async function orderRank(
        rank: number,
        order: RankOrder,
        epoch: number,
        until: number,
        missable = MAX_DOUBLED_LEADS,
    ): Promise<RankReport> {
        const link = links[rank];
        if (link === undefined) {
            throw new ChangeStopped(`rank ${rank} is unknown`);
        }
        for (;;) {
            if (!options.isLeader()) {
                throw new ChangeStopped("another coordinator may have taken over");
            }
            const result = await link.sendOrder(order, { epoch });
            const { report } = result;
            if (report !== undefined && report.epoch !== epoch) {
                throw new ChangeStopped(`rank ${rank} has epoch ${report.epoch} in place of ${epoch}`);
            }
            if (report !== undefined && isDone(order, report, result)) {
                return report;
            }
            if (report !== undefined && isMissed(order, report) && missable < MAX_DOUBLED_LEADS) {
                return report;
            }
            if (result.answer === OrderAnswer.Refused || readMonotonicMs() > until) {
                throw new ChangeStopped(`rank ${rank} did not confirm to ${order.kind}: ${describeResult(result)}`);
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

function isBound(report: RankReport): boolean {
    return isArmed(report) || isHeld(report);
}

/** Tells whether each rank is armed for the same map and pass, or uses that map already while the others follow. */
function isArmedAlike(reports: readonly RankReport[]): boolean {
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

/** Tells from the rank's own report whether an order has taken effect. */
function isDone(order: RankOrder, report: RankReport, result: OrderResult): boolean {
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

/** Tells whether a hold comes too late, since its pass has begun. */
function isMissed(order: RankOrder, report: RankReport): boolean {
    return order.kind === RankOrderKind.Hold && report.step >= order.step;
}

function getReason(error: unknown): string {
    if (error instanceof ChangeStopped) {
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
