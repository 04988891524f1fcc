import type http from "node:http";
import { match } from "ts-pattern";
import { readMonotonicMs } from "../../src/utils/time.js";
import { type EndpointStandin, startEndpointStandin } from "../../standins/endpoint/endpointStandin.js";
import { type LinkStandin, startLinkStandin } from "../../standins/network/linkStandin.js";
import type { Random } from "../scheduling/Random.js";
import type { RunRecord } from "./RunRecord.js";

/** Ways in which an endpoint spoils what it sends. */
enum Spoilage {
    Truncated = "truncated",
    Reset = "reset",
    OtherAttempt = "other-attempt",
    Doubled = "doubled",
    TurnedAway = "turned-away",
    Failure = "failure",
    Silence = "silence",
    /** The others spoil the head alone. */
    HeadStatus = "head-status",
    HeadInterim = "head-interim",
    HeadName = "head-name",
    HeadValue = "head-value",
    Upgrade = "upgrade",
    EndlessInterims = "endless-interims",
}

/** An endpoint of the soak behind a link, which records what it runs. */
export interface SoakEndpoint {
    readonly id: string;
    /** Port of the link in front of it. */
    readonly port: number;
    readonly link: LinkStandin;
    /** Part of the answers that are spoiled. */
    spoiledPart: number;
    close(): Promise<void>;
}

/** Events of each stream. */
export const STREAM_EVENTS = 12;
const EVENT_MS = 25;
const PLAIN_MS = 30;
/** Interval of interim responses that never end, in milliseconds. */
const INTERIM_MS = 40;
const STATUS_OK = 200;
const STATUS_ERROR = 500;
const STATUS_UNAVAILABLE = 503;
const STATUS_MISDIRECTED = 421;

/** Availability zones of endpoints and routers. */
export const ZONES = ["a", "b", "c"];

/** Gets the availability zone of an endpoint from its identifier. */
export function getZone(endpoint: string): string {
    return ZONES[Number(endpoint.slice(endpoint.indexOf("-") + 1)) % ZONES.length] ?? "";
}

/** Builds the answer of a plain request, which names the attempt from end to end. */
export function buildPlainAnswer(attempt: string): string {
    return `answer to ${attempt} ${"x".repeat(300)} end of ${attempt}`;
}

/** Builds the events of a stream after one. */
export function buildStreamAnswer(attempt: string, afterId = 0): string {
    let text = "";
    for (let id = afterId + 1; id <= STREAM_EVENTS; id++) {
        text += buildEvent(attempt, id);
    }
    return text;
}

function buildEvent(attempt: string, id: number): string {
    return `id: ${id}\ndata: ${attempt} token ${id}\n\n`;
}

/**
 * Starts an endpoint.
 * @param id - Identifier under which it registers.
 * @param record - Receives what it gets.
 * @param random - Draws what it spoils.
 */
export async function startSoakEndpoint(id: string, record: RunRecord, random: Random): Promise<SoakEndpoint> {
    const standin: EndpointStandin = await startEndpointStandin((seen, socket, response) => {
        const attempt = String(seen.headers["attempt-id"]);
        const team = String(seen.headers.tenant);
        const spoilage = random.draw() < endpoint.spoiledPart ? drawSpoilage() : undefined;
        const isMisdirected = seen.headers["expect-instance"] !== id;
        const hasRun = !isMisdirected && spoilage !== Spoilage.TurnedAway;
        record.addRun({ attempt, endpoint: id, hasRun, team, at: readMonotonicMs() });
        if (!hasRun) {
            const status = isMisdirected ? STATUS_MISDIRECTED : STATUS_UNAVAILABLE;
            response.writeHead(status, { "attempt-id": attempt, "not-executed": "1" }).end();
            return;
        }
        answer(attempt, Number(seen.headers["last-event-id"] ?? 0), seen.path, spoilage, response);
    });
    const link = await startLinkStandin(standin.port);
    const endpoint: SoakEndpoint = {
        id,
        port: link.port,
        link,
        spoiledPart: 0,
        async close() {
            await Promise.all([standin.close(), link.close()]);
        },
    };
    return endpoint;

    function drawSpoilage(): Spoilage {
        const all = Object.values(Spoilage);
        return all[random.drawIndex(all.map(() => 1))] ?? Spoilage.Reset;
    }
}

function answer(
    attempt: string,
    afterId: number,
    path: string,
    spoilage: Spoilage | undefined,
    response: http.ServerResponse,
): void {
    const headBytes = buildSpoiledHead(spoilage, attempt);
    if (headBytes !== undefined) {
        response.socket?.end(headBytes, "latin1");
        return;
    }
    if (spoilage === Spoilage.EndlessInterims) {
        sendInterims(response);
        return;
    }
    if (spoilage === Spoilage.Silence) {
        return;
    }
    const named = spoilage === Spoilage.OtherAttempt ? `${attempt}-other` : attempt;
    const head = { "attempt-id": named, "server-stamp": `stamp-${named}` };
    if (spoilage === Spoilage.Failure) {
        response.writeHead(STATUS_ERROR, head).end("failure");
    } else if (path.startsWith("/advice/")) {
        response.writeHead(STATUS_OK, { ...head, "content-type": "text/event-stream" });
        sendEvents(attempt, afterId + 1, spoilage, response);
    } else {
        setTimeout(() => sendPlain(attempt, head, spoilage, response), PLAIN_MS);
    }
}

/** Builds a response whose head is spoiled, and else sound; undefined if the head isn't what is spoiled. */
function buildSpoiledHead(spoilage: Spoilage | undefined, attempt: string): string | undefined {
    const body = buildPlainAnswer(attempt);
    const facts = `attempt-id: ${attempt}\r\nserver-stamp: stamp-${attempt}\r\n`;
    const end = `content-length: ${body.length}\r\n\r\n${body}`;
    return match(spoilage)
        .with(Spoilage.HeadStatus, () => `HTTP/1.1 000 OK\r\n${facts}${end}`)
        .with(Spoilage.HeadInterim, () => `HTTP/1.1 101 OK\r\n${facts}${end}`)
        .with(Spoilage.HeadName, () => `HTTP/1.1 200 OK\r\n${facts}conte t-type: text/plain\r\n${end}`)
        .with(Spoilage.HeadValue, () => `HTTP/1.1 200 OK\r\n${facts}x-other: a\u0001b\r\n${end}`)
        .with(Spoilage.Upgrade, () => `HTTP/1.1 101 OK\r\n${facts}connection: upgrade\r\nupgrade: websocket\r\n\r\n`)
        .otherwise(() => undefined);
}

function sendInterims(response: http.ServerResponse): void {
    if (!response.destroyed) {
        response.writeProcessing();
        setTimeout(() => sendInterims(response), INTERIM_MS);
    }
}

function sendEvents(attempt: string, id: number, spoilage: Spoilage | undefined, response: http.ServerResponse): void {
    if (response.destroyed) {
        return;
    }
    const isHalfway = id > STREAM_EVENTS / 2;
    if (isHalfway && (spoilage === Spoilage.Reset || spoilage === Spoilage.Truncated)) {
        response.write(buildEvent(attempt, id).slice(0, -4), () => response.socket?.resetAndDestroy());
        return;
    }
    if (id > STREAM_EVENTS) {
        response.end();
        return;
    }
    response.write(buildEvent(attempt, id));
    setTimeout(() => sendEvents(attempt, id + 1, spoilage, response), EVENT_MS);
}

function sendPlain(
    attempt: string,
    head: http.OutgoingHttpHeaders,
    spoilage: Spoilage | undefined,
    response: http.ServerResponse,
): void {
    const body = buildPlainAnswer(attempt);
    const { socket } = response;
    if (spoilage === Spoilage.Reset) {
        socket?.resetAndDestroy();
    } else if (spoilage === Spoilage.Truncated) {
        response.writeHead(STATUS_OK, { ...head, "content-length": body.length });
        response.write(body.slice(0, 100), () => socket?.destroy());
    } else {
        response.writeHead(STATUS_OK, { ...head, "content-length": body.length }).end(body, () => {
            if (spoilage === Spoilage.Doubled) {
                socket?.write(`HTTP/1.1 200 OK\r\nserver-stamp: second\r\ncontent-length: 2\r\n\r\nno`);
            }
        });
    }
}
