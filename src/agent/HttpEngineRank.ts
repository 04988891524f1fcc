import { z } from "zod";
import { EngineRank, type EngineRankState, type Placement, type RankPermit } from "../groups/index.js";
import { sendHttpCall } from "../utils/http.js";

const TIMEOUT_MS = 400;

const stateSchema = z.object({
    lastStep: z.number().int(),
    staged: z.array(z.number().int()),
    expertLoads: z.array(z.number()),
});

/**
 * Creates the client of an engine's rank: `GET /group/{rank}`, `POST /group/{rank}/permit` and `/stage`.
 * @param engineUrl - Address of the engine.
 * @param rank - Rank in the group.
 */
export function createHttpEngineRank(engineUrl: string, rank: number): EngineRank {
    return new (class HttpEngineRank extends EngineRank {
        override async getState(): Promise<EngineRankState> {
            return stateSchema.parse(await call("GET", "", undefined));
        }

        override async sendPermit(permit: RankPermit): Promise<void> {
            await call("POST", "/permit", permit);
        }

        override async stageMap(version: number, placement: Placement): Promise<void> {
            await call("POST", "/stage", { version, placement });
        }
    })();

    async function call(method: string, path: string, order: unknown): Promise<unknown> {
        const answer = await sendHttpCall({
            method,
            url: `${engineUrl}/group/${rank}${path}`,
            body: order === undefined ? undefined : JSON.stringify(order),
            timeoutMs: TIMEOUT_MS,
        });
        return JSON.parse(answer.body.toString("utf8"));
    }
}
