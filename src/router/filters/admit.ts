import { Cause, Outcome, type Refusal } from "../../protocol/index.js";
import type { Filter } from "../pipeline.js";

/** What the admission looks at. */
export interface AdmitOptions {
    /** Requests in progress at this router. */
    getConcurrent: () => number;
    maxConcurrent: number;
    /** The router is past the notice of its planned stop. */
    isClosed: () => boolean;
}

const STATUS_UNAVAILABLE = 503;
const RETRY_MS = 1_000;

/**
 * Creates the filter that keeps a router within its bounds.
 * @param options - Bounds.
 */
export function createAdmit(options: AdmitOptions): Filter {
    return () => {
        if (options.isClosed()) {
            return createRefusal(Cause.RouterDraining, "this host is leaving");
        }
        if (options.getConcurrent() > options.maxConcurrent) {
            return createRefusal(Cause.RouterFull, "this host has no room for more requests");
        }
        return undefined;
    };
}

function createRefusal(cause: Cause, detail: string): Refusal {
    return { status: STATUS_UNAVAILABLE, outcome: Outcome.NotRun, cause, detail, retryAfterMs: RETRY_MS };
}
