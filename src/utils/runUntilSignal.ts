import { EventId } from "../telemetry/EventId.js";
import type { Logger } from "../telemetry/logger.js";

/** Exit codes of the programs. */
export enum ExitCode {
    Done = 0,
    Failed = 1,
    WrongUse = 2,
}

/** A program that runs until it is told to stop. */
export interface RunningProgram {
    /** Stops in order: no request in flight is cut. */
    stop(): Promise<void>;
}

/**
 * Runs a program until SIGTERM or SIGINT. SIGHUP ends no process: settings are read at each start.
 * @param starting - Start of the program.
 * @param logger - Log of the process.
 */
export async function runUntilSignal(starting: Promise<RunningProgram>, logger: Logger): Promise<void> {
    let program: RunningProgram;
    try {
        program = await starting;
    } catch (error) {
        logger.logFailure(EventId.TaskFailed, error, { task: "start" });
        await logger.flush();
        process.exit(ExitCode.Failed);
    }
    let isStopping = false;
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        process.on(signal, () => {
            if (!isStopping) {
                isStopping = true;
                void program.stop().then(() => process.exit(ExitCode.Done));
            }
        });
    }
    process.on("SIGHUP", () => logger.logEvent(EventId.SettingsReloaded));
    process.on("uncaughtException", error => logger.logFailure(EventId.TaskFailed, error, { task: "uncaught" }));
    process.on("unhandledRejection", error => logger.logFailure(EventId.TaskFailed, error, { task: "unhandled" }));
}
