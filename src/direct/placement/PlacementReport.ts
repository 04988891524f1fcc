import { z } from "zod";
import type { Refusal } from "../../protocol/index.js";
import type { ExclusionReason } from "../candidates/index.js";

const MAX_TEXT = 8_192;
const MAX_HEADERS = 100;

/** Schema of a question where a request would go. */
export const placementQuerySchema = z.object({
    host: z.string().max(MAX_TEXT),
    /** Path, with the query. */
    path: z.string().max(MAX_TEXT).startsWith("/"),
    /** Key of the team. */
    teamKey: z.string().max(MAX_TEXT).optional(),
    /** Further headers as name and value, such as the deadline and token counts. */
    headers: z.array(z.tuple([z.string().max(MAX_TEXT), z.string().max(MAX_TEXT)])).max(MAX_HEADERS),
});

/** A question where a request would go. */
export type PlacementQuery = z.infer<typeof placementQuerySchema>;

/** What would become of a request now. */
export enum PlacementDecision {
    Sent = "sent",
    Waits = "waits",
    Refused = "refused",
}

/** An endpoint that the request may be sent to. */
export interface PlacementCandidate {
    endpoint: string;
    zone: string;
    /** Score; the lowest is chosen. */
    score: number;
    /** Whether requests to it have failed recently; it is chosen only if that holds for all. */
    isBackingOff: boolean;
}

/** An endpoint that the request may not be sent to. */
export interface ExcludedEndpoint {
    endpoint: string;
    zone: string;
    reasons: ExclusionReason[];
}

/** Where a request would go now, and why. */
export interface PlacementReport {
    documentVersion: number;
    /** Undefined if no route matches. */
    route: string | undefined;
    service: string | undefined;
    team: string | undefined;
    decision: PlacementDecision;
    /** Endpoint that it would be sent to. */
    endpoint: string | undefined;
    /** What it would wait for. */
    waitsFor: string | undefined;
    /** Longest time that it would wait, in milliseconds; undefined if unknown. */
    maxWaitMs: number | undefined;
    refusal: Pick<Refusal, "status" | "cause" | "detail" | "retryAfterMs"> | undefined;
    /** The lowest score first. */
    candidates: PlacementCandidate[];
    excluded: ExcludedEndpoint[];
}
