/** What callers of a route may expect when an endpoint fails. */
export enum RouteKind {
    /** May run more than once. */
    Idempotent = "idempotent",
    /** Runs at most once for each attempt of a caller. */
    NonIdempotent = "non-idempotent",
    /** Answers with a stream of numbered events. */
    Stream = "stream",
}

/** Part of a route's requests that goes to a service. */
export interface ServiceShare {
    service: string;
    weight: number;
}

/** A route from a host name and a path to services. */
export interface RouteStructure {
    name: string;
    host: string;
    /** Begins and ends with a slash. */
    pathPrefix: string;
    kind: RouteKind;
    /** Longest time that a caller is kept waiting, in milliseconds. */
    timeoutMs: number;
    /** Time within which an answer (of a stream: the first event) is worth most, in milliseconds. */
    targetMs: number;
    /** Rank of work as a number; 0 is the most urgent. */
    urgency: number;
    shares: readonly ServiceShare[];
    /** Endpoints to which one attempt of a caller may be sent. */
    maxAttempts: number;
    /** Callers need no team key. */
    isPublic: boolean;
    /** A stream may go on at another endpoint. */
    isResumable: boolean;
    /** Longest pause between events of a stream that is still in time, in milliseconds; 0 if none is declared. */
    maxPauseMs: number;
}

/** Public cost model of a model engine whose ranks run in lock-step. */
export interface EngineModel {
    /** Requests in one batch of a rank. */
    slots: number;
    /** Token steps in a pass. */
    stride: number;
    stepMs: number;
    perSequenceMs: number;
    contextMsPerThousand: number;
    readTokensPerSecond: number;
    /** Longest piece of a prompt read in one token step, in tokens. */
    chunkTokens: number;
    /** Mean tokens of a prompt and of an answer. */
    usualPromptTokens: number;
    usualAnswerTokens: number;
    /** Lag of an engine's reports, in milliseconds. */
    reportLagMs: number;
    experts: ExpertLayout | undefined;
}

/** How the experts of an engine group are laid out. */
export interface ExpertLayout {
    /** Sets of layers, each with a placement of its own. */
    layerSets: number;
    experts: number;
    /** Experts that a rank holds in each set. */
    placements: number;
    /** Experts in each set that may be new to a rank in one change. */
    reserve: number;
    /** Size of one expert, in megabytes. */
    expertMegabytes: number;
    /** Link of an engine, in megabits a second. */
    linkMbps: number;
    /** Share of the work for tokens that the experts do. */
    expertShare: number;
}

/** A service behind the routes. */
export interface ServiceStructure {
    name: string;
    /** Connections that one endpoint accepts from all callers; 0 if unknown. */
    maxConnections: number;
    engine: EngineModel | undefined;
}

/** Bounds on what a caller may send, and how long it may take. */
export interface CallerLimits {
    headerBytes: number;
    bodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
}

/** A team and the keys of its callers. */
export interface TeamKeys {
    name: string;
    keys: readonly string[];
    /** Goes before the urgency of the route. */
    urgency: number | undefined;
}

/** The whole configuration of a direct router, in one version. */
export interface RoutingDocument {
    version: number;
    routes: readonly RouteStructure[];
    services: readonly ServiceStructure[];
    limits: CallerLimits;
    /** Undefined if callers need no keys at all. */
    teams: readonly TeamKeys[] | undefined;
}
