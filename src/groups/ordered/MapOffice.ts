import type { KeyValueService } from "../../platform/index.js";
import { startFreezeWatch } from "../../utils/FreezeWatch.js";
import { readMonotonicMs } from "../../utils/time.js";
import { type Leadership, createLeadership } from "./Leadership.js";
import type { RankReport } from "./RankReport.js";

/** Decides whether this agent coordinates the map of its group. */
export interface MapOffice {
    /**
     * Notes a coordinator's call.
     * @returns False if a coordinator of a higher term was heard before.
     */
    acceptTerm(term: number): boolean;
    /** Tells whether the office is held, or the coordinator has been silent for so long that it should be sought. */
    isOwnTurn(): boolean;
    /**
     * Keeps the office or tries to win it.
     * @param report - Newest report of the own rank.
     * @returns Term of the office; undefined if another agent holds it.
     */
    holdOffice(report: RankReport): Promise<number | undefined>;
    /** Gets the term of the office while it is held. */
    getTerm(): number | undefined;
    /** Tells whether the office is held and the process hasn't stood still since it was last confirmed. */
    isInOffice(): boolean;
    leaveOffice(): void;
    stop(): void;
}

/** Options of the office. */
export interface MapOfficeOptions {
    service: KeyValueService;
    /** Name of this host. */
    holder: string;
    /** Called when the office is lost. */
    onLost: (term: number) => void;
}

/** Time to live of the office's lease, in milliseconds: above the store's least one, and a few renewals long. */
const LEASE_MS = 1_500;
/** Silence of the coordinator after which the first rank tries to take over; the next ones wait longer, in milliseconds. */
const SILENCE_MS = 800;
const SILENCE_PER_RANK_MS = 250;
/** Standstill after which a coordinator asks for its office again; well below the lease, in milliseconds. */
const FROZEN_MS = 1_000;

/**
 * Creates the office as seen by one agent.
 * @param options - Store and name.
 */
export function createMapOffice(options: MapOfficeOptions): MapOffice {
    const freeze = startFreezeWatch(FROZEN_MS);
    let leadership: Leadership | undefined;
    let heardAt = readMonotonicMs();
    let highestTerm = 0;
    let rank = 0;
    return {
        acceptTerm,
        isOwnTurn,
        holdOffice,
        getTerm: () => leadership?.getTerm(),
        isInOffice: () => leadership?.getTerm() !== undefined && !freeze.hasStoodStill(),
        leaveOffice,
        stop: () => freeze.stop(),
    };

    function acceptTerm(term: number): boolean {
        if (term < highestTerm) {
            return false;
        }
        highestTerm = term;
        heardAt = readMonotonicMs();
        return true;
    }

    function isOwnTurn(): boolean {
        if (freeze.hasStoodStill()) {
            // Another agent may have won the office meanwhile.
            leaveOffice();
            freeze.reset();
        }
        return leadership?.getTerm() !== undefined || isCoordinatorSilent();
    }

    function isCoordinatorSilent(): boolean {
        return readMonotonicMs() - heardAt > SILENCE_MS + SILENCE_PER_RANK_MS * rank;
    }

    async function holdOffice(report: RankReport): Promise<number | undefined> {
        rank = report.rank;
        leadership ??= createLeadership({
            service: options.service,
            key: `auburnpass/maps/${report.group}`,
            holder: options.holder,
            ttlMs: LEASE_MS,
        });
        if (leadership.getTerm() === undefined) {
            // Whatever comes of this try, the next one waits as long as after a coordinator's word.
            heardAt = readMonotonicMs();
        }
        try {
            return await leadership.holdOffice();
        } catch (error) {
            // While the store is away, nobody can win the office, and the coordinator goes on.
            if (leadership.getTerm() === undefined) {
                throw error;
            }
            return leadership.getTerm();
        }
    }

    function leaveOffice(): void {
        const term = leadership?.getTerm();
        if (term !== undefined) {
            leadership?.leaveOffice();
            options.onLost(term);
        }
    }
}
