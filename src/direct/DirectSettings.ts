import { z } from "zod";
import { callerLimitsSchema } from "../memory/index.js";

const port = z.number().int().min(1).max(65_535);
const endpoint = z.strictObject({ address: z.ipv4(), port });

/** Schema of the settings of a direct router. */
export const directSettingsSchema = z.strictObject({
    host: z.string().min(1),
    zone: z.string().min(1),
    /** IP address of this host. */
    address: z.ipv4(),
    listen: z.strictObject({ callers: endpoint, readiness: endpoint, control: endpoint, metrics: endpoint }),
    /** Port for datagrams between routers, the same on every host. */
    newsPort: port,
    /** Control addresses of routers to contact at start-up; they may be outdated. */
    seeds: z.array(endpoint),
    /** Key with which processes authenticate to each other. */
    processKey: z.string().min(1),
    /** Retry budget that all routers share. */
    retries: z.strictObject({
        /** Retries for each request. */
        ratio: z.number().min(0),
        /** Additional retries in each window. */
        burst: z.number().min(0),
        windowMs: z.number().min(1),
    }),
    drain: z.strictObject({
        /** Time from the start of draining to the end of listening, in which the load balancer removes the host, in milliseconds. */
        noticeMs: z.number().min(0),
        /** Time from the signal until the process must have ended, in milliseconds. */
        graceMs: z.number().min(0),
    }),
    /** Time within which a change of the routing document must be in force on every router, in milliseconds. */
    applyMs: z.number().min(1),
    /** Time within which every router should learn that an endpoint is leaving, in milliseconds. */
    leavingMs: z.number().min(0),
    /** Time after the platform's store is back in which expired entries are expected to be written again, in milliseconds. */
    lapseGraceMs: z.number().min(0),
    /** Time after which the entry of a dead endpoint is gone from the platform's store, in milliseconds. */
    entryLifetimeMs: z.number().min(0),
    /** Region of this host; absent on platforms without regions. */
    region: z.string().optional(),
    /** Region of each availability zone. */
    zoneRegions: z.record(z.string(), z.string()).optional(),
    /** Time within which no endpoint of an evacuated availability zone may get a request, in milliseconds. */
    evacuateMs: z.number().min(1).optional(),
    /** How far the requests to a cold endpoint may exceed the rate that its service names. */
    cold: z.strictObject({ overshoot: z.number().min(0), slack: z.number().min(0) }).optional(),
    /** Streams of engine groups wait for the end of an outage of their group; absent: they are refused. */
    outageReturn: z.boolean().optional(),
    /** Whether requests to engines are admitted by their work and worth when there is too little room; not if absent. */
    admissionByCost: z.boolean().optional(),
    /** What this host gives the process; absent fields are unknown. */
    resources: z
        .strictObject({
            memoryMb: z.number().min(1).optional(),
            /** Share of one core, or number of cores. */
            cores: z.number().min(0).optional(),
            linkMbps: z.number().min(0).optional(),
            /** Number of file descriptors that the process may have open. */
            maxFds: z.number().int().min(1).optional(),
        })
        .optional(),
    /** Bounds on what callers may make the process hold. */
    callerLimits: callerLimitsSchema.optional(),
});

/** Checked settings of a direct router. */
export type DirectSettings = z.infer<typeof directSettingsSchema>;
