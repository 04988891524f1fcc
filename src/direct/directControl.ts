import { z } from "zod";
import type { RoutingDocument } from "./RoutingDocument.js";
import { buildRouter, processProcedure } from "../control/index.js";
import type { DocumentReply, DocumentRequest } from "./DocumentServer.js";
import type { EvacuationReport } from "../peers/index.js";
import { type PlacementQuery, type PlacementReport, placementQuerySchema } from "./placement/index.js";
import type { EndpointRecord } from "./EndpointRecord.js";

/** Routes and endpoints known to a router, for another router that can't reach the platform. */
export interface RouterSnapshot {
    /** Undefined if the other router's version is not older. */
    document: RoutingDocument | undefined;
    endpoints: EndpointRecord[];
    /** Era of the store's history that the revision belongs to; undefined from routers of earlier versions. */
    storeEra: number | undefined;
    /** Revision of the platform's store up to which the endpoints are known. */
    endpointRevision: number;
    /**
     * Time since the store confirmed the endpoints, in milliseconds; -1 if it never did. Undefined from routers of earlier
     * versions, which are asked only while they have recent answers.
     */
    endpointAgeMs: number | undefined;
    /** Evacuated availability zones; undefined before they are known, and from routers of earlier versions. */
    evacuations?: EvacuationReport | undefined;
}

/** What the control procedures give to other routers, and to operators. */
export interface DirectControlSource {
    /** Gets the endpoints known to this router, and its routes if they have a higher version than the given one. */
    getSnapshot(version: number): RouterSnapshot;
    /** Answers a request for parts of the document; undefined without a document. */
    answerDocumentRequest(request: DocumentRequest): DocumentReply | undefined;
    /** Explains where a request would go now; undefined without routes in force. */
    explainPlacement(query: PlacementQuery): Promise<PlacementReport | undefined>;
}

/** Maximum number of digests in a request. */
const MAX_DIGESTS = 1_000;

/**
 * Builds the control procedures of a direct router.
 * @param source - What this router knows.
 */
export function buildDirectControl(source: DirectControlSource) {
    return buildRouter({
        explainPlacement: processProcedure
            .input(placementQuerySchema)
            .query(({ input }) => source.explainPlacement(input)),
        getDocument: processProcedure
            .input(z.object({ address: z.ipv4(), digests: z.array(z.string()).max(MAX_DIGESTS) }))
            .query(({ input }) => source.answerDocumentRequest(input)),
        getKnowledge: processProcedure
            // Routers of earlier versions call without an input.
            .input(z.object({ version: z.number().int() }).optional())
            .query(({ input }) => source.getSnapshot(input?.version ?? 0)),
    });
}

/** Control procedures of a direct router. */
export type DirectControl = ReturnType<typeof buildDirectControl>;
