// Bundles the programs of this platform into target/, so that a start loads one file.
import { build } from "esbuild";

await build({
    entryPoints: { "auburnpass-direct": "platform/routerMain.ts", "auburnpass-rank-agent": "platform/agentMain.ts" },
    outdir: "target",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    banner: { js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' },
    logLevel: "warning",
});
