/** Kinds of failure that callers of a function tell apart. */
export enum ErrorCode {
    /** The platform answered that the call had no effect, or was never sent. */
    PlatformUnavailable = "PlatformUnavailable",
    /** The platform's answer was lost; the call may have taken effect. */
    PlatformUncertain = "PlatformUncertain",
    /** The lease that a write names has ended; the write had no effect. */
    LeaseEnded = "LeaseEnded",
    /** The service has dropped the history that a watch asks for; a new listing is needed. */
    HistoryLost = "HistoryLost",
    /** The other process, of an earlier version, doesn't have the procedure. */
    NotSupported = "NotSupported",
    Unreachable = "Unreachable",
    Refused = "Refused",
    Timeout = "Timeout",
    TooLarge = "TooLarge",
    /** This process holds as many bytes as it may. */
    OutOfMemory = "OutOfMemory",
    /** The other process sent something that the protocol does not allow. */
    Malformed = "Malformed",
    /** This process ended the call. */
    Aborted = "Aborted",
}
