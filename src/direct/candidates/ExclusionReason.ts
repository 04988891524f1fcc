/** Why an endpoint is not a candidate for a request. */
export enum ExclusionReason {
    /** The endpoint said in an answer that it leaves. */
    Leaving = "leaving",
    /** The endpoint wants no request of this router for a time. */
    Paused = "paused",
    /** Its availability zone is being evacuated. */
    Evacuated = "evacuated",
    /** Its region is none of the home regions of the route or the team. */
    OutsideHomes = "outside-homes",
    /** It is cold, and this router has used its share of the requests that it tolerates. */
    Cold = "cold",
    /** The requests that it holds leave no memory for this one. */
    MemoryFull = "memory-full",
    /** The request exceeds its whole memory. */
    TooLarge = "too-large",
}
