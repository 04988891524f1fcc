import { z } from "zod";

const port = z.number().int().min(1).max(65_535);
const endpoint = z.strictObject({ address: z.ipv4(), port });

/** Schema of the settings of a direct router. */
export const directSettingsSchema = z.strictObject({
    host: z.string().min(1),
    zone: z.string().min(1),
    /** IP address of this host. */
    address: z.ipv4(),
    listen: z.strictObject({ callers: endpoint, readiness: endpoint, control: endpoint, metrics: endpoint }),
    /** Port of the datagrams between routers, the same on every host. */
    newsPort: port,
    /** Control addresses of routers that are known from the start; they may be stale. */
    seeds: z.array(endpoint),
    /** Key between processes. */
    processKey: z.string().min(1),
    /** Second sends that all routers together may make. */
    retries: z.strictObject({
        /** For each request. */
        ratio: z.number().min(0),
        /** Beyond the ratio, in a window. */
        burst: z.number().min(0),
        windowMs: z.number().min(1),
    }),
    drain: z.strictObject({
        /** Time that the balancer needs to turn away after the first failing readiness check, in milliseconds. */
        noticeMs: z.number().min(0),
        /** Time between the signal and the last moment at which the process may still run, in milliseconds. */
        graceMs: z.number().min(0),
    }),
    /** Time in which every router is to know that an endpoint leaves, in milliseconds. */
    leavingMs: z.number().min(0),
    /** Time after a return of the platform's store in which lapsed entries come back, in milliseconds. */
    lapseGraceMs: z.number().min(0),
});

/** Checked settings of a direct router. */
export type DirectSettings = z.infer<typeof directSettingsSchema>;
