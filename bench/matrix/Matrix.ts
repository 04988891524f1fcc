import { EndpointKind } from "../../src/config/index.js";
import { createId } from "../../src/utils/digest.js";
import { type HttpAnswer } from "../../src/utils/http.js";
import { buildList } from "../../src/utils/list.js";
import { waitFor } from "../../src/utils/time.js";
import { sendChat, sendServiceCall } from "../caller.js";
import { type Fleet, type FleetEndpoint, type FleetRouter, startFleet } from "../fleet/Fleet.js";
import { type Checker, createChecker } from "./Checker.js";
import { type Recorder, startRecorder } from "./Recorder.js";

/** A fleet under test, with its record and its checker. */
export interface Matrix {
    fleet: Fleet;
    recorder: Recorder;
    checker: Checker;
    keys: Set<string>;
    services: FleetEndpoint[];
    engines: FleetEndpoint[];
    routers: FleetRouter[];
    /** Sends a booking until it has a final answer, at one router after the other. */
    book(options?: BookOptions): Promise<BookingReport>;
    /** Streams an answer, and checks it. */
    stream(router: FleetRouter, tokens: number): Promise<void>;
    /** Ends all faults, and restarts what was killed. */
    repair(): Promise<void>;
    stop(): Promise<void>;
}

/** Options of a booking. */
export interface BookOptions {
    key?: string;
    /** Place of the first router. */
    firstRouter?: number;
    tries?: number;
    /** Other copies with the same key are in flight. */
    hasCopies?: boolean;
}

/** What became of a booking. */
export interface BookingReport {
    key: string;
    isAnswered: boolean;
    tries: number;
}

const RETRY_PAUSE_MS = 250;
const DEFAULT_TRIES = 8;
const CALL_TIMEOUT_MS = 12_000;
const CONCURRENCY = 2;
const FINAL_STATUSES = [200, 201, 422, 410];

/**
 * Starts the fleet of the fault matrix.
 * @param documentText - Environment document.
 */
export async function startMatrix(documentText: string): Promise<Matrix> {
    const recorder = await startRecorder();
    const checker = createChecker(recorder);
    const keys = new Set<string>();
    const fleet = await startFleet({
        zones: ["zone-1", "zone-2", "zone-3"],
        routersPerZone: 1,
        engines: 3,
        model: "assist-lm",
        services: 2,
        serviceName: "swapdesk-app",
        documentText,
        environment: "production",
        concurrency: CONCURRENCY,
        recorderUrl: recorder.url,
        hasLinks: true,
        silenceMs: 500,
        drainNoticeMs: 200,
    });
    await fleet.waitUntilReady();
    const services = fleet.endpoints.filter(endpoint => endpoint.kind === EndpointKind.Service);
    const engines = fleet.endpoints.filter(endpoint => endpoint.kind === EndpointKind.Engine);
    return { fleet, recorder, checker, keys, services, engines, routers: fleet.routers, book, stream, repair, stop };

    async function book(options: BookOptions = {}): Promise<BookingReport> {
        const key = options.key ?? createId("key");
        keys.add(key);
        for (let attempt = 0; attempt < (options.tries ?? DEFAULT_TRIES); attempt++) {
            const router = fleet.routers[((options.firstRouter ?? 0) + attempt) % fleet.routers.length] as FleetRouter;
            const answer = await sendBooking(router, key);
            if (answer !== undefined) {
                checker.checkBooking(key, answer, options.hasCopies !== true);
            }
            if (answer !== undefined && FINAL_STATUSES.includes(answer.status)) {
                return { key, isAnswered: answer.status < 300, tries: attempt + 1 };
            }
            await waitFor(RETRY_PAUSE_MS);
        }
        return { key, isAnswered: false, tries: options.tries ?? DEFAULT_TRIES };
    }

    async function sendBooking(router: FleetRouter, key: string): Promise<HttpAnswer | undefined> {
        try {
            return await sendServiceCall({
                url: router.url,
                key: "key-of-couriers",
                method: "POST",
                path: "swapdesk-app/orders",
                idempotencyKey: key,
                body: "{}",
                timeoutMs: CALL_TIMEOUT_MS,
            });
        } catch {
            return undefined;
        }
    }

    async function stream(router: FleetRouter, tokens: number): Promise<void> {
        const prompt = createId("prompt");
        const request = { url: router.url, key: "key-of-parents", text: prompt, tokens, isStream: true };
        const answer = await sendChat({ ...request, timeoutMs: CALL_TIMEOUT_MS }).catch(() => undefined);
        checker.checkStream(prompt, tokens, answer);
    }

    async function repair(): Promise<void> {
        fleet.endpoints.forEach(endpoint => endpoint.link?.restore());
        await fleet.setFaults(fleet.platformUrl, {
            isDown: false,
            delayMs: 0,
            lostAnswers: 0,
            isHostListFrozen: false,
        });
        for (const router of fleet.routers) {
            router.process.signal("SIGCONT");
            if (!router.process.isRunning()) {
                await fleet.restartRouter(router);
            }
        }
        for (const endpoint of fleet.endpoints) {
            await repairEndpoint(endpoint);
        }
        await fleet.waitUntilReady();
    }

    async function repairEndpoint(endpoint: FleetEndpoint): Promise<void> {
        endpoint.agent.signal("SIGCONT");
        if (!endpoint.endpoint.isRunning()) {
            await fleet.restartEndpoint(endpoint);
        }
        if (!endpoint.agent.isRunning()) {
            await fleet.restartAgent(endpoint);
        }
        const clean = { delayMs: 0, isCrossed: false, crashText: "", lostAnswers: 0 };
        await fleet.setFaults(endpoint.endpointUrl, clean).catch(() => undefined);
    }

    async function stop(): Promise<void> {
        await fleet.stop();
        await recorder.close();
    }
}

/**
 * Fills the slots of the services, so that the next booking waits in a queue.
 * @param matrix - Fleet under test.
 */
export function fillQueues(matrix: Matrix): Promise<BookingReport[]> {
    const blockers = matrix.services.length * CONCURRENCY;
    return Promise.all(buildList(blockers, place => matrix.book({ firstRouter: place })));
}
