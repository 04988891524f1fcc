import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { once } from "node:events";

/** A process of the fleet. */
export interface FleetProcess {
    readonly name: string;
    readonly pid: number;
    /** Sends a signal to this process only. */
    signal(name: NodeJS.Signals): void;
    /** Waits for the end; gives the exit code. */
    waitForExit(): Promise<number | undefined>;
    isRunning(): boolean;
}

/** Options of a process. */
export interface FleetProcessOptions {
    name: string;
    script: string;
    args: string[];
    /** Variables of the environment beside those of this process. */
    env?: Record<string, string>;
    /** File that receives what the process prints. */
    logFile: string;
}

/**
 * Starts a process of the fleet.
 * @param options - Script and arguments.
 */
export function startFleetProcess(options: FleetProcessOptions): FleetProcess {
    const log = createWriteStream(options.logFile, { flags: "a" });
    const child: ChildProcess = spawn(process.execPath, [options.script, ...options.args], {
        stdio: ["ignore", "pipe", "pipe"],
        env: { ...process.env, ...options.env },
    });
    child.stdout?.pipe(log, { end: false });
    child.stderr?.pipe(log, { end: false });
    const exited = once(child, "exit");
    return {
        name: options.name,
        pid: child.pid ?? 0,
        signal(name) {
            if (isRunning()) {
                child.kill(name);
            }
        },
        async waitForExit() {
            await exited;
            return child.exitCode ?? undefined;
        },
        isRunning,
    };

    function isRunning(): boolean {
        return child.exitCode === null && child.signalCode === null; // eslint-disable-line no-restricted-syntax
    }
}
