/** What admission by cost decided about a request, as reported in metrics. */
export enum AdmissionDecision {
    /** It waited and was then sent. */
    Delayed = "delayed",
    /** Refused at once: it costs more than the admission level leaves room for. */
    AboveLevel = "above-level",
    /** Refused at once: its prompt can't be read before its deadline. */
    NoTime = "no-time",
    /** Refused after it waited as long as it may. */
    WaitEnded = "wait-ended",
}
