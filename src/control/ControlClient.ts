import { type TRPCClient, TRPCClientError, createTRPCClient, createWSClient, wsLink } from "@trpc/client";
import type { AnyTRPCRouter } from "@trpc/server";
import { WebSocket } from "ws";
import { ErrorCode, createError } from "../errors/index.js";

/** Connection for control calls to one process. */
export interface ControlClient<TRouter extends AnyTRPCRouter> {
    /**
     * Makes a call; a silent connection is replaced, and the call repeated once on the new one.
     * @param call - Makes an idempotent call and obeys the signal.
     * @param timeoutMs - Time allowed for each of the two tries, in milliseconds.
     */
    call<T>(call: (client: TRPCClient<TRouter>, signal: AbortSignal) => Promise<T>, timeoutMs: number): Promise<T>;
    close(): void;
}

interface Connection<TRouter extends AnyTRPCRouter> {
    client: TRPCClient<TRouter>;
    close(): void;
}

const IDLE_CLOSE_MS = 30_000;
const MAX_RECONNECT_MS = 1_000;
const FIRST_RECONNECT_MS = 50;

/**
 * Creates a client of the control calls of a process.
 * @param address - Address and port, such as `127.0.0.1:7000`.
 * @param processKey - Key presented to the other process.
 */
export function createControlClient<TRouter extends AnyTRPCRouter>(
    address: string,
    processKey: string,
): ControlClient<TRouter> {
    let connection: Connection<TRouter> | undefined;
    return { call, close };

    async function call<T>(
        run: (client: TRPCClient<TRouter>, signal: AbortSignal) => Promise<T>,
        timeoutMs: number,
    ): Promise<T> {
        try {
            return await callOnce(run, timeoutMs);
        } catch (error) {
            if (!isSilence(error)) {
                throw error;
            }
            close();
            return callOnce(run, timeoutMs);
        }
    }

    async function callOnce<T>(
        run: (client: TRPCClient<TRouter>, signal: AbortSignal) => Promise<T>,
        timeoutMs: number,
    ): Promise<T> {
        connection ??= openConnection();
        const controller = new AbortController();
        const timer = setTimeout(() => controller.abort(), timeoutMs);
        try {
            return await run(connection.client, controller.signal);
        } catch (error) {
            if (controller.signal.aborted) {
                throw createError({
                    code: ErrorCode.Timeout,
                    expected: `an answer of ${address} within ${timeoutMs} ms`,
                    got: "silence",
                });
            }
            const got = error instanceof Error ? error.message : String(error);
            const code = isProcedureMissing(error) ? ErrorCode.NotSupported : ErrorCode.Unreachable;
            throw createError({ code, expected: `an answer of ${address}`, got, cause: error });
        } finally {
            clearTimeout(timer);
        }
    }

    function openConnection(): Connection<TRouter> {
        const socket = createWSClient({
            url: `ws://${address}/control`,
            WebSocket: WebSocket as never,
            connectionParams: { key: processKey },
            lazy: { enabled: true, closeMs: IDLE_CLOSE_MS },
            retryDelayMs: attempt => Math.min(MAX_RECONNECT_MS, FIRST_RECONNECT_MS * 2 ** attempt),
        });
        const client = createTRPCClient({ links: [wsLink({ client: socket })] } as never) as TRPCClient<TRouter>;
        return { client, close: () => void socket.close() };
    }

    function close(): void {
        connection?.close();
        connection = undefined;
    }
}

function isProcedureMissing(error: unknown): boolean {
    return error instanceof TRPCClientError && (error.data as { code?: string } | undefined)?.code === "NOT_FOUND";
}

function isSilence(error: unknown): boolean {
    return error instanceof Error && error.name === ErrorCode.Timeout;
}
