/** Bounds the work for bodies in each turn of the event loop, so that other requests are handled in between. */
export interface WorkPacer {
    /**
     * Takes the work for a chunk from this turn's budget.
     * @returns False if the budget is spent; the reader pauses and calls `waitForTurn`.
     */
    takeWork(bytes: number): boolean;
    /** Calls a function in a later turn, after those that wait already. */
    waitForTurn(resume: () => void): void;
}

/**
 * Work for one turn, in units. A unit is the work for a chunk, about a microsecond; a turn of some milliseconds doesn't
 * delay other requests noticeably.
 */
const UNITS_PER_TURN = 2_048;
/** Bytes that are as much work as a chunk. */
const BYTES_PER_UNIT = 4_096;

/** Creates a pacer that has its whole budget. */
export function createWorkPacer(): WorkPacer {
    let units = UNITS_PER_TURN;
    let isTurnScheduled = false;
    const waiting: (() => void)[] = [];
    return {
        takeWork(bytes) {
            units -= 1 + bytes / BYTES_PER_UNIT;
            scheduleTurn();
            return units > 0;
        },
        waitForTurn(resume) {
            waiting.push(resume);
            scheduleTurn();
        },
    };

    function scheduleTurn(): void {
        if (!isTurnScheduled) {
            isTurnScheduled = true;
            setImmediate(beginTurn);
        }
    }

    function beginTurn(): void {
        isTurnScheduled = false;
        units = UNITS_PER_TURN;
        const count = waiting.length;
        for (let index = 0; index < count && units > 0; index++) {
            waiting.shift()?.();
        }
        if (waiting.length > 0) {
            scheduleTurn();
        }
    }
}
