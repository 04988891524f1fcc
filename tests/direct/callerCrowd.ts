import net from "node:net";
import { readMonotonicMs, waitFor } from "../../src/utils/time.js";
import { buildList } from "../../src/utils/list.js";
import type { OwningTest } from "../fixtures.js";
import { TEAM_KEY } from "./fixtures.js";

/** What every caller of a crowd sends, and whether it reads. */
export interface CrowdOptions {
    address: string;
    port: number;
    count: number;
    /** Bytes to send first. */
    head: string;
    /** Sent over and over after the head; the buffer is shared by all callers. */
    piece?: Buffer;
    pieceCount?: number;
    /** Never reads an answer. */
    isDeaf?: boolean;
}

/** Callers that keep their connections open until the test ends. */
export interface Crowd {
    /** Waits until every caller has sent everything, has lost its connection or can't send on. */
    waitUntilStill(): Promise<void>;
}

/** Options of a request's head. */
export interface HeadOptions {
    method?: string;
    path?: string;
    /** Lines without their ends. */
    lines?: string[];
}

/** Time without any progress of any caller after which a crowd counts as still, in milliseconds. */
const STILL_MS = 2_000;
const POLL_MS = 50;
/** Bound on the time for which a crowd sends, in milliseconds. */
const MAX_SENDING_MS = 30_000;

/** Builds the head of a request of the team. */
export function buildHead({ method = "POST", path = "/book/1", lines = [] }: HeadOptions): string {
    const fixed = ["Host: shop.example", "Attempt-Id: a-crowd", "Deadline-Ms: 60000", `X-Api-Key: ${TEAM_KEY}`];
    return `${[`${method} ${path} HTTP/1.1`, ...fixed, ...lines].join("\r\n")}\r\n\r\n`;
}

/** Builds a chunk of a chunked body. */
export function buildChunk(bytes: number): Buffer {
    return Buffer.from(`${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`, "latin1");
}

/**
 * Connects callers that all send the same.
 * @param t - Test that owns them.
 * @param options - What they send.
 */
export function openCrowd(t: OwningTest, options: CrowdOptions): Crowd {
    let lastProgressAt = readMonotonicMs();
    let sending = options.count;
    const sockets = buildList(options.count, openCaller);
    t.teardown(async () => {
        sockets.forEach(socket => socket.destroy());
        await Promise.resolve();
    });
    return {
        async waitUntilStill() {
            const startedAt = readMonotonicMs();
            await waitFor(STILL_MS / 2);
            while (
                sending > 0 &&
                readMonotonicMs() - lastProgressAt < STILL_MS &&
                readMonotonicMs() - startedAt < MAX_SENDING_MS
            ) {
                await waitFor(POLL_MS);
            }
        },
    };

    function openCaller(): net.Socket {
        const socket = net.connect(options.port, options.address);
        let remaining = options.pieceCount ?? 0;
        let isDone = false;
        if (options.isDeaf === true) {
            socket.pause();
        } else {
            socket.resume();
        }
        socket.on("error", () => undefined);
        socket.on("close", finish);
        socket.on("drain", sendPieces);
        socket.on("connect", () => {
            socket.write(options.head, "latin1");
            sendPieces();
        });
        return socket;

        function sendPieces(): void {
            lastProgressAt = readMonotonicMs();
            while (remaining > 0 && socket.writable) {
                remaining--;
                if (options.piece !== undefined && !socket.write(options.piece)) {
                    return;
                }
            }
            finish();
        }

        function finish(): void {
            if (!isDone) {
                isDone = true;
                sending--;
            }
        }
    }
}
