import type { IncomingHttpHeaders } from "node:http";
import type {
    ConcurrencyLimiter,
    OutageDetector,
    PartQuarantine,
    SharedRateLimiter,
    SuspectTable,
} from "../scheduling/index.js";
import type { Logger } from "../telemetry/index.js";
import type { EndpointCandidates } from "./candidates/index.js";
import type { ColdEndpoints } from "./cold/index.js";
import type { TokenCounts } from "./DirectCodec.js";
import type { EndpointDirectory } from "./EndpointDirectory.js";
import type { EndpointMemory } from "./endpointMemory/index.js";
import type { EndpointHealth } from "./EndpointHealth.js";
import type { EndpointNotices } from "./EndpointNotices.js";
import type { EndpointPauses } from "./EndpointPauses.js";
import type { Evacuations } from "./evacuation/index.js";
import type { HeaderNames } from "./HeaderNames.js";
import type { LoadTracker } from "./LoadTracker.js";
import type { OutageGate } from "./outage/index.js";
import type { SharedRetryBudget } from "./SharedRetryBudget.js";
import type { RequestAdmission } from "./RequestAdmission.js";

/** Components shared by the request filters of a direct router. */
export interface DirectContext {
    host: string;
    zone: string;
    names: HeaderNames;
    directory: EndpointDirectory;
    /** Tells which endpoints a request may be sent to. */
    candidates: EndpointCandidates;
    /** Availability zones that no request may be sent to. */
    evacuations: Evacuations;
    load: LoadTracker;
    health: EndpointHealth;
    /** What endpoints say of themselves in their answers. */
    notices: EndpointNotices;
    /** Endpoints that turn requests away for a time. */
    pauses: EndpointPauses;
    /** Endpoints that are cold after their start. */
    cold: ColdEndpoints;
    /** Memory of the engines, as far as requests tell their tokens. */
    endpointMemory: EndpointMemory;
    limiter: SharedRateLimiter;
    retries: SharedRetryBudget;
    suspects: SuspectTable;
    quarantine: PartQuarantine;
    outages: OutageDetector;
    /** Holds requests during outages; undefined if they are refused. */
    outageGate: OutageGate | undefined;
    pace: ConcurrencyLimiter;
    admission: RequestAdmission;
    logger: Logger;
    /** Extracts the parts of a request's prompt that other requests may share. */
    getSharedParts: (headers: IncomingHttpHeaders) => string[];
    /** Reads the token counts of a request; undefined if it tells none. */
    getTokenCounts: (headers: IncomingHttpHeaders) => TokenCounts | undefined;
    /** Time since the endpoint list was last updated from the platform or a peer, in milliseconds. */
    getEndpointAgeMs: () => number;
    /** Draws a random number in the interval from 0 to 1. */
    drawRandom: () => number;
}
