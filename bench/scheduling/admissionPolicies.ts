import {
    type QueuedValue,
    type RequestValuer,
    chooseNextRequest,
    createRequestValuer,
} from "../../src/scheduling/index.js";
import { KINDS } from "./admissionWorkload.js";

/** A request that waits at a router of the play. */
export interface WaitingValue extends QueuedValue {
    workMs: number;
    queuedAt: number;
    /** Random number from 0 to 1. */
    draw: number;
}

/** How a request above the admission level is treated. */
export enum AboveLevel {
    /** It is refused at once. */
    Refused = "refused",
    /** The policy has no level. */
    Ignored = "ignored",
}

/** How the routers of a play admit. */
export interface AdmissionPolicy {
    name: string;
    /** Whether requests wait at the router while no engine has a free slot; otherwise they queue in the engines. */
    isHolding: boolean;
    /** Whether a free slot is used by a chance that all routers share. */
    drawsSlots: boolean;
    /** One in this many admissions goes to the oldest request; 0 for none. */
    admissionsPerOldest: number;
    /** Whether requests wait beyond their target. */
    waitsForLate: boolean;
    /** Whether the delays of refusals are spread. */
    spreadsReturns: boolean;
    /** Chooses which of the waiting requests goes next; they are listed by age. */
    chooseNext: (waiting: readonly WaitingValue[], now: number) => WaitingValue | undefined;
    /** Gets the position of a request that the level is compared with. */
    getPosition: (value: WaitingValue) => number;
    aboveLevel: AboveLevel;
    /** Whether routers tell each other of their levels. */
    isShared: boolean;
    createValuer: (drawRandom: () => number) => RequestValuer;
}

const WAITING: Omit<AdmissionPolicy, "name" | "chooseNext"> = {
    isHolding: true,
    drawsSlots: true,
    admissionsPerOldest: 0,
    waitsForLate: false,
    spreadsReturns: false,
    getPosition: ({ position }) => position,
    aboveLevel: AboveLevel.Ignored,
    isShared: true,
    createValuer: createRequestValuer,
};

type Order = (left: WaitingValue, right: WaitingValue) => number;

const byAge: Order = (left, right) => left.queuedAt - right.queuedAt;
const byUrgency: Order = (left, right) => left.urgency - right.urgency || byAge(left, right);
const bySlack: Order = (left, right) => left.startBy - right.startBy;
const byWorthForWork: Order = (left, right) => computeWorthForWork(right) - computeWorthForWork(left);
/** The worth of a request is not told; each step of urgency counts as a factor of two. */
const computeWorthForWork = ({ urgency, workMs }: WaitingValue): number => 2 ** -urgency / Math.max(1, workMs);

/** Creates the choice of the first in an order. */
function createChoice(order: Order): AdmissionPolicy["chooseNext"] {
    return waiting => [...waiting].sort(order)[0];
}

/** The decisions that ship. */
export const BY_COST: AdmissionPolicy = {
    ...WAITING,
    name: "auburnpass",
    chooseNext: chooseNextRequest,
    waitsForLate: true,
    spreadsReturns: true,
    aboveLevel: AboveLevel.Refused,
};

/** Policies that are compared. */
export const ADMISSION_POLICIES: readonly AdmissionPolicy[] = [
    { ...WAITING, name: "none (queue in the engines)", isHolding: false, chooseNext: createChoice(byAge) },
    {
        ...WAITING,
        name: "urgency, one in five by age",
        drawsSlots: false,
        admissionsPerOldest: 5,
        chooseNext: createChoice(byUrgency),
    },
    { ...WAITING, name: "slack", chooseNext: createChoice(bySlack) },
    {
        ...WAITING,
        name: "worth for work",
        chooseNext: createChoice(byWorthForWork),
    },
    { ...WAITING, name: "strict priority", chooseNext: createChoice(byUrgency) },
    {
        ...WAITING,
        name: "levels by kind",
        chooseNext: createChoice(byUrgency),
        getPosition: ({ urgency, draw }) => (urgency + draw) / KINDS.length,
        aboveLevel: AboveLevel.Refused,
    },
    BY_COST,
    { ...BY_COST, name: "auburnpass, levels not shared", isShared: false },
];
