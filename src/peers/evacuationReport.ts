import { z } from "zod";

/** Maximum number of evacuated availability zones that a message names. */
export const MAX_REPORTED_ZONES = 64;

/** Evacuated availability zones as a router knows them. */
export const evacuationReportSchema = z.object({
    /** Zones that the store names. */
    zones: z.array(z.string()),
    /** Zones that an earlier era of the store's history named and that stay evacuated for now. */
    kept: z.array(z.string()).default([]),
    /** Position in the store's history up to which the zones are known. */
    era: z.number().int(),
    revision: z.number().int(),
    /** Time since the store confirmed the zones, in milliseconds. */
    ageMs: z.number().min(0),
    /** Time since the era was first read by a router, in milliseconds. */
    eraAgeMs: z.number().min(0).default(0),
    /** More zones are evacuated than the report names. */
    isPartial: z.boolean().default(false),
});

/** Evacuated availability zones as a router tells others. */
export type EvacuationReport = z.infer<typeof evacuationReportSchema>;
