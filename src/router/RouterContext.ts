import type { IncidentKind } from "../account/index.js";
import type { HandoverStore } from "../agent/Handover.js";
import type { EndpointTable } from "../membership/index.js";
import type { EndpointSelector, RetryBudget, SuspectTable } from "../scheduling/index.js";
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
    choice: EndpointSelector;
    retries: RetryBudget;
    claims: ClaimStore;
    handovers: HandoverStore;
    suspects: SuspectTable;
    /** Tells every router of the suspects, before a request is tried again or refused. */
    spreadSuspects: () => Promise<void>;
    /** Reports an incident to the account. */
    recordIncident: (kind: IncidentKind, subject: string) => void;
    logger: Logger;
    metrics: Metrics;
    tracing: Tracing;
}
