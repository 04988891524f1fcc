import type { Coordination } from "../../src/groups/Coordination.js";
import type { MapSwitch, PermitGrant, RankPermit } from "../../src/groups/RankPermit.js";

/** A rank of the model. */
export interface ModelRank {
    permit: RankPermit;
    life: number;
    nextStep: number;
}

/** A coordinator of the model; undefined state before its election. */
export interface ModelCoordinator {
    state: Coordination | undefined;
    /** Revision of the kept schedule that this coordinator has written. */
    keptRevision: number;
    lives: number[];
    hasChanged: boolean;
}

/** A message on its way, addressed to one life of a rank. */
export interface ModelMessage {
    coordinator: number;
    rank: number;
    life: number;
    fence?: number;
    grant?: PermitGrant;
    stage?: number;
}

/** A state of the whole group. */
export interface ModelState {
    ranks: ModelRank[];
    coordinators: ModelCoordinator[];
    messages: ModelMessage[];
    kept: { epoch: number; revision: number; schedule: readonly MapSwitch[] };
    crashes: number;
    /** Map of each step that any rank has run. */
    runs: Record<number, number>;
    hasTwoMaps: boolean;
}

/**
 * Encodes a state, so that equal states are explored once.
 * @param state - State of the group.
 */
export function encodeState(state: ModelState): string {
    const messages = state.messages.map(encodeMessage).sort().join();
    const ranks = state.ranks.map(rank => `${encodePermit(rank.permit)}:${rank.life}:${rank.nextStep}`).join();
    const coordinators = state.coordinators.map(encodeCoordinator).join();
    const kept = `${state.kept.epoch}:${state.kept.revision}:${encodeSchedule(state.kept.schedule)}`;
    return `${ranks}|${coordinators}|${messages}|${kept}|${state.crashes}|${Object.values(state.runs).join()}`;
}

function encodePermit(permit: RankPermit): string {
    return `${permit.epoch}.${permit.upToStep}.${encodeSchedule(permit.schedule)}`;
}

function encodeSchedule(schedule: readonly MapSwitch[]): string {
    return schedule.map(entry => `${entry.afterStep}>${entry.version}`).join("+");
}

/**
 * Encodes a message.
 * @param message - Message.
 */
export function encodeMessage(message: ModelMessage): string {
    const { grant } = message;
    const content = grant === undefined ? "" : `${grant.epoch}.${grant.upToStep}.${encodeSchedule(grant.schedule)}`;
    return `${message.coordinator}:${message.rank}:${message.life}:${message.fence}:${message.stage}:${content}`;
}

function encodeCoordinator(coordinator: ModelCoordinator): string {
    const { state } = coordinator;
    if (state === undefined) {
        return "-";
    }
    const fenced = state.fenced.map(report => (report === undefined ? "-" : encodePermit(report.permit))).join("/");
    const staging = `${state.stagedVersion}:${[...state.stagedRanks].sort().join("/")}`;
    const own = `${state.phase}:${state.epoch}:${state.grantedStep}:${encodeSchedule(state.schedule)}`;
    return `${own}:${fenced}:${staging}:${coordinator.keptRevision}:${coordinator.lives.join("/")}:${coordinator.hasChanged}`;
}
