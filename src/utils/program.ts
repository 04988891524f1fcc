import { readFileSync } from "node:fs";
import meow from "meow";
import { consola } from "consola";
import { formatFinding, readSettings } from "../config/index.js";
import type { z } from "zod";
import { createLogger } from "../telemetry/logger.js";
import { ExitCode, type RunningProgram, runUntilSignal } from "./runUntilSignal.js";

export { ExitCode, type RunningProgram } from "./runUntilSignal.js";

/** Options of a server program. */
export interface ProgramOptions<T> {
    name: string;
    description: string;
    schema: z.ZodType<T>;
    start: (settings: T) => Promise<RunningProgram>;
}

/** Reads the version of the package. */
export function readVersion(): string {
    const text = readFileSync(new URL("../../../package.json", import.meta.url), "utf8");
    return (JSON.parse(text) as { version: string }).version;
}

/**
 * Runs a server program: checks its settings, starts it, and stops it on SIGTERM or SIGINT.
 * @param options - Name, settings and start of the program.
 */
export async function runProgram<T>(options: ProgramOptions<T>): Promise<void> {
    const cli = meow(
        `
  ${options.description}

  Usage
    $ ${options.name} --config FILE

  Options
    --config FILE  YAML file with the settings
    --check        checks the settings and ends
    --help         shows this text
    --version      shows the version
`,
        {
            importMeta: import.meta,
            pkg: { name: options.name, version: readVersion() },
            flags: { config: { type: "string" }, check: { type: "boolean", default: false } },
            allowUnknownFlags: false,
        },
    );
    if (cli.flags.config === undefined || cli.input.length > 0) {
        consola.error("expected --config FILE");
        process.exit(ExitCode.WrongUse);
    }
    const settings = readSettings(cli.flags.config, options.schema);
    if (settings.value === undefined) {
        settings.findings.forEach(finding => consola.error(formatFinding(finding)));
        process.exit(ExitCode.WrongUse);
    }
    if (cli.flags.check) {
        process.exit(ExitCode.Done);
    }
    await runUntilSignal(options.start(settings.value), createLogger(options.name));
}
