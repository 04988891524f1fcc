import type { Placement, RankPermit } from "../../src/groups/index.js";
import { sendJson } from "../../src/utils/http.js";
import { type Standin, startStandin } from "../Standin.js";
import { type GroupEngine, createGroupEngine } from "./GroupEngine.js";

/** Options of the group stand-in. */
export interface GroupStandinOptions {
    ranks: number;
    experts: number;
    /** Time of a step, in milliseconds. */
    stepMs: number;
}

/** A group of ranks behind HTTP. */
export interface GroupStandin extends Standin {
    engine: GroupEngine;
}

const STATUS_OK = 200;
const PATH = /^\/group\/(\d+)(\/permit|\/stage)?$/;

/**
 * Starts the group stand-in, which runs a step whenever all ranks may.
 * @param options - Sizes.
 */
export async function startGroupStandin(options: GroupStandinOptions): Promise<GroupStandin> {
    const engine = createGroupEngine(options.ranks, options.experts);
    const timer = setInterval(() => engine.runStep(), options.stepMs);
    const standin = await startStandin(0, async (request, response, body) => {
        const path = PATH.exec(request.url ?? "");
        const rank = engine.ranks[Number(path?.[1] ?? "-1")];
        if (path?.[2] === "/permit") {
            await rank?.sendPermit(body as RankPermit);
        } else if (path?.[2] === "/stage") {
            const order = body as { version: number; placement: Placement };
            await rank?.stageMap(order.version, order.placement);
        }
        sendJson(response, STATUS_OK, (await rank?.getState()) ?? {});
    });
    return {
        ...standin,
        engine,
        async close() {
            clearInterval(timer);
            await standin.close();
        },
    };
}
