import type { ExplainAnswer, RouterStatus } from "../admin/AdminApi.js";
import type { ChangeReport } from "../admin/promote.js";
import type { StoredDocument } from "../config/index.js";
import { ErrorCode, createError } from "../errors/index.js";
import { sendHttpCall } from "../utils/http.js";

/** Client of the administration API of a router. */
export interface AdminClient {
    getDocument(environment: string): Promise<StoredDocument>;
    applyDocument(environment: string, baseVersion: number, text: string): Promise<ChangeReport>;
    promote(trialVersion: number, productionVersion: number): Promise<ChangeReport>;
    getStatus(): Promise<RouterStatus>;
    explain(query: Record<string, string>): Promise<ExplainAnswer>;
    drainHost(host: string): Promise<{ isDraining: boolean }>;
}

const TIMEOUT_MS = 15_000;
const REPORT_STATUSES = [200, 409, 422];

/**
 * Creates a client.
 * @param url - Control address of a router.
 * @param operatorKey - Key of the operator.
 */
export function createAdminClient(url: string, operatorKey: string): AdminClient {
    return {
        getDocument: environment => call("GET", `/environments/${environment}/document`),
        applyDocument: (environment, baseVersion, text) =>
            call("PUT", `/environments/${environment}/document`, { baseVersion, text }),
        promote: (trialVersion, productionVersion) => call("POST", "/promotions", { trialVersion, productionVersion }),
        getStatus: () => call("GET", "/status"),
        explain: query => call("GET", `/account?${new URLSearchParams(query).toString()}`),
        drainHost: host => call("POST", `/hosts/${host}/drain`),
    };

    async function call<T>(method: string, path: string, body?: unknown): Promise<T> {
        const answer = await sendHttpCall({
            method,
            url: `${url}/admin/v1${path}`,
            headers: { authorization: `Bearer ${operatorKey}`, "content-type": "application/json" },
            body: body === undefined ? undefined : JSON.stringify(body),
            timeoutMs: TIMEOUT_MS,
        });
        if (!REPORT_STATUSES.includes(answer.status)) {
            const got = `status ${answer.status}: ${answer.body.toString("utf8")}`;
            throw createError({ code: ErrorCode.Refused, expected: `an answer to ${method} ${path}`, got });
        }
        return JSON.parse(answer.body.toString("utf8")) as T;
    }
}
