import { readFileSync } from "node:fs";
import { z } from "zod";
import { callerLimitsSchema } from "../memory/index.js";
import { type Checked, checkYaml } from "./checkYaml.js";

const port = z.number().int().min(0).max(65_535);
const address = z.union([z.ipv4(), z.ipv6()]);
const url = z.url({ protocol: /^http$/ });
const secret = z.string().min(16, "a key of at least 16 characters");

const platformSchema = z.strictObject({
    keyValue: url,
    hostList: url,
    weightStore: url.optional(),
});

const tracesSchema = z.strictObject({
    /** OTLP over HTTP, such as `http://127.0.0.1:4318/v1/traces`. */
    collector: url,
});

const seedSchema = z.strictObject({ host: z.string().min(1), zone: z.string().min(1), address, port });

const commonShape = {
    host: z.string().min(1),
    zone: z.string().min(1),
    platform: platformSchema,
    /** Keys between processes: the first one signs, all of them are accepted. */
    processKeys: z.array(secret).min(1),
    /** Routers that are known without the platform. */
    routers: z.array(seedSchema).default([]),
    traces: tracesSchema.optional(),
    /** Bounds on what callers may make the process hold. */
    callerLimits: callerLimitsSchema.optional(),
    /** What the host gives the process; absent fields are unknown. */
    resources: z
        .strictObject({ memoryMb: z.number().min(1).optional(), maxFds: z.number().int().min(1).optional() })
        .optional(),
};

/** Schema of a router's settings. */
export const routerSettingsSchema = z.strictObject({
    ...commonShape,
    environment: z.enum(["trial", "production"]),
    listen: z.strictObject({ address, callers: port, control: port, metrics: port }),
    operators: z
        .array(z.strictObject({ name: z.string().min(1), keyDigest: z.string().regex(/^[0-9a-f]{64}$/) }))
        .default([]),
    limits: z
        .strictObject({
            bodyBytes: z
                .number()
                .int()
                .min(1024)
                .default(8 * 1024 * 1024),
            bodyMs: z.number().int().min(100).default(10_000),
            concurrent: z.number().int().min(1).default(2_000),
        })
        .prefault({}),
    /** Time between the failing health check and the last accepted request, in milliseconds. */
    drainNoticeMs: z.number().int().min(0).default(3_000),
    /** Longest silence on a stream before the attempt is asked for, in milliseconds. */
    silenceMs: z.number().int().min(50).default(1_000),
});

/** What an agent's endpoint is. */
export enum EndpointKind {
    Engine = "engine",
    Service = "service",
}

/** Schema of an agent's settings. */
export const agentSettingsSchema = z.strictObject({
    ...commonShape,
    listen: z.strictObject({ address, data: port, metrics: port }),
    /** Address that routers are told, if it is not the one that the agent listens on. */
    advertise: z.strictObject({ address, data: port }).optional(),
    endpoint: z.strictObject({
        kind: z.enum([EndpointKind.Engine, EndpointKind.Service]),
        /** Model or service that the endpoint serves. */
        name: z.string().min(1),
        url,
        /** Requests that the endpoint works on at the same time. */
        concurrency: z.number().int().min(1).default(8),
    }),
    /** Place of the endpoint in a group of ranks that run in lock-step. */
    group: z
        .strictObject({
            name: z.string().min(1),
            rank: z.number().int().min(0),
            ranks: z.number().int().min(1),
            experts: z.number().int().min(1),
            slotsPerRank: z.number().int().min(1),
        })
        .optional(),
    /** Time that the host of the agent is given to finish its work at a planned stop, in milliseconds. */
    drainMs: z.number().int().min(0).default(600_000),
    /** Longest silence of the endpoint after the first byte, in milliseconds. */
    stallMs: z.number().int().min(50).default(5_000),
});

/** Checked settings of a router. */
export type RouterSettings = z.infer<typeof routerSettingsSchema>;
/** Checked settings of an agent. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;

/**
 * Reads and checks a settings file as a whole.
 * @param file - Path of the YAML file.
 * @param schema - Schema of the settings.
 */
export function readSettings<T>(file: string, schema: z.ZodType<T>): Checked<T> {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    } catch (error) {
        const found = error instanceof Error ? error.message : String(error);
        return {
            value: undefined,
            findings: [{ file, line: 1, column: 1, path: "(file)", expected: "a readable file", found }],
        };
    }
    return checkYaml(file, text, schema);
}
