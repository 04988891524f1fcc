import { z } from "zod";
import type { RoutingDocument } from "./RoutingDocument.js";
import { buildRouter, processProcedure } from "../control/index.js";
import type { EndpointRecord } from "./EndpointRecord.js";

/** Routes and endpoints known to a router, for another router that can't reach the platform. */
export interface RouterSnapshot {
    /** Undefined if the other router's version is not older. */
    document: RoutingDocument | undefined;
    endpoints: EndpointRecord[];
    /** Revision of the platform's store up to which the endpoints are known. */
    endpointRevision: number;
    /**
     * Time since the store confirmed the endpoints, in milliseconds; -1 if it never did. Undefined from routers of earlier
     * versions, which are asked only while they have recent answers.
     */
    endpointAgeMs: number | undefined;
}

/**
 * Builds the control procedures of a direct router.
 * @param getSnapshot - Gets the endpoints known to this router, and its routes if they have a higher version than the given one.
 */
export function buildDirectControl(getSnapshot: (version: number) => RouterSnapshot) {
    return buildRouter({
        getKnowledge: processProcedure
            // Routers of earlier versions call without an input.
            .input(z.object({ version: z.number().int() }).optional())
            .query(({ input }) => getSnapshot(input?.version ?? 0)),
    });
}

/** Control procedures of a direct router. */
export type DirectControl = ReturnType<typeof buildDirectControl>;
