#!/usr/bin/env node
import { agentSettingsSchema } from "../config/index.js";
import { startAgent } from "../agent/startAgent.js";
import { runProgram } from "../utils/program.js";

await runProgram({
    name: "auburnpass-agent",
    description: "Queues and runs requests beside one endpoint",
    schema: agentSettingsSchema,
    start: startAgent,
});
