import { z } from "zod";
import { ErrorCode, createError } from "../errors/index.js";
import { sendHttpCall } from "../utils/http.js";
import { type HostEntry, HostList, HostRole, HostState } from "./HostList.js";

const TIMEOUT_MS = 1_000;
const STATUS_OK = 200;

const hostsSchema = z.array(
    z.object({
        host: z.string(),
        role: z.enum([HostRole.Router, HostRole.Endpoint]),
        zone: z.string(),
        address: z.string(),
        port: z.number().int(),
        state: z.enum([HostState.Live, HostState.Leaving]),
    }),
);

/**
 * Creates a client of the platform's host list.
 * @param url - Address of the list.
 */
export function createHttpHostList(url: string): HostList {
    return new (class HttpHostList extends HostList {
        override async listHosts(): Promise<HostEntry[]> {
            try {
                const answer = await sendHttpCall({
                    method: "GET",
                    url: new URL("/hosts", url),
                    timeoutMs: TIMEOUT_MS,
                });
                if (answer.status !== STATUS_OK) {
                    throw new Error(`status ${answer.status}`);
                }
                return hostsSchema.parse(JSON.parse(answer.body.toString("utf8")));
            } catch (error) {
                const got = error instanceof Error ? error.message : String(error);
                throw createError({
                    code: ErrorCode.PlatformUnavailable,
                    expected: "the host list",
                    got,
                    cause: error,
                });
            }
        }
    })();
}
