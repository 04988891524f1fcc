import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { buildList } from "../../src/utils/list.js";
import { waitFor } from "../../src/utils/time.js";
import type { CheckerCounts } from "./Checker.js";
import { endLastingFault, injectFault } from "./cells.js";
import type { Matrix } from "./Matrix.js";
import { FAULTS, Fault } from "./Step.js";

/** Options of a run under random faults. */
export interface RoundsOptions {
    bookings: number;
    seed: number;
}

/** Report of a run under random faults. */
export interface RoundsReport {
    bookings: number;
    answered: number;
    runs: number;
    faults: Record<string, number>;
    counts: CheckerCounts;
    violations: string[];
}

const WORKERS = 24;
const FAULT_PAUSE_MS = 1_500;
const FAULT_MS = 900;
const STREAM_SHARE = 10;
const STREAM_TOKENS = 30;
const LEFT_OUT: readonly Fault[] = [Fault.CrashingRequest, Fault.LeaseLapse, Fault.Duplicated, Fault.Crossed];

/**
 * Runs bookings and streams while random faults come, one or two at a time.
 * @param matrix - Fleet under test.
 * @param options - Number of bookings and seed.
 */
export async function runRounds(matrix: Matrix, options: RoundsOptions): Promise<RoundsReport> {
    const random = xoroshiro128plus(options.seed);
    const faults: Record<string, number> = {};
    let started = 0;
    let answered = 0;
    let isOver = false;
    const injecting = injectFaults();
    await Promise.all(buildList(WORKERS, runWorker));
    isOver = true;
    await injecting;
    await matrix.repair();
    matrix.checker.checkRuns(matrix.keys);
    const { counts, violations } = matrix.checker;
    const runs = matrix.recorder.getTotal();
    return { bookings: started, answered, runs, faults, counts, violations };

    async function runWorker(worker: number): Promise<void> {
        while (started < options.bookings) {
            started++;
            const report = await matrix.book({ firstRouter: worker + started });
            answered += report.isAnswered ? 1 : 0;
            const router = matrix.routers[started % matrix.routers.length];
            if (started % STREAM_SHARE === 0 && router !== undefined) {
                await matrix.stream(router, STREAM_TOKENS);
            }
        }
    }

    async function injectFaults(): Promise<void> {
        while (!isOver) {
            await waitFor(FAULT_PAUSE_MS);
            const chosen = buildList(uniformInt(random, 1, 2), drawFault);
            for (const fault of chosen) {
                faults[fault] = (faults[fault] ?? 0) + 1;
                await injectFault(matrix, fault);
            }
            await waitFor(FAULT_MS);
            for (const fault of chosen) {
                await endLastingFault(matrix, fault);
            }
            await matrix.repair();
        }
    }

    function drawFault(): Fault {
        const candidates = FAULTS.filter(fault => !LEFT_OUT.includes(fault));
        return candidates[uniformInt(random, 0, candidates.length - 1)] as Fault;
    }
}
