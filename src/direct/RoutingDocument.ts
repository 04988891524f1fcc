/** Execution guarantee of a route, which decides how a request is handled when an endpoint fails. */
export enum RouteKind {
    /** A request may be executed more than once. */
    Idempotent = "idempotent",
    /** A request is executed at most once per attempt of the caller. */
    NonIdempotent = "non-idempotent",
    /** The answer is a stream of numbered events. */
    Stream = "stream",
}

/** Service of a route with its share of the route's requests. */
export interface WeightedService {
    service: string;
    weight: number;
}

/** Maps a host name and a path prefix to services. */
export interface RouteDefinition {
    name: string;
    host: string;
    /** Begins and ends with a slash. */
    pathPrefix: string;
    kind: RouteKind;
    /** Request timeout, in milliseconds. */
    timeoutMs: number;
    /** Target latency of the answer, or of the first event of a stream, in milliseconds. */
    targetMs: number;
    /** Urgency of the requests; 0 is the most urgent. */
    urgency: number;
    shares: readonly WeightedService[];
    /** Maximum number of endpoints to which one attempt of a caller is sent. */
    maxAttempts: number;
    /** The route can be called without a team's key. */
    isPublic: boolean;
    /** An interrupted stream may be resumed at another endpoint. */
    isResumable: boolean;
    /** Maximum pause between two events of a stream, in milliseconds; 0 if no maximum is declared. */
    maxPauseMs: number;
    /** Regions whose endpoints may run the requests; absent or empty if any may. */
    homeRegions?: readonly string[] | undefined;
}

/** Published cost model of an inference engine whose ranks run in lock-step. */
export interface EngineCostModel {
    /** Batch size of a rank, in requests. */
    slots: number;
    /** Number of token steps per pass. */
    stride: number;
    stepMs: number;
    perSequenceMs: number;
    contextMsPerThousand: number;
    readTokensPerSecond: number;
    /** Maximum length of the prompt chunk processed in one token step, in tokens. */
    chunkTokens: number;
    /** Mean prompt length, in tokens. */
    usualPromptTokens: number;
    /** Mean answer length, in tokens. */
    usualAnswerTokens: number;
    /** Delay of an engine's load reports, in milliseconds. */
    reportLagMs: number;
    /** Tokens that the memory of an engine holds; absent if unknown. */
    memoryTokens?: number | undefined;
    experts: ExpertLayout | undefined;
}

/** Placement parameters of the experts of an engine group. */
export interface ExpertLayout {
    /** Number of sets of layers; each has its own placement. */
    layerSets: number;
    experts: number;
    /** Number of experts that a rank holds per layer set. */
    placements: number;
    /** Maximum number of experts per layer set that one placement change may add to a rank. */
    reserve: number;
    /** Size of one expert, in megabytes. */
    expertMegabytes: number;
    /** Network bandwidth of an engine, in megabits per second. */
    linkMbps: number;
    /** Fraction of the work per token that is done by the experts. */
    expertShare: number;
}

/** A service that routes refer to. */
export interface ServiceDefinition {
    name: string;
    /** Maximum number of connections that one endpoint accepts in total; 0 if unknown. */
    maxConnections: number;
    engine: EngineCostModel | undefined;
    /** How endpoints behave after a start; absent if they are never cold. */
    cold?: ColdBehavior | undefined;
}

/** How long an endpoint is cold after it starts, and how many requests it tolerates meanwhile. */
export interface ColdBehavior {
    startMs: number;
    /** Requests per second. */
    perSecond: number;
}

/** Size limits and timeouts for callers' requests. */
export interface CallerLimits {
    headerBytes: number;
    bodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
}

/** A team and the keys of its callers. */
export interface TeamDefinition {
    name: string;
    keys: readonly string[];
    /** Takes precedence over the urgency of the route; undefined if the team has none. */
    urgency: number | undefined;
    /** Regions whose endpoints may run the team's requests; absent or empty if any may. */
    homeRegions?: readonly string[] | undefined;
}

/** One version of a direct router's routing configuration. */
export interface RoutingDocument {
    version: number;
    routes: readonly RouteDefinition[];
    services: readonly ServiceDefinition[];
    limits: CallerLimits;
    /** Undefined if callers need no keys on any route. */
    teams: readonly TeamDefinition[] | undefined;
}
