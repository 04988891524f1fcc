import { z } from "zod";
import { WORK_RANKS, WorkRank } from "./WorkRank.js";

const NAME = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "a name of lower-case letters, digits and hyphens");
const DIGEST = z.string().regex(/^[0-9a-f]{64}$/, "a SHA-256 digest of 64 hexadecimal digits");
const MAX_TARGET_MS = 3_600_000;
const MAX_WEIGHT = 1_000;

const rankSchema = z.strictObject({
    /** Time to the first byte of the answer, in milliseconds. */
    targetMs: z.number().int().min(1).max(MAX_TARGET_MS),
    /** Worth of one answer on time, relative to the other ranks. */
    worth: z.number().positive(),
    /** Share of capacity that this rank keeps during a flood of the others. */
    floor: z.number().min(0).max(1),
});

const teamSchema = z.strictObject({
    name: NAME,
    /** Digests of the team's keys; several allow a rotation without a stop. */
    keyDigests: z.array(DIGEST).min(1).max(8),
    weight: z.number().positive().max(MAX_WEIGHT).default(1),
});

const rankNameSchema = z.enum(WORK_RANKS as [WorkRank, ...WorkRank[]]);

const ruleSchema = z.strictObject({
    team: NAME.optional(),
    model: NAME.optional(),
    /** Value of the caller's header `x-purpose`. */
    purpose: NAME.optional(),
    rank: rankNameSchema,
});

const modelSchema = z.strictObject({
    name: NAME,
    rank: rankNameSchema,
});

const callSchema = z.strictObject({
    method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
    /** Path; a final `*` matches any rest. */
    path: z.string().regex(/^\/[^\s*]*\*?$/, "a path from / with at most a final *"),
    idempotent: z.boolean(),
    rank: rankNameSchema,
});

const serviceSchema = z.strictObject({
    name: NAME,
    calls: z.array(callSchema).min(1),
});

const groupSchema = z.strictObject({
    name: NAME,
    model: NAME,
    ranks: z.number().int().min(1).max(1024),
    experts: z.number().int().min(1).max(4096),
    slotsPerRank: z.number().int().min(1).max(4096),
});

/** Schema of the one document that describes an environment. */
export const environmentSchema = z.strictObject({
    environment: z.enum(["trial", "production"]),
    ranks: z.strictObject({
        [WorkRank.Urgent]: rankSchema,
        [WorkRank.Standard]: rankSchema,
        [WorkRank.Deferrable]: rankSchema,
    }),
    teams: z.array(teamSchema).min(1),
    rules: z.array(ruleSchema).default([]),
    models: z.array(modelSchema).min(1),
    services: z.array(serviceSchema).default([]),
    groups: z.array(groupSchema).default([]),
});

/** Checked document of an environment. */
export type EnvironmentDocument = z.infer<typeof environmentSchema>;
/** A team of the document. */
export type TeamStructure = EnvironmentDocument["teams"][number];
/** Target, worth and floor of a rank of work. */
export type RankStructure = EnvironmentDocument["ranks"][WorkRank];
/** A plain service of the document. */
export type ServiceStructure = EnvironmentDocument["services"][number];
/** A model group of the document. */
export type GroupStructure = EnvironmentDocument["groups"][number];

/** A document with the version under which the platform holds it. */
export interface VersionedDocument {
    version: number;
    document: EnvironmentDocument;
}
