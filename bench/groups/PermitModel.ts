import {
    type Coordination,
    type FenceReport,
    CoordinationPhase,
    createCoordination,
    planGrant,
    planSwitch,
    recordFenced,
    recordGrant,
    recordStaged,
    recordSwitch,
    startStaging,
} from "../../src/groups/Coordination.js";
import {
    type MapSwitch,
    type RankPermit,
    applyGrant,
    createRankPermit,
    fencePermit,
    getMapVersion,
} from "../../src/groups/RankPermit.js";

import {
    type ModelCoordinator,
    type ModelMessage,
    type ModelRank,
    type ModelState,
    encodeMessage,
    encodeState,
} from "./ModelState.js";

/** Errors that can be planted, to show that the check finds them. */
export enum PlantedError {
    None = "none",
    /** A replaced rank starts without the epoch that the platform shows. */
    BlankEpoch = "blank-epoch",
    /** A switch takes effect one step too early. */
    EarlySwitch = "early-switch",
    /** A new coordinator grants before all ranks are fenced. */
    PartialFence = "partial-fence",
    /** A fenced rank does not report the steps that it has begun. */
    NoLastStep = "no-last-step",
    /** The switch is not kept in the platform before it is granted. */
    UnkeptSwitch = "unkept-switch",
}

/** Bounds of the exploration. */
export interface PermitModelOptions {
    ranks: number;
    coordinators: number;
    lastStep: number;
    lead: number;
    crashes: number;
    planted: PlantedError;
    maxStates: number;
}

/** Result of the exploration. */
export interface PermitModelResult {
    states: number;
    isComplete: boolean;
    /** First trace that leads to a step with two maps. */
    violation: string[] | undefined;
}

interface Transition {
    name: string;
    next: ModelState;
}

const FIRST_SCHEDULE: readonly MapSwitch[] = [{ afterStep: -1, version: 1 }];

/**
 * Explores every interleaving of a small group: messages are lost, late and repeated, ranks crash and are replaced,
 * coordinators pause for any time. The transition functions are the ones that ship.
 * @param options - Bounds.
 */
export function checkPermits(options: PermitModelOptions): PermitModelResult {
    const first = createFirstState(options);
    const seen = new Set<string>([encodeState(first)]);
    const open: { state: ModelState; trace: TraceNode | undefined }[] = [{ state: first, trace: undefined }];
    for (let place = 0; place < open.length; place++) {
        const { state, trace } = open[place] as (typeof open)[number];
        for (const { name, next: full } of listTransitions(state, options)) {
            const next = { ...full, messages: full.messages.filter(message => !isSpent(full, message, options)) };
            const node = { name, previous: trace };
            if (next.hasTwoMaps) {
                return { states: seen.size, isComplete: false, violation: readTrace(node) };
            }
            const code = encodeState(next);
            if (!seen.has(code)) {
                seen.add(code);
                open.push({ state: next, trace: node });
            }
        }
        if (seen.size > options.maxStates) {
            return { states: seen.size, isComplete: false, violation: undefined };
        }
    }
    return { states: seen.size, isComplete: true, violation: undefined };
}

interface TraceNode {
    name: string;
    previous: TraceNode | undefined;
}

function readTrace(last: TraceNode): string[] {
    const names: string[] = [];
    for (let node: TraceNode | undefined = last; node !== undefined; node = node.previous) {
        names.unshift(node.name);
    }
    return names;
}

function createFirstState(options: PermitModelOptions): ModelState {
    const rank = { permit: createRankPermit(0), life: 0, nextStep: 0 };
    const coordinator = { state: undefined, keptRevision: 0, lives: [], hasChanged: false };
    return {
        ranks: new Array<ModelRank>(options.ranks).fill(rank),
        coordinators: new Array<ModelCoordinator>(options.coordinators).fill(coordinator),
        messages: [],
        kept: { epoch: 0, revision: 0, schedule: FIRST_SCHEDULE },
        crashes: options.crashes,
        runs: {},
        hasTwoMaps: false,
    };
}

function listTransitions(state: ModelState, options: PermitModelOptions): Transition[] {
    const transitions: Transition[] = [];
    state.coordinators.forEach((coordinator, place) => {
        if (coordinator.state === undefined) {
            transitions.push(startCoordinator(state, place, options));
        } else {
            transitions.push(...listCoordinatorSteps(state, place, coordinator.state, options));
        }
    });
    state.messages.forEach(message => {
        const delivered = applyMessage(state, message, options);
        if (delivered !== undefined) {
            transitions.push(delivered);
        }
    });
    state.ranks.forEach((rank, place) => {
        const run = runStep(state, place, options);
        if (run !== undefined) {
            transitions.push(run);
        }
        if (state.crashes > 0) {
            transitions.push(restartRank(state, place, options));
        }
    });
    return transitions;
}

/** Wins the next epoch, writes it to the platform, and fences all ranks. */
function startCoordinator(state: ModelState, place: number, options: PermitModelOptions): Transition {
    const epoch = state.kept.epoch + 1;
    const kept = { ...state.kept, epoch, revision: state.kept.revision + 1 };
    const lives = state.ranks.map(rank => rank.life);
    const elected: ModelCoordinator = {
        state: createCoordination(epoch, options.ranks, kept.schedule),
        keptRevision: kept.revision,
        lives,
        hasChanged: false,
    };
    const fences = state.ranks.map((rank, index) => ({
        coordinator: place,
        rank: index,
        life: rank.life,
        fence: epoch,
    }));
    return {
        name: `elect c${place} epoch ${epoch}`,
        next: { ...replaceCoordinator(state, place, elected), kept, messages: addMessages(state.messages, fences) },
    };
}

function listCoordinatorSteps(
    state: ModelState,
    place: number,
    coordination: Coordination,
    options: PermitModelOptions,
): Transition[] {
    const transitions: Transition[] = [];
    const isPartial = options.planted === PlantedError.PartialFence && coordination.phase === CoordinationPhase.Fencing;
    const granting = isPartial ? { ...coordination, phase: CoordinationPhase.Steady } : coordination;
    const slowest = Math.min(...state.ranks.map(rank => rank.nextStep)) - 1;
    const grant = planGrant(granting, slowest, options.lead);
    if (grant !== undefined && grant.upToStep <= options.lastStep) {
        transitions.push(sendToAll(state, place, recordGrant(granting, grant), { grant }, `grant ${grant.upToStep}`));
    }
    const coordinator = state.coordinators[place] as ModelCoordinator;
    if (coordination.phase === CoordinationPhase.Steady && !coordinator.hasChanged) {
        const version = place + 2;
        const staging = startStaging(coordination, version);
        const started = sendToAll(state, place, staging, { stage: version }, `stage ${version}`);
        const changed = { ...(started.next.coordinators[place] as ModelCoordinator), hasChanged: true };
        transitions.push({ ...started, next: replaceCoordinator(started.next, place, changed) });
    }
    const schedule = planSwitch(coordination);
    if (schedule !== undefined) {
        transitions.push(...keepSwitch(state, place, coordination, schedule, options));
    }
    return transitions;
}

/** The compare-and-swap fails for a coordinator that is not the last one elected. */
function keepSwitch(
    state: ModelState,
    place: number,
    coordination: Coordination,
    schedule: readonly MapSwitch[],
    options: PermitModelOptions,
): Transition[] {
    const coordinator = state.coordinators[place] as ModelCoordinator;
    const isUnkept = options.planted === PlantedError.UnkeptSwitch;
    if (coordinator.keptRevision !== state.kept.revision && !isUnkept) {
        return [];
    }
    const early = schedule.map((entry, index) =>
        index === schedule.length - 1 ? { ...entry, afterStep: entry.afterStep - 1 } : entry,
    );
    const planned = options.planted === PlantedError.EarlySwitch ? early : schedule;
    const revision = state.kept.revision + (isUnkept ? 0 : 1);
    const kept = isUnkept ? state.kept : { ...state.kept, schedule: planned, revision };
    const switched = { ...coordinator, state: recordSwitch(coordination, planned), keptRevision: revision };
    return [{ name: `switch c${place}`, next: { ...replaceCoordinator(state, place, switched), kept } }];
}

function sendToAll(
    state: ModelState,
    place: number,
    coordination: Coordination,
    content: Pick<ModelMessage, "grant" | "stage">,
    name: string,
): Transition {
    const coordinator = { ...(state.coordinators[place] as ModelCoordinator), state: coordination };
    const messages = coordinator.lives.map((life, rank) => ({ coordinator: place, rank, life, ...content }));
    const next = { ...replaceCoordinator(state, place, coordinator), messages: addMessages(state.messages, messages) };
    return { name: `c${place} ${name}`, next };
}

/** A message stays after its delivery, since it may be repeated; that it is never delivered stands for its loss. */
function applyMessage(state: ModelState, message: ModelMessage, options: PermitModelOptions): Transition | undefined {
    const rank = state.ranks[message.rank] as ModelRank;
    const coordinator = state.coordinators[message.coordinator] as ModelCoordinator;
    const isForOldLife = message.life !== rank.life && options.planted !== PlantedError.BlankEpoch;
    if (isForOldLife || coordinator.state === undefined) {
        return undefined;
    }
    const name = `deliver to r${message.rank} ${JSON.stringify(message.fence ?? message.grant ?? message.stage)}`;
    if (message.stage !== undefined) {
        const staged = { ...coordinator, state: recordStaged(coordinator.state, message.rank, message.stage) };
        return { name, next: replaceCoordinator(state, message.coordinator, staged) };
    }
    if (message.grant !== undefined) {
        return {
            name,
            next: replaceRank(state, message.rank, { ...rank, permit: applyGrant(rank.permit, message.grant).permit }),
        };
    }
    const fenced = fencePermit(rank.permit, message.fence ?? 0);
    const next = replaceRank(state, message.rank, { ...rank, permit: fenced.permit });
    if (!fenced.isAccepted) {
        return { name, next };
    }
    const informed = {
        ...coordinator,
        state: recordFenced(coordinator.state, message.rank, createReport(fenced.permit, rank, options)),
    };
    return { name, next: replaceCoordinator(next, message.coordinator, informed) };
}

function createReport(permit: RankPermit, rank: ModelRank, options: PermitModelOptions): FenceReport {
    const isForgetful = options.planted === PlantedError.NoLastStep;
    return { permit, lastStep: isForgetful ? -2 : rank.nextStep - 1 };
}

/** A message that can never change anything again needs no further look; permits only grow. */
function isSpent(state: ModelState, message: ModelMessage, options: PermitModelOptions): boolean {
    const rank = state.ranks[message.rank] as ModelRank;
    const coordination = state.coordinators[message.coordinator]?.state;
    if (message.life !== rank.life) {
        return options.planted !== PlantedError.BlankEpoch;
    }
    if (message.stage !== undefined) {
        return coordination?.stagedVersion !== message.stage || coordination.stagedRanks.includes(message.rank);
    }
    if (options.planted === PlantedError.BlankEpoch) {
        return false;
    }
    if (message.grant !== undefined) {
        const isOld = message.grant.epoch < rank.permit.epoch;
        return isOld || (message.grant.epoch === rank.permit.epoch && message.grant.upToStep <= rank.permit.upToStep);
    }
    const epoch = message.fence ?? 0;
    const isKnown =
        coordination?.phase !== CoordinationPhase.Fencing || coordination.fenced[message.rank] !== undefined;
    return epoch < rank.permit.epoch || (epoch === rank.permit.epoch && isKnown);
}

function runStep(state: ModelState, place: number, options: PermitModelOptions): Transition | undefined {
    const rank = state.ranks[place] as ModelRank;
    const step = rank.nextStep;
    const version = getMapVersion(rank.permit, step);
    const isInLockStep = state.ranks.every(other => other.nextStep >= step);
    if (version === undefined || step > options.lastStep || !isInLockStep) {
        return undefined;
    }
    const known = state.runs[step];
    const next = replaceRank(state, place, { ...rank, nextStep: step + 1 });
    const runs = { ...state.runs, [step]: known ?? version };
    const hasTwoMaps = known !== undefined && known !== version;
    return { name: `r${place} runs ${step} on map ${version}`, next: { ...next, runs, hasTwoMaps } };
}

/** The new process joins where its group is, and refuses epochs before the one that the platform shows. */
function restartRank(state: ModelState, place: number, options: PermitModelOptions): Transition {
    const rank = state.ranks[place] as ModelRank;
    const epoch = options.planted === PlantedError.BlankEpoch ? 0 : state.kept.epoch;
    const replaced = { permit: createRankPermit(epoch), life: rank.life + 1, nextStep: rank.nextStep };
    return { name: `crash r${place}`, next: { ...replaceRank(state, place, replaced), crashes: state.crashes - 1 } };
}

function replaceRank(state: ModelState, place: number, rank: ModelRank): ModelState {
    return { ...state, ranks: state.ranks.map((known, index) => (index === place ? rank : known)) };
}

function replaceCoordinator(state: ModelState, place: number, coordinator: ModelCoordinator): ModelState {
    const coordinators = state.coordinators.map((known, index) => (index === place ? coordinator : known));
    return { ...state, coordinators };
}

function addMessages(known: readonly ModelMessage[], added: readonly ModelMessage[]): ModelMessage[] {
    const codes = new Set(known.map(encodeMessage));
    return [...known, ...added.filter(message => !codes.has(encodeMessage(message)))];
}
