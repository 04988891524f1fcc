import { z } from "zod";

/** Maximum number of evacuated availability zones that a message names. */
export const MAX_REPORTED_ZONES = 64;

/** Evacuated availability zones as a router knows them. As each message has it, what is usual is left out. */
export const evacuationReportSchema = z.object({
    /** Zones that the store names; absent if there are none. */
    zones: z.array(z.string()).optional(),
    /** Zones that an earlier era of the store's history named and that stay evacuated for now; absent if there are none. */
    kept: z.array(z.string()).optional(),
    /** Position in the store's history up to which the zones are known. */
    era: z.number().int(),
    revision: z.number().int(),
    /** Time since the store confirmed the zones, in milliseconds. */
    ageMs: z.number().min(0),
    /** Time since the era was first read by a router, in milliseconds; absent without such zones. */
    eraAgeMs: z.number().min(0).optional(),
    /** More zones are evacuated than the report names. */
    isPartial: z.boolean().optional(),
});

/** Evacuated availability zones as a router tells others. */
export type EvacuationReport = z.infer<typeof evacuationReportSchema>;
