import { match } from "ts-pattern";
import { createId } from "../../src/utils/digest.js";
import { buildList } from "../../src/utils/list.js";
import { waitFor } from "../../src/utils/time.js";
import { sendChat } from "../caller.js";
import { type Matrix, fillQueues } from "./Matrix.js";
import { Fault, Step } from "./Step.js";

/** Result of a cell. */
export enum CellState {
    Proved = "proved",
    NotApplicable = "not applicable",
    Failed = "failed",
}

/** A cell of the matrix after its run. */
export interface CellResult {
    fault: Fault;
    step: Step;
    state: CellState;
    note: string;
}

const FAULT_MS = 1_200;
const STEP_DELAY_MS = 250;
const RUN_MS = 400;
const STREAM_TOKENS = 60;
const SETTLE_MS = 50;
const CRASH_LIMIT = 2;

/** Steps that a fault can't reach, with the reason. */
const REASONS: Partial<Record<Fault, Partial<Record<Step, string>> & { every?: string }>> = {
    [Fault.LeaseLapse]: {
        every: "no step of a request holds a lease: claims rest on compare-and-swap alone (docs/AT-MOST-ONCE.md)",
    },
    [Fault.KillAgent]: { [Step.Claim]: "the agent takes no part in the claim; covered by dispatch" },
    [Fault.Crossed]: {
        [Step.Arrive]: "no answer exists before the run",
        [Step.Claim]: "no answer exists before the run",
        [Step.Select]: "no answer exists before the run",
        [Step.Dispatch]: "no answer exists before the run",
        [Step.Queue]: "no answer exists before the run",
    },
    [Fault.CrashingRequest]: {
        [Step.Arrive]: "the request crashes what runs it; it does so at the run",
        [Step.Claim]: "urgent work needs no claim",
        [Step.Select]: "the request crashes what runs it; it does so at the run",
        [Step.Dispatch]: "the request crashes what runs it; it does so at the run",
        [Step.Queue]: "the request crashes what runs it; it does so at the run",
        [Step.Settle]: "the endpoint is gone before the answer",
    },
    [Fault.PlatformDown]: {
        [Step.Stream]: "streams are idempotent and do not use the platform; run with the streams of arrive",
    },
};

/**
 * Runs one cell: brings the fault about at the step, and checks every invariant.
 * @param matrix - Fleet under test.
 * @param fault - Fault.
 * @param step - Step.
 */
export async function runCell(matrix: Matrix, fault: Fault, step: Step): Promise<CellResult> {
    const reason = REASONS[fault]?.[step] ?? REASONS[fault]?.every;
    if (reason !== undefined) {
        return { fault, step, state: CellState.NotApplicable, note: reason };
    }
    const before = matrix.checker.violations.length;
    const note = fault === Fault.CrashingRequest ? await runCrash(matrix, step) : await runFault(matrix, fault, step);
    await matrix.repair();
    matrix.checker.checkRuns(matrix.keys);
    const violations = matrix.checker.violations.slice(before);
    return violations.length === 0
        ? { fault, step, state: CellState.Proved, note }
        : { fault, step, state: CellState.Failed, note: violations.join("; ") };
}

async function runFault(matrix: Matrix, fault: Fault, step: Step): Promise<string> {
    const router = matrix.routers[0];
    const blockers = await prepareStep(matrix, step);
    const copies = fault === Fault.Duplicated ? 2 : 1;
    const key = createId("key");
    const isEarly = step === Step.Arrive;
    const isInjectedFirst = isEarly || fault === Fault.Crossed || fault === Fault.LostAnswer;
    if (isInjectedFirst) {
        await injectFault(matrix, fault);
    }
    const bookings = buildList(copies, copy => matrix.book({ key, firstRouter: copy, hasCopies: copies > 1 }));
    const streams = router === undefined ? [] : [matrix.stream(router, STREAM_TOKENS)];
    await waitFor(computeInjectionDelay(step));
    if (!isInjectedFirst) {
        await injectFault(matrix, fault);
    }
    const endFault = waitFor(FAULT_MS).then(() => endAll(matrix, fault));
    const reports = await Promise.all(bookings);
    await Promise.all([...streams, blockers, endFault]);
    const answered = reports.filter(report => report.isAnswered).length;
    return `${answered} of ${copies} answered after ${Math.max(...reports.map(report => report.tries))} tries`;
}

/** Ends the fault, and the delays that made the step last. */
async function endAll(matrix: Matrix, fault: Fault): Promise<void> {
    await endLastingFault(matrix, fault);
    matrix.fleet.endpoints.forEach(endpoint => {
        if (endpoint.link !== undefined) {
            endpoint.link.faults.delayMs = 0;
        }
    });
    await matrix.fleet.setFaults(matrix.fleet.platformUrl, { delayMs: 0 });
}

/** Makes the step last long enough for a fault to fall into it. */
async function prepareStep(matrix: Matrix, step: Step): Promise<unknown> {
    const { fleet, services } = matrix;
    await match(step)
        .with(Step.Claim, () => fleet.setFaults(fleet.platformUrl, { delayMs: STEP_DELAY_MS }))
        .with(Step.Select, Step.Dispatch, Step.Settle, () => {
            fleet.endpoints.forEach(endpoint => {
                if (endpoint.link !== undefined) {
                    endpoint.link.faults.delayMs = STEP_DELAY_MS;
                }
            });
        })
        .with(Step.Queue, Step.Run, async () => {
            await Promise.all(services.map(service => fleet.setFaults(service.endpointUrl, { delayMs: RUN_MS })));
        })
        .otherwise(() => undefined);
    if (step !== Step.Queue) {
        return undefined;
    }
    const blockers = fillQueues(matrix);
    await waitFor(RUN_MS / 2);
    return { blockers };
}

function computeInjectionDelay(step: Step): number {
    return match(step)
        .with(Step.Arrive, () => 0)
        .with(Step.Claim, () => STEP_DELAY_MS / 2)
        .with(Step.Select, () => SETTLE_MS / 5)
        .with(Step.Dispatch, () => STEP_DELAY_MS / 2)
        .with(Step.Queue, () => SETTLE_MS)
        .with(Step.Run, () => RUN_MS / 2)
        .with(Step.Stream, () => RUN_MS)
        .with(Step.Settle, () => STEP_DELAY_MS + SETTLE_MS * 2)
        .exhaustive();
}

/**
 * Brings a fault about.
 * @param matrix - Fleet under test.
 * @param fault - Fault.
 */
export async function injectFault(matrix: Matrix, fault: Fault): Promise<void> {
    const { fleet, routers, services, engines } = matrix;
    const [router] = routers;
    const [service] = services;
    const [engine] = engines;
    const endpoints = [service, engine].filter(endpoint => endpoint !== undefined);
    await match(fault)
        .with(Fault.KillRouter, () => router?.process.signal("SIGKILL"))
        .with(Fault.KillAgent, () => endpoints.forEach(endpoint => endpoint.agent.signal("SIGKILL")))
        .with(Fault.KillEndpoint, () => endpoints.forEach(endpoint => endpoint.endpoint.signal("SIGKILL")))
        .with(Fault.FreezeRouter, () => router?.process.signal("SIGSTOP"))
        .with(Fault.FreezeAgent, () => endpoints.forEach(endpoint => endpoint.agent.signal("SIGSTOP")))
        .with(Fault.Cut, () => endpoints.forEach(endpoint => endpoint.link?.cut()))
        .with(Fault.SilentConnection, () => fleet.endpoints.forEach(endpoint => endpoint.link?.silenceOpen()))
        .with(Fault.PlatformDown, () => fleet.setFaults(fleet.platformUrl, { isDown: true }))
        .with(Fault.PlatformSlow, () => fleet.setFaults(fleet.platformUrl, { delayMs: 700 }))
        .with(Fault.LostAnswer, () => fleet.setFaults(fleet.platformUrl, { lostAnswers: 2 }))
        .with(Fault.Late, () => {
            fleet.endpoints.forEach(endpoint => {
                if (endpoint.link !== undefined) {
                    endpoint.link.faults.delayMs = 600;
                }
            });
        })
        .with(Fault.Crossed, async () => {
            await Promise.all(engines.map(endpoint => fleet.setFaults(endpoint.endpointUrl, { isCrossed: true })));
        })
        .with(Fault.StaleHostList, async () => {
            await fleet.setFaults(fleet.platformUrl, { isHostListFrozen: true });
            service?.agent.signal("SIGKILL");
        })
        .with(Fault.StopRouter, () => router?.process.signal("SIGTERM"))
        .with(Fault.StopAgent, () => endpoints.forEach(endpoint => endpoint.agent.signal("SIGTERM")))
        .with(Fault.Duplicated, Fault.LeaseLapse, Fault.CrashingRequest, () => undefined)
        .exhaustive();
}

/**
 * Ends a fault that lasts.
 * @param matrix - Fleet under test.
 * @param fault - Fault.
 */
export async function endLastingFault(matrix: Matrix, fault: Fault): Promise<void> {
    const { fleet } = matrix;
    await match(fault)
        .with(Fault.FreezeRouter, () => matrix.routers[0]?.process.signal("SIGCONT"))
        .with(Fault.FreezeAgent, () => fleet.endpoints.forEach(endpoint => endpoint.agent.signal("SIGCONT")))
        .with(Fault.Cut, Fault.Late, () => fleet.endpoints.forEach(endpoint => endpoint.link?.restore()))
        .with(Fault.PlatformDown, Fault.PlatformSlow, () =>
            fleet.setFaults(fleet.platformUrl, { isDown: false, delayMs: 0 }),
        )
        .with(Fault.StopRouter, () => {
            matrix.routers[0]?.process.signal("SIGCONT");
            return matrix.routers[0]?.process.waitForExit();
        })
        .with(Fault.StopAgent, async () => {
            const stopped = [matrix.services[0], matrix.engines[0]];
            stopped.forEach(endpoint => endpoint?.agent.signal("SIGCONT"));
            await Promise.all(stopped.map(endpoint => endpoint?.agent.waitForExit()));
        })
        .otherwise(() => undefined);
}

/** A request crashes each engine that runs it, and its caller sends it again at every router. */
async function runCrash(matrix: Matrix, step: Step): Promise<string> {
    const { fleet, engines, routers } = matrix;
    const text = createId("crash");
    await Promise.all(engines.map(engine => fleet.setFaults(engine.endpointUrl, { crashText: text })));
    const companions = routers.map(router => matrix.stream(router, STREAM_TOKENS));
    if (step === Step.Stream) {
        await waitFor(RUN_MS / 2);
    }
    for (let attempt = 0; attempt < routers.length * 2; attempt++) {
        const router = routers[attempt % routers.length];
        if (router !== undefined) {
            await sendChat({ url: router.url, key: "key-of-shops", text, tokens: 4 }).catch(() => undefined);
        }
    }
    await Promise.all(companions);
    const lost = engines.filter(engine => !engine.endpoint.isRunning()).length;
    if (lost > CRASH_LIMIT) {
        matrix.checker.violations.push(`${text}: ${lost} endpoints were lost under one request`);
    }
    return `${lost} endpoints lost in all`;
}
