/** What is known of a request that got no answer of its own. */
export enum Outcome {
    /** The request was not run, and no later event will run it. */
    NotRun = "not-run",
    /** The request was run. */
    Ran = "ran",
    /** The request may have been run. */
    Unknown = "unknown",
}
