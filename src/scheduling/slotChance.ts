/** What a router knows of the demand for the free slots of a service, all routers together. */
export interface SlotDemand {
    /** Free slots as far as known. */
    free: number;
    /** Requests that wait. */
    waiting: number;
    /** Requests per second that are sent. */
    perSecond: number;
    /** Time until the routers know what each other do, in milliseconds. */
    spreadMs: number;
    /** Interval at which each waiting request tries again, in milliseconds. */
    pollMs: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Computes the chance with which one attempt may use a free slot: the free slots over the attempts of all routers within the
 * time that news takes to reach them. Without it, all routers send to the same slots at the same time, and the requests queue
 * in the engines in the order of arrival.
 * @param demand - Free slots and demand.
 */
export function computeSlotChance({ free, waiting, perSecond, spreadMs, pollMs }: SlotDemand): number {
    const attempts = waiting * Math.max(1, spreadMs / pollMs) + (perSecond * spreadMs) / MS_PER_SECOND;
    return free <= 0 ? 0 : Math.min(1, free / Math.max(1, attempts));
}
