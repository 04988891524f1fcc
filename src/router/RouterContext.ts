import type { EndpointTable } from "../membership/index.js";
import type { EndpointChoice, RetryBudget } from "../scheduling/index.js";
import type { Logger, Metrics, Tracing } from "../telemetry/index.js";
import type { AgentDirectory } from "./attempts/AgentDirectory.js";
import type { SilenceWatch } from "./attempts/SilenceWatch.js";
import type { ClaimStore } from "./claims/Claim.js";

/** Parts that the filters of a router share. */
export interface RouterContext {
    host: string;
    zone: string;
    processKey: string;
    table: EndpointTable;
    directory: AgentDirectory;
    watch: SilenceWatch;
    choice: EndpointChoice;
    retries: RetryBudget;
    claims: ClaimStore;
    logger: Logger;
    metrics: Metrics;
    tracing: Tracing;
}
