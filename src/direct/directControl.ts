import type { RoutingDocument } from "./RoutingDocument.js";
import { buildRouter, processProcedure } from "../control/index.js";
import type { EndpointRecord } from "./EndpointRecord.js";

/** What a router knows, for another one that can't reach the platform. */
export interface RouterKnowledge {
    document: RoutingDocument | undefined;
    endpoints: EndpointRecord[];
    /** Revision of the platform's store up to which the endpoints are known. */
    endpointRevision: number;
}

/**
 * Builds the control procedures of a direct router.
 * @param getKnowledge - Gets what this router knows.
 */
export function buildDirectControl(getKnowledge: () => RouterKnowledge) {
    return buildRouter({
        getKnowledge: processProcedure.query(() => getKnowledge()),
    });
}

/** Control procedures of a direct router. */
export type DirectControl = ReturnType<typeof buildDirectControl>;
