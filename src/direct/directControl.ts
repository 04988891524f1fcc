import type { RoutingDocument } from "./RoutingDocument.js";
import { buildRouter, processProcedure } from "../control/index.js";
import type { EndpointRecord } from "./EndpointRecord.js";

/** Routes and endpoints known to a router, for another router that can't reach the platform. */
export interface RouterSnapshot {
    document: RoutingDocument | undefined;
    endpoints: EndpointRecord[];
    /** Revision of the platform's store up to which the endpoints are known. */
    endpointRevision: number;
}

/**
 * Builds the control procedures of a direct router.
 * @param getSnapshot - Gets the routes and endpoints known to this router.
 */
export function buildDirectControl(getSnapshot: () => RouterSnapshot) {
    return buildRouter({
        getKnowledge: processProcedure.query(() => getSnapshot()),
    });
}

/** Control procedures of a direct router. */
export type DirectControl = ReturnType<typeof buildDirectControl>;
