/** Why an endpoint counts as cold. */
export enum ColdSource {
    /** Its entry says so. */
    Entry = "entry",
    /** It said so in an answer. */
    Answer = "answer",
    /** It appeared with a recent start time. */
    FirstSeen = "first-seen",
    /** Its start time has changed. */
    Restart = "restart",
    /** The evacuation of its availability zone has ended. */
    Zone = "zone",
    /** It could not be reached, or has just been reached again. */
    Unreachable = "unreachable",
}
