/** Steps of a request at which a fault is brought about. */
export enum Step {
    Arrive = "arrive",
    Claim = "claim",
    Select = "select",
    Dispatch = "dispatch",
    Queue = "queue",
    Run = "run",
    Stream = "stream",
    Settle = "settle",
}

/** Steps in order. */
export const STEPS: readonly Step[] = Object.values(Step);

/** Faults that are brought about. */
export enum Fault {
    KillRouter = "kill router",
    KillAgent = "kill agent",
    KillEndpoint = "kill endpoint",
    FreezeRouter = "freeze router",
    FreezeAgent = "freeze agent",
    Cut = "cut link",
    SilentConnection = "silent connection",
    PlatformDown = "platform down",
    PlatformSlow = "platform slow",
    LostAnswer = "platform answer lost",
    Late = "late message",
    Duplicated = "duplicated request",
    Crossed = "crossed answer",
    LeaseLapse = "lease lapse while paused",
    CrashingRequest = "crashing request",
    StaleHostList = "host list stale",
    StopRouter = "planned stop of router",
    StopAgent = "planned stop of agent",
}

/** Faults in order. */
export const FAULTS: readonly Fault[] = Object.values(Fault);
