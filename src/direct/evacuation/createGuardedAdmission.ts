import { readMonotonicMs } from "../../utils/time.js";
import type { RequestAdmission } from "../RequestAdmission.js";
import type { ReadGate } from "./ReadGate.js";

/**
 * Creates the admission of a router that holds requests, also queued ones, while the evacuated zones must be read again.
 * @param admission - Admission by load.
 * @param gate - Tells whether they must.
 */
export function createGuardedAdmission(admission: RequestAdmission, gate: ReadGate): RequestAdmission {
    return {
        ...admission,
        previewStep: exchange =>
            gate.isReadNeeded()
                ? { waitMs: Math.max(0, exchange.deadlineAt - readMonotonicMs()) }
                : admission.previewStep(exchange),
        async waitForEndpoints(exchange, tried, isFirst) {
            for (;;) {
                const { signal } = exchange.abortController;
                if (gate.isReadNeeded()) {
                    await gate.waitUntilRead(signal);
                }
                const open = await admission.waitForEndpoints(exchange, tried, isFirst);
                if (signal.aborted || !gate.isReadNeeded()) {
                    return open;
                }
            }
        },
    };
}
