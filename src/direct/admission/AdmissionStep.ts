import type { EndpointRecord } from "../EndpointRecord.js";
import type { AdmissionDecision } from "./AdmissionDecision.js";

/** What the admission does with a request now. */
export type AdmissionStep =
    /** It may be sent to one of these endpoints; none if the service has none for it. */
    | { open: readonly EndpointRecord[] }
    /** It waits, for this time at the most, in milliseconds. */
    | { waitMs: number }
    /** It is refused; without a decision of the admission by cost, there is too little time for a turn. */
    | { refusal: AdmissionDecision | undefined; delayMs: number | undefined };
