import type { OutageWatch, PaceControl, SuspectTable } from "../scheduling/index.js";
import type { Logger } from "../telemetry/index.js";
import type { EndpointDirectory } from "./EndpointDirectory.js";
import type { EndpointHealth } from "./EndpointHealth.js";
import type { HeaderNames } from "./HeaderNames.js";
import type { LoadBoard } from "./LoadBoard.js";
import type { SharedRetryBudget } from "./SharedRetryBudget.js";
import type { StreamAdmission } from "./StreamAdmission.js";

/** Parts that the filters of a direct router share. */
export interface DirectContext {
    host: string;
    zone: string;
    names: HeaderNames;
    directory: EndpointDirectory;
    load: LoadBoard;
    health: EndpointHealth;
    retries: SharedRetryBudget;
    suspects: SuspectTable;
    outages: OutageWatch;
    pace: PaceControl;
    admission: StreamAdmission;
    logger: Logger;
    /** Time since the platform or a peer last told of the endpoints, in milliseconds. */
    getEndpointAgeMs: () => number;
    /** Random number from 0 to 1. */
    drawRandom: () => number;
}
