import type { TokenCounts } from "../DirectCodec.js";
import type { EndpointRecord } from "../EndpointRecord.js";
import type { LoadTracker } from "../LoadTracker.js";
import type { EngineCostModel } from "../RoutingDocument.js";
import { createUsualSizes } from "./UsualSizes.js";

/** Room in the memory of an endpoint that a request has taken. */
export interface RoomTicket {
    /** Gives the room back at the end of the send. */
    release(now: number): void;
}

/**
 * Memory of the endpoints: the tokens of this router's requests in progress, and an estimate for those of other routers. Without
 * token counts of a request, or without a known memory of the engine, there is always room.
 */
export interface EndpointMemory {
    /** Tells whether an endpoint has room for a request beside those that it holds. */
    hasRoom(endpoint: EndpointRecord, tokens: TokenCounts | undefined, now: number): boolean;
    /** Tells whether a request exceeds the memory of an endpoint that holds nothing else. */
    isTooLarge(endpoint: EndpointRecord, tokens: TokenCounts | undefined): boolean;
    /**
     * Takes the room for a send.
     * @returns Undefined if there is none.
     */
    takeRoom(endpoint: EndpointRecord, tokens: TokenCounts | undefined, now: number): RoomTicket | undefined;
    /** Counts the endpoints that hold requests of this router whose tokens are known. */
    countInUse(): number;
}

/** Options of the memory. */
export interface EndpointMemoryOptions {
    load: Pick<LoadTracker, "getLoad">;
    /** Gets the engine of a service; undefined if the service has none, or is unknown. */
    getEngine: (service: string) => EngineCostModel | undefined;
    /** Called for a send that found no room, as others took it after the choice of the endpoint. */
    onHeldBack: (service: string) => void;
}

/** Requests of this router at one endpoint. */
interface HeldRequests {
    count: number;
    tokens: number;
}

const NOTHING_HELD: HeldRequests = { count: 0, tokens: 0 };
const UNLIMITED_ROOM: RoomTicket = { release: () => undefined };

/**
 * Creates the memory of the endpoints, of which this router uses nothing.
 * @param options - Load of the endpoints, and their engines.
 */
export function createEndpointMemory({ load, getEngine, onHeldBack }: EndpointMemoryOptions): EndpointMemory {
    const held = new Map<string, HeldRequests>();
    const sizes = createUsualSizes(service => getEngine(service) !== undefined);
    return { hasRoom, isTooLarge, takeRoom, countInUse: () => held.size };

    function hasRoom(endpoint: EndpointRecord, tokens: TokenCounts | undefined, now: number): boolean {
        const engine = getEngine(endpoint.service);
        if (tokens === undefined || engine?.memoryTokens === undefined) {
            return true;
        }
        return estimateHeldTokens(endpoint, engine, now) + sumTokens(tokens) <= engine.memoryTokens;
    }

    function isTooLarge({ service }: EndpointRecord, tokens: TokenCounts | undefined): boolean {
        const memoryTokens = getEngine(service)?.memoryTokens;
        return tokens !== undefined && memoryTokens !== undefined && sumTokens(tokens) > memoryTokens;
    }

    function takeRoom(endpoint: EndpointRecord, tokens: TokenCounts | undefined, now: number): RoomTicket | undefined {
        if (!hasRoom(endpoint, tokens, now)) {
            onHeldBack(endpoint.service);
            return undefined;
        }
        if (tokens === undefined || getEngine(endpoint.service)?.memoryTokens === undefined) {
            return UNLIMITED_ROOM;
        }
        const size = sumTokens(tokens);
        changeHeld(endpoint.id, 1, size);
        return {
            release(endedAt) {
                changeHeld(endpoint.id, -1, -size);
                sizes.recordEnd(endpoint.service, size, endedAt - now);
            },
        };
    }

    /** Requests of other routers, and those of this one that tell no token counts, count as the mean size. */
    function estimateHeldTokens({ id, service }: EndpointRecord, engine: EngineCostModel, now: number): number {
        const own = held.get(id) ?? NOTHING_HELD;
        const others = Math.max(0, load.getLoad(id, now) - own.count);
        return own.tokens + others * sizes.getMeanTokens(service, engine);
    }

    function changeHeld(endpoint: string, count: number, tokens: number): void {
        const before = held.get(endpoint) ?? NOTHING_HELD;
        if (before.count + count > 0) {
            held.set(endpoint, { count: before.count + count, tokens: before.tokens + tokens });
        } else {
            held.delete(endpoint);
        }
    }
}

function sumTokens({ prompt, answer }: TokenCounts): number {
    return prompt + answer;
}
