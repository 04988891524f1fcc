import { z } from "zod";
import type { AgentSettings } from "../config/index.js";
import { type ControlClient, createControlClient } from "../control/index.js";
import {
    GroupRanks,
    type PermitGrant,
    type Placement,
    type RankAnswer,
    type RankGuard,
    createGroupCoordinator,
    createGroupStore,
    createRankGuard,
    createRebalancer,
} from "../groups/index.js";
import type { KeyValueService } from "../platform/index.js";
import { EventId, type Logger } from "../telemetry/index.js";
import { startLoop } from "../utils/time.js";
import { createHttpEngineRank } from "./HttpEngineRank.js";
import type { AgentControl } from "./agentControl.js";

/** Part of an agent in its group: it guards its rank, and may coordinate the group. */
export interface GroupMember {
    getGuard(): RankGuard | undefined;
    stop(): Promise<void>;
}

/** Options of a member. */
export interface GroupMemberOptions {
    group: NonNullable<AgentSettings["group"]>;
    host: string;
    address: string;
    port: number;
    processKey: string;
    engineUrl: string;
    service: KeyValueService;
    isUrgentFlood: () => boolean;
    logger: Logger;
}

const ROUND_MS = 1_000;
const CALL_TIMEOUT_MS = 500;
/** At 31 ms a step, a permit lasts six rounds. */
const LEAD_STEPS = 200;
const SMOOTHING = 0.7;
const TOLERANCE = 1.02;
const PRICE_PER_FETCH = 0.0004;
const MAX_MOVES = 16;
const memberSchema = z.object({ host: z.string(), address: z.string(), port: z.number().int() });

/**
 * Starts the part of an agent in its group.
 * @param options - Group and addresses.
 */
export function startGroupMember(options: GroupMemberOptions): GroupMember {
    const { group, service, logger } = options;
    const prefix = `groups/${group.name}/members/`;
    const clients = new Map<string, ControlClient<AgentControl>>();
    const places = new Map<number, string>();
    const store = createGroupStore(service, group.name);
    const coordinator = createGroupCoordinator({
        host: options.host,
        ranks: group.ranks,
        store,
        calls: createCalls(),
        rebalancer: createRebalancer({
            size: group,
            experts: group.experts,
            smoothing: SMOOTHING,
            tolerance: TOLERANCE,
            pricePerFetch: PRICE_PER_FETCH,
            maxMoves: MAX_MOVES,
        }),
        lead: LEAD_STEPS,
        isUrgentFlood: options.isUrgentFlood,
        logger,
    });
    let guard: RankGuard | undefined;
    const loop = startLoop(ROUND_MS, runRound, error => logger.logFailure(EventId.TaskFailed, error));
    return {
        getGuard: () => guard,
        async stop() {
            await loop.stop();
            clients.forEach(client => client.close());
        },
    };

    async function runRound(): Promise<void> {
        if (guard === undefined) {
            await openGuard();
        }
        await coordinator.runOnce();
    }

    /** A new life refuses every epoch before the one that the platform shows, and then makes itself known. */
    async function openGuard(): Promise<void> {
        const kept = await store.readSchedule();
        guard = createRankGuard(createHttpEngineRank(options.engineUrl, group.rank), kept.epoch);
        const key = `${prefix}${group.rank}`;
        const value = JSON.stringify({ host: options.host, address: options.address, port: options.port });
        const entry = await service.getEntry(key);
        if (entry?.value !== value) {
            await service.swapEntry({ key, expectedRevision: entry?.revision ?? 0, value });
        }
    }

    function createCalls(): GroupRanks {
        return new (class ControlRanks extends GroupRanks {
            override fence(rank: number, epoch: number): Promise<RankAnswer | undefined> {
                return callRank(rank, client =>
                    client.call((control, signal) => control.fenceRank.mutate({ epoch }, { signal }), CALL_TIMEOUT_MS),
                );
            }

            override grant(rank: number, grant: PermitGrant): Promise<RankAnswer | undefined> {
                const order = { ...grant, schedule: [...grant.schedule] };
                return callRank(rank, client =>
                    client.call((control, signal) => control.grantPermit.mutate(order, { signal }), CALL_TIMEOUT_MS),
                );
            }

            override stage(
                rank: number,
                epoch: number,
                version: number,
                placement: Placement,
            ): Promise<RankAnswer | undefined> {
                const order = { epoch, version, placement: placement.map(experts => [...experts]) };
                return callRank(rank, client =>
                    client.call((control, signal) => control.stageMap.mutate(order, { signal }), CALL_TIMEOUT_MS),
                );
            }
        })();
    }

    async function callRank(
        rank: number,
        call: (client: ControlClient<AgentControl>) => Promise<RankAnswer | undefined>,
    ): Promise<RankAnswer | undefined> {
        const client = await findClient(rank);
        try {
            return client && (await call(client));
        } catch {
            places.delete(rank);
            return undefined;
        }
    }

    async function findClient(rank: number): Promise<ControlClient<AgentControl> | undefined> {
        const place = places.get(rank) ?? (await readPlace(rank).catch(() => undefined));
        if (place === undefined) {
            return undefined;
        }
        places.set(rank, place);
        const client = clients.get(place) ?? createControlClient<AgentControl>(place, options.processKey);
        clients.set(place, client);
        return client;
    }

    async function readPlace(rank: number): Promise<string | undefined> {
        const entry = await service.getEntry(`${prefix}${rank}`);
        const member = entry && memberSchema.parse(JSON.parse(entry.value));
        return member && `${member.address}:${member.port}`;
    }
}
