import http from "node:http";
import type { Random } from "../scheduling/Random.js";
import type { SoakFleet, SoakRouter } from "./SoakFleet.js";
import { MS_PER_SECOND, readMonotonicMs } from "../../src/utils/time.js";

/** Kinds of request that callers send. */
export enum CallKind {
    /** May be repeated by the router. */
    Stock = "stock",
    /** Runs at most once. */
    Book = "book",
    Advice = "advice",
}

/** An attempt of a caller, and what came of it. */
export interface CallerAttempt {
    id: string;
    router: string;
    kind: CallKind;
    key: string;
    /** Monotonic times, in milliseconds. */
    sentAt: number;
    endedAt: number | undefined;
    /** Time that the caller waits, in milliseconds. */
    patienceMs: number;
    status: number | undefined;
    stamp: string | undefined;
    body: string;
    /** The answer came to its end in order. */
    isWhole: boolean;
}

/** Callers that send requests all the time. */
export interface SoakCallers {
    attempts: CallerAttempt[];
    /** Stops sending and waits for what is under way. */
    stop(): Promise<void>;
}

/** Options of the callers. */
export interface SoakCallersOptions {
    fleet: SoakFleet;
    random: Random;
    perSecond: number;
    /** Keys of teams, of which one is drawn for each request. */
    keys: readonly string[];
}

const HOST = "shop.example";
const KINDS = [CallKind.Stock, CallKind.Book, CallKind.Advice];
const KIND_WEIGHTS = [2, 2, 3];
const PATIENCE_MS = { [CallKind.Stock]: 1_500, [CallKind.Book]: 1_500, [CallKind.Advice]: 4_000 };

/**
 * Starts the callers. Each keeps its connections open and goes on using them until the router closes them or is gone.
 * @param options - Fleet and load.
 */
export function startSoakCallers(options: SoakCallersOptions): SoakCallers {
    const { fleet, random } = options;
    const attempts: CallerAttempt[] = [];
    const running = new Set<Promise<void>>();
    const agents = new Map(fleet.routers.map(router => [router.name, new http.Agent({ keepAlive: true })]));
    let count = 0;
    let timer: NodeJS.Timeout | undefined;
    planNext();
    return {
        attempts,
        async stop() {
            clearTimeout(timer);
            await Promise.all(running);
            agents.forEach(agent => agent.destroy());
        },
    };

    function planNext(): void {
        timer = setTimeout(
            () => {
                begin();
                planNext();
            },
            random.drawExponential(MS_PER_SECOND / options.perSecond),
        );
    }

    function begin(): void {
        const router = chooseRouter();
        const kind = KINDS[random.drawIndex(KIND_WEIGHTS)] ?? CallKind.Stock;
        const key = options.keys[random.drawIndex(options.keys.map(() => 1))] ?? "";
        if (router === undefined) {
            return;
        }
        const attempt: CallerAttempt = {
            id: `attempt-${count++}`,
            router: router.name,
            kind,
            key,
            sentAt: readMonotonicMs(),
            endedAt: undefined,
            patienceMs: PATIENCE_MS[kind],
            status: undefined,
            stamp: undefined,
            body: "",
            isWhole: false,
        };
        attempts.push(attempt);
        const call = sendAttempt(attempt, router, agents.get(router.name));
        running.add(call);
        void call.finally(() => running.delete(call));
    }

    /** Connections that are open are used also while the balancer sends no new ones. */
    function chooseRouter(): SoakRouter | undefined {
        const usable = fleet.routers.filter(
            router => router.isInRotation || Object.keys(agents.get(router.name)?.freeSockets ?? {}).length > 0,
        );
        return usable[random.drawIndex(usable.map(() => 1))];
    }
}

function sendAttempt(attempt: CallerAttempt, router: SoakRouter, agent: http.Agent | undefined): Promise<void> {
    return new Promise(resolve => {
        const request = http.request({
            host: router.address,
            port: router.port,
            method: attempt.kind === CallKind.Stock ? "GET" : "POST",
            path: `/${attempt.kind}/${attempt.id}`,
            agent,
            headers: {
                host: HOST,
                "attempt-id": attempt.id,
                "deadline-ms": String(attempt.patienceMs),
                "x-api-key": attempt.key,
            },
        });
        const timer = setTimeout(() => request.destroy(), attempt.patienceMs + MS_PER_SECOND);
        request.on("error", finish);
        request.on("response", response => {
            attempt.status = response.statusCode;
            const { "server-stamp": stamp } = response.headers;
            attempt.stamp = typeof stamp === "string" ? stamp : undefined;
            response.setEncoding("utf8");
            response.on("data", (chunk: string) => (attempt.body += chunk));
            response.on("error", finish);
            response.on("close", () => {
                attempt.isWhole = response.complete;
                finish();
            });
        });
        request.end(attempt.kind === CallKind.Stock ? undefined : "body");

        function finish(): void {
            clearTimeout(timer);
            attempt.endedAt ??= readMonotonicMs();
            resolve();
        }
    });
}
