import type { ServiceRun } from "../../standins/service/serviceStandin.js";
import { startStandin } from "../../standins/Standin.js";
import { sendJson } from "../../src/utils/http.js";

/** Keeps what the plain services really ran, in a process that no fault ends. */
export interface Recorder {
    url: string;
    countRuns(idempotencyKey: string): number;
    getTotal(): number;
    close(): Promise<void>;
}

const STATUS_OK = 200;

/** Starts the recorder. */
export async function startRecorder(): Promise<Recorder> {
    const runs = new Map<string, number>();
    let total = 0;
    const standin = await startStandin(0, (request, response, body) => {
        const { idempotencyKey, method } = body as ServiceRun;
        if (method === "POST") {
            total++;
            runs.set(idempotencyKey, (runs.get(idempotencyKey) ?? 0) + 1);
        }
        sendJson(response, STATUS_OK, {});
    });
    return {
        url: standin.url,
        countRuns: idempotencyKey => runs.get(idempotencyKey) ?? 0,
        getTotal: () => total,
        close: () => standin.close(),
    };
}
