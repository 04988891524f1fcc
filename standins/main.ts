import meow from "meow";
import { sendHttpCall } from "../src/utils/http.js";
import { match } from "ts-pattern";
import { startCollectorStandin } from "./collector/collectorStandin.js";
import { startEngineStandin } from "./engine/engineStandin.js";
import { startPlatformStandin } from "./platform/platformStandin.js";
import { type ServiceRun, startServiceStandin } from "./service/serviceStandin.js";

const RECORDER_TIMEOUT_MS = 5_000;
const cli = meow("Usage: main --kind platform|engine|service|collector --port PORT [--model NAME]", {
    importMeta: import.meta,
    flags: {
        kind: { type: "string", isRequired: true },
        port: { type: "number", isRequired: true },
        model: { type: "string", default: "assist-lm" },
        stepMs: { type: "number", default: 10 },
        recorder: { type: "string" },
        batch: { type: "number", default: 8 },
    },
});

const { kind, port, model, stepMs, batch, recorder } = cli.flags;
const standin = await match(kind)
    .with("platform", () => startPlatformStandin({ port, hostListLagMs: 500 }))
    .with("engine", () => startEngineStandin({ port, model, stepMs, batch }))
    .with("service", () => startServiceStandin({ port, onRun: reportRun }))
    .with("collector", () => startCollectorStandin(port))
    .otherwise(other => Promise.reject(new Error(`Expected a kind of stand-in, but got ${other}`)));

process.on("SIGTERM", () => {
    void standin.close().then(() => process.exit(0));
});

/** Reports a run before it is answered, so that the record outlives the process. */
async function reportRun(run: ServiceRun): Promise<void> {
    if (recorder !== undefined) {
        await sendHttpCall({
            method: "POST",
            url: recorder,
            body: JSON.stringify(run),
            timeoutMs: RECORDER_TIMEOUT_MS,
        });
    }
}
