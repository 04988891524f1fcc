import type { IncidentKind } from "../account/index.js";
import type { HandoverStore } from "../agent/Handover.js";
import type { EndpointTable } from "../membership/index.js";
import type { EndpointSelector, PartQuarantine, RetryBudget, SuspectTable } from "../scheduling/index.js";
import type { Logger, Metrics, Tracing } from "../telemetry/index.js";
import type { AgentConnections } from "./attempts/AgentConnections.js";
import type { StallDetector } from "./attempts/StallDetector.js";
import type { ClaimStore } from "./claims/Claim.js";

/** Dependencies shared by the filters of a router. */
export interface RouterContext {
    host: string;
    zone: string;
    processKey: string;
    table: EndpointTable;
    agentConnections: AgentConnections;
    stallDetector: StallDetector;
    choice: EndpointSelector;
    retries: RetryBudget;
    claims: ClaimStore;
    handovers: HandoverStore;
    suspects: SuspectTable;
    quarantine: PartQuarantine;
    /** Sends the suspected requests to all routers, before such a request is retried or refused. */
    broadcastSuspects: () => Promise<void>;
    /** Records an incident in the account. */
    recordIncident: (kind: IncidentKind, subject: string) => void;
    logger: Logger;
    metrics: Metrics;
    tracing: Tracing;
}
