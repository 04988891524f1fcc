#!/usr/bin/env node
import { routerSettingsSchema } from "../config/index.js";
import { startRouter } from "../router/startRouter.js";
import { runProgram } from "../utils/program.js";

await runProgram({
    name: "auburnpass-router",
    description: "Takes the requests of callers to the endpoints",
    schema: routerSettingsSchema,
    start: startRouter,
});
