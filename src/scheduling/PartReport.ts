import { z } from "zod";

/** Schema of what a router tells others of a part that is suspected, or was so lately. */
export const partReportSchema = z.object({
    part: z.string(),
    /** Incremented when a request with the part was answered; on a merge, the higher generation wins. */
    generation: z.number().int(),
    /** Requests with the part were answered before the crashes. */
    isProven: z.boolean(),
    crashes: z.array(
        z.object({
            endpoint: z.string(),
            /** Time since the crash, in milliseconds. */
            ageMs: z.number(),
            /** The endpoint crashed as it began to answer, and no other part can be the cause. */
            isConclusive: z.boolean().default(false),
        }),
    ),
    /** Remaining time for which no other trial may begin, in milliseconds. */
    trialMs: z.number(),
});

/** What a router knows of a part that is suspected, or was so lately. */
export type PartReport = z.infer<typeof partReportSchema>;
