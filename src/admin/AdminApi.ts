import type http from "node:http";
import { match } from "ts-pattern";
import { z } from "zod";
import {
    type Account,
    type Explanation,
    type Summary,
    explainLosses,
    isRankName,
    readSummaries,
} from "../account/index.js";
import { type RouterSettings, WORK_RANKS, WorkRank } from "../config/index.js";
import { ErrorCode, hasErrorCode } from "../errors/index.js";
import { type RequestMemory, readCallerBody } from "../memory/index.js";
import { type EndpointTable, isUsable } from "../membership/index.js";
import type { KeyValueService } from "../platform/index.js";
import { getHeader } from "../protocol/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import { computeKeyDigest, isEqualInConstantTime } from "../utils/digest.js";
import { sendJson } from "../utils/http.js";
import { readMonotonicMs } from "../utils/time.js";
import { type ChangeOptions, type ChangeReport, ChangeStatus, applyChange, promoteTrial } from "./promote.js";

/** Parts of the administration API. */
export interface AdminApiOptions {
    settings: RouterSettings;
    change: ChangeOptions;
    table: EndpointTable;
    account: Account;
    service: KeyValueService;
    /** Starts the planned stop of an endpoint's agent. */
    drainEndpoint: (host: string) => Promise<boolean>;
    logger: Logger;
}

/** Handles requests below `/admin/v1/`. */
export type AdminHandler = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    memory: RequestMemory,
) => Promise<void>;

/** State of an endpoint as the status shows it. */
export interface EndpointStatus {
    host: string;
    zone: string;
    kind: string;
    name: string;
    isUsable: boolean;
    isDraining: boolean;
    queued: number;
    running: number;
}

/** Status of a router. */
export interface RouterStatus {
    host: string;
    zone: string;
    environment: string;
    version: number;
    peers: { host: string; version?: number }[];
    endpoints: EndpointStatus[];
}

/** Answer to a question for causes. */
export interface ExplainAnswer {
    explanations: Explanation[];
    /** Zones whose summaries could be read. */
    zones: string[];
    /** The platform could not be read; only this host's own figures are in. */
    isPartial: boolean;
}

const MAX_BODY_BYTES = 1_100_000;
const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_UNAUTHORIZED = 401;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_INVALID = 422;
const STATUS_UNAVAILABLE = 503;

const applySchema = z.strictObject({ baseVersion: z.number().int().min(0), text: z.string() });
const promotionSchema = z.strictObject({
    trialVersion: z.number().int().min(1),
    productionVersion: z.number().int().min(0),
});

/**
 * Creates the administration API of a router.
 * @param options - Parts.
 */
export function createAdminApi(options: AdminApiOptions): AdminHandler {
    const { settings, change, logger } = options;
    return async (request, response, memory) => {
        const operator = findOperator(request);
        if (operator === undefined) {
            sendJson(response, STATUS_UNAUTHORIZED, { error: "expected the key of an operator" });
            return;
        }
        try {
            await route(request, response, operator, memory);
        } catch (error) {
            sendFailure(response, error);
        }
    };

    function findOperator(request: http.IncomingMessage): string | undefined {
        const key = (getHeader(request.headers, "authorization") ?? "").replace(/^Bearer /, "");
        const digest = computeKeyDigest(key);
        return settings.operators.find(known => isEqualInConstantTime(known.keyDigest, digest))?.name;
    }

    async function route(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        operator: string,
        memory: RequestMemory,
    ): Promise<void> {
        const url = new URL(request.url ?? "/", "http://router");
        const path = url.pathname.replace("/admin/v1", "");
        const environment = /^\/environments\/(trial|production)\/document$/.exec(path)?.[1];
        const drained = /^\/hosts\/([\w.-]+)\/drain$/.exec(path)?.[1];
        await match({ method: request.method, path })
            .when(
                () => environment !== undefined && request.method === "GET",
                () => sendDocument(response, environment ?? ""),
            )
            .when(
                () => environment !== undefined && request.method === "PUT",
                async () => {
                    const body = applySchema.parse(await readJson(request, memory));
                    const structure = { ...body, environment: environment ?? "", operator };
                    sendReport(response, await applyChange(change, structure), operator);
                },
            )
            .when(
                () => drained !== undefined && request.method === "POST",
                async () => sendJson(response, STATUS_OK, { isDraining: await options.drainEndpoint(drained ?? "") }),
            )
            .with({ method: "POST", path: "/promotions" }, async () => {
                const body = promotionSchema.parse(await readJson(request, memory));
                const report = await promoteTrial(change, body.trialVersion, body.productionVersion, operator);
                sendReport(response, report, operator);
            })
            .with({ method: "GET", path: "/status" }, async () => sendJson(response, STATUS_OK, await buildStatus()))
            .with({ method: "GET", path: "/account" }, async () =>
                sendJson(response, STATUS_OK, await explain(url.searchParams)),
            )
            .otherwise(() => sendJson(response, STATUS_NOT_FOUND, { error: "expected a path of the API" }));
    }

    async function sendDocument(response: http.ServerResponse, environment: string): Promise<void> {
        const stored = await change.repository.readDocument(environment);
        const missing = { version: 0, text: "", operator: "", at: 0 };
        sendJson(response, STATUS_OK, stored ?? missing);
    }

    function sendReport(response: http.ServerResponse, report: ChangeReport, operator: string): void {
        const status = match(report.status)
            .with(ChangeStatus.Accepted, () => STATUS_OK)
            .with(ChangeStatus.Conflict, () => STATUS_CONFLICT)
            .with(ChangeStatus.Invalid, () => STATUS_INVALID)
            .exhaustive();
        const facts = { operator, version: report.version, status: report.status };
        logger.logEvent(EventId.DocumentPromoted, facts);
        sendJson(response, status, report);
    }

    async function buildStatus(): Promise<RouterStatus> {
        const now = readMonotonicMs();
        const endpoints = options.table.listAll().map(view => ({
            host: view.fact.host,
            zone: view.fact.zone,
            kind: view.fact.kind,
            name: view.fact.name,
            isUsable: isUsable(view, now),
            isDraining: view.fact.isDraining || view.isListedLeaving,
            queued: view.fact.queued,
            running: view.fact.running,
        }));
        return {
            host: settings.host,
            zone: settings.zone,
            environment: settings.environment,
            version: change.holder.getVersion(),
            peers: await change.queryVersions(),
            endpoints: endpoints.sort((left, right) => left.host.localeCompare(right.host)),
        };
    }

    async function explain(query: URLSearchParams): Promise<ExplainAnswer> {
        const from = Number(query.get("from") ?? "0");
        const to = Number(query.get("to") ?? String(Date.now()));
        const rank = query.get("rank") ?? "";
        const kept = await readKept(from, to);
        const open = options.account.listOpen().filter(summary => summary.minute >= from && summary.minute <= to);
        const summaries = [...(kept ?? []), ...open];
        const explanations = explainLosses(summaries, {
            team: query.get("team") ?? undefined,
            rank: isRankName(rank) ? rank : undefined,
            worth: readWorth(),
        });
        const zones = [...new Set(summaries.map(summary => summary.zone))];
        return { explanations, zones, isPartial: kept === undefined };
    }

    async function readKept(from: number, to: number): Promise<Summary[] | undefined> {
        try {
            return await readSummaries(options.service, from, to);
        } catch {
            return undefined;
        }
    }

    function readWorth(): Record<WorkRank, number> {
        const worth = { [WorkRank.Urgent]: 1, [WorkRank.Standard]: 1, [WorkRank.Deferrable]: 1 };
        const index = change.holder.getIndex();
        WORK_RANKS.forEach(rank => {
            worth[rank] = index?.getRank(rank).worth ?? 1;
        });
        return worth;
    }
}

async function readJson(request: http.IncomingMessage, memory: RequestMemory): Promise<unknown> {
    const body = await readCallerBody(request, memory, { maxBytes: MAX_BODY_BYTES, maxMs: memory.limits.bodyMs });
    return JSON.parse(body.toString("utf8"));
}

function sendFailure(response: http.ServerResponse, error: unknown): void {
    const message = error instanceof Error ? error.message : String(error);
    const isPlatform =
        hasErrorCode(error, ErrorCode.PlatformUnavailable) || hasErrorCode(error, ErrorCode.PlatformUncertain);
    if (isPlatform) {
        const outcome = hasErrorCode(error, ErrorCode.PlatformUnavailable) ? "not-run" : "unknown";
        sendJson(response, STATUS_UNAVAILABLE, { error: message, outcome });
        return;
    }
    sendJson(response, STATUS_BAD_REQUEST, { error: message });
}
