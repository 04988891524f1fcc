import { createControlClient } from "../control/index.js";
import type { DirectControl } from "../direct/directControl.js";
import type { PlacementQuery, PlacementReport } from "../direct/placement/index.js";
import { ErrorCode, createError } from "../errors/index.js";

/** Client that asks a direct router where requests would go. */
export interface PlacementClient {
    explainPlacement(query: PlacementQuery): Promise<PlacementReport>;
}

/** Time allowed for each of two tries, in milliseconds. */
const TIMEOUT_MS = 2_000;

/**
 * Creates a client.
 * @param router - Control address of a direct router, such as `127.0.0.1:7000`, with or without a scheme.
 * @param processKey - Key between processes.
 */
export function createPlacementClient(router: string, processKey: string): PlacementClient {
    const address = router.replace(/^\w+:\/\//, "").replace(/\/$/, "");
    return {
        async explainPlacement(query) {
            const control = createControlClient<DirectControl>(address, processKey);
            try {
                const report = await control.call(
                    (client, signal) => client.explainPlacement.query(query, { signal }),
                    TIMEOUT_MS,
                );
                if (report === undefined) {
                    throw createError({
                        code: ErrorCode.Refused,
                        expected: `routes in force at ${address}`,
                        got: "none: the router can't tell yet, or no longer, which routes hold",
                    });
                }
                return report as PlacementReport;
            } finally {
                control.close();
            }
        },
    };
}
