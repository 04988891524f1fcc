#!/usr/bin/env node
import { consola } from "consola";
import meow from "meow";
import { createAdminClient } from "../cli/AdminClient.js";
import { createPlacementClient } from "../cli/PlacementClient.js";
import { COMMANDS } from "../cli/commands.js";
import { ErrorCode, hasErrorCode } from "../errors/index.js";
import { ExitCode, readVersion } from "../utils/program.js";

const cli = meow(
    `
  Edits, promotes and explains the documents of auburnpass

  Usage
    $ auburnpass check FILE
    $ auburnpass diff FILE --environment ENVIRONMENT
    $ auburnpass apply FILE --environment ENVIRONMENT --base VERSION
    $ auburnpass promote TRIAL_VERSION PRODUCTION_VERSION
    $ auburnpass status
    $ auburnpass explain [--from TIME] [--to TIME] [--team NAME] [--rank RANK]
    $ auburnpass explain --logs FILE [--logs FILE] [--request ID] [--team NAME] [--from TIME] [--to TIME]
    $ auburnpass explain-placement URL --router HOST:PORT [--team-key KEY] [--header "NAME: VALUE"]
    $ auburnpass teams
    $ auburnpass drain HOST
    $ auburnpass digest KEY

  Options
    --router URL    control address of a router (or AUBURNPASS_ROUTER)
    --key KEY       key of the operator, or of the processes of a direct router (or AUBURNPASS_KEY)
    --environment   trial or production (trial)
    --base VERSION  version that you saw; 0 for none
    --logs FILE     logs of the processes, or - for the standard input
    --request ID    identifier of one attempt
    --team-key KEY  key of the team of a request
    --header TEXT   header of a request, also several
    --json          prints the answer as JSON

  Exit codes: 0 done, 1 refused or failed, 2 wrong use
`,
    {
        importMeta: import.meta,
        pkg: { name: "auburnpass", version: readVersion() },
        allowUnknownFlags: false,
        flags: {
            router: { type: "string", default: process.env.AUBURNPASS_ROUTER ?? "" },
            key: { type: "string", default: process.env.AUBURNPASS_KEY ?? "" },
            environment: { type: "string", default: "trial", choices: ["trial", "production"] },
            base: { type: "number" },
            from: { type: "string" },
            to: { type: "string" },
            team: { type: "string" },
            rank: { type: "string" },
            logs: { type: "string", isMultiple: true },
            request: { type: "string" },
            header: { type: "string", isMultiple: true },
            teamKey: { type: "string" },
            json: { type: "boolean", default: false },
        },
    },
);

const [name, ...input] = cli.input;
const command = COMMANDS[name ?? ""];
if (command === undefined) {
    consola.error(`expected a command: ${Object.keys(COMMANDS).join(", ")}`);
    process.exit(ExitCode.WrongUse);
}
try {
    const { base, header, ...flags } = cli.flags;
    const result = await command({
        ...flags,
        input,
        version: base,
        logs: flags.logs ?? [],
        headers: header ?? [],
        getClient,
        getPlacementClient,
    });
    process.stdout.write(cli.flags.json ? `${JSON.stringify(result.value)}\n` : `${result.lines.join("\n")}\n`);
    process.exit(result.code);
} catch (error) {
    consola.error(error instanceof Error ? error.message : String(error));
    const isRefused = hasErrorCode(error, ErrorCode.Refused) || hasErrorCode(error, ErrorCode.Timeout);
    const isUnreachable =
        (error as NodeJS.ErrnoException).code === "ECONNREFUSED" ||
        hasErrorCode(error, ErrorCode.Unreachable) ||
        hasErrorCode(error, ErrorCode.NotSupported);
    process.exit(isRefused || isUnreachable ? ExitCode.Failed : ExitCode.WrongUse);
}

function getClient(): ReturnType<typeof createAdminClient> {
    return createAdminClient(getRouterOrThrow(), cli.flags.key);
}

function getPlacementClient(): ReturnType<typeof createPlacementClient> {
    return createPlacementClient(getRouterOrThrow(), cli.flags.key);
}

function getRouterOrThrow(): string {
    if (cli.flags.router === "") {
        throw new Error("expected --router URL or AUBURNPASS_ROUTER");
    }
    return cli.flags.router;
}
